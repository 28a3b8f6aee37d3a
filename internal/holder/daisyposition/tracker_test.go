package daisyposition_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func at(offset uint64) daisystream.Position { return daisystream.Position{Term: 3, Offset: offset} }

func after(d time.Duration) time.Time { return epoch.Add(d) }

func TestFloors(t *testing.T) {
	l := daisyposition.New(at(10))
	a := daisyposition.Caller{Workspace: "w", Key: "a"}
	b := daisyposition.Caller{Workspace: "w", Key: "b"}
	fresh := daisyposition.Caller{Workspace: "w", Key: "fresh"}
	other := daisyposition.Caller{Workspace: "v", Key: "a"}
	l.RecordWrite(a, at(20), epoch)
	l.RecordWrite(b, at(30), epoch)
	tests := []struct {
		name   string
		caller daisyposition.Caller
		want   uint64
	}{{"Writer", a, 20}, {"OtherKey", b, 30}, {"FreshKey", fresh, 30}, {"OtherWorkspace", other, 10}}
	for _, test := range tests {
		assert.Equal(t, l.MinPosition(test.caller), at(test.want), test.name)
	}
}

func TestReplicas(t *testing.T) {
	l := daisyposition.New(at(10))
	caller := daisyposition.Caller{Workspace: "w", Key: "a"}
	l.RecordWrite(caller, at(20), after(time.Second))
	l.RecordWrite(caller, at(30), after(2*time.Second))
	l.RecordApplied("late", at(15))
	l.RecordApplied("near", at(25))
	l.RecordApplied("level", at(30))
	l.RecordApplied("old", daisystream.Position{Term: 2, Offset: 99})
	now := after(2500 * time.Millisecond)
	tests := []struct {
		name   string
		floor  uint64
		maxAge time.Duration
		want   []string
	}{
		{"Floor", 30, 0, []string{"level"}},
		{"LowFloor", 12, 0, []string{"late", "level", "near"}},
		{"Age1s", 12, time.Second, []string{"level", "near"}},
		{"Age100ms", 12, 100 * time.Millisecond, []string{"level"}},
		{"Age10s", 12, 10 * time.Second, []string{"late", "level", "near"}},
		{"FloorBeforeAge", 30, 10 * time.Second, []string{"level"}},
		{"Beyond", 31, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, l.Replicas(nil, at(test.floor), test.maxAge, now), test.want)
		})
	}
	l.RecordApplied("level", at(5))
	assert.Equal(t, len(l.Replicas(nil, at(30), 0, now)), 0, "a replica that stepped back still serves")
}

// TestChosenReplicasAreFreshEnough writes at random, lets replicas follow at
// random, and compares the choice with all that was written.
func TestChosenReplicasAreFreshEnough(t *testing.T) {
	type write struct {
		caller daisyposition.Caller
		offset uint64
		at     time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		l := daisyposition.New(at(0))
		var writes []write
		applied := make(map[string]uint64)
		now := epoch
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond)
			caller := daisyposition.Caller{Workspace: "w", Key: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "key"))}
			if rapid.Bool().Draw(rt, "write") {
				writes = append(writes, write{caller: caller, offset: uint64(len(writes) + 1), at: now})
				l.RecordWrite(caller, at(uint64(len(writes))), now)
				continue
			}
			name := fmt.Sprint("m", rapid.IntRange(0, 2).Draw(rt, "replica"))
			applied[name] = uint64(rapid.IntRange(0, len(writes)).Draw(rt, "applied"))
			l.RecordApplied(name, at(applied[name]))
			maxAge := time.Duration(rapid.IntRange(0, 300).Draw(rt, "age")) * time.Millisecond
			for _, chosen := range l.Replicas(nil, l.MinPosition(caller), maxAge, now) {
				for _, w := range writes {
					missing := w.offset > applied[chosen]
					assert.Check(rt, !missing || w.caller != caller, "replica %s misses the caller's own write %d", chosen, w.offset)
					assert.Check(rt, !missing || maxAge == 0 || now.Sub(w.at) <= maxAge, "replica %s misses write %d of %s ago", chosen, w.offset, now.Sub(w.at))
				}
			}
		}
	})
}

func BenchmarkReplicas(b *testing.B) {
	for _, replicas := range []int{2, 8, 32} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			l := daisyposition.New(at(0))
			for i := range replicas {
				l.RecordApplied(fmt.Sprint("m", i), at(5))
			}
			var dst []string
			b.ReportAllocs()
			for b.Loop() {
				dst = l.Replicas(dst[:0], at(5), time.Second, epoch)
			}
		})
	}
}
