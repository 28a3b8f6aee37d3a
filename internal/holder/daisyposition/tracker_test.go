package daisyposition_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1_000_000, 0)

func at(offset uint64) daisystream.Position { return daisystream.Position{Term: 3, Offset: offset} }

func after(d time.Duration) time.Time { return startTime.Add(d) }

func TestMinPosition(t *testing.T) {
	tracker := daisyposition.New(at(10))
	a := daisyposition.Client{Workspace: "w", Key: "a"}
	b := daisyposition.Client{Workspace: "w", Key: "b"}
	fresh := daisyposition.Client{Workspace: "w", Key: "fresh"}
	other := daisyposition.Client{Workspace: "v", Key: "a"}
	tracker.RecordWrite(a, at(20), startTime)
	tracker.RecordWrite(b, at(30), startTime)
	tests := []struct {
		name   string
		client daisyposition.Client
		want   uint64
	}{{"Writer", a, 20}, {"OtherKey", b, 30}, {"FreshKey", fresh, 30}, {"OtherWorkspace", other, 10}}
	for _, test := range tests {
		assert.Equal(t, tracker.MinPosition(test.client), at(test.want), test.name)
	}
}

func TestReplicas(t *testing.T) {
	tracker := daisyposition.New(at(10))
	client := daisyposition.Client{Workspace: "w", Key: "a"}
	tracker.RecordWrite(client, at(20), after(time.Second))
	tracker.RecordWrite(client, at(30), after(2*time.Second))
	tracker.RecordApplied("late", at(15))
	tracker.RecordApplied("near", at(25))
	tracker.RecordApplied("level", at(30))
	tracker.RecordApplied("old", daisystream.Position{Term: 2, Offset: 99})
	now := after(2500 * time.Millisecond)
	tests := []struct {
		name        string
		minPosition uint64
		maxAge      time.Duration
		want        []string
	}{
		{"MinPosition", 30, 0, []string{"level"}},
		{"LowMinPosition", 12, 0, []string{"late", "level", "near"}},
		{"Age1s", 12, time.Second, []string{"level", "near"}},
		{"Age100ms", 12, 100 * time.Millisecond, []string{"level"}},
		{"Age10s", 12, 10 * time.Second, []string{"late", "level", "near"}},
		{"MinPositionBeforeAge", 30, 10 * time.Second, []string{"level"}},
		{"Beyond", 31, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, tracker.Replicas(nil, at(test.minPosition), test.maxAge, now), test.want)
		})
	}
	tracker.RecordApplied("level", at(5))
	assert.Equal(t, len(tracker.Replicas(nil, at(30), 0, now)), 0, "a replica whose position went back is still chosen")
}

// TestChosenReplicasAreFreshEnough generates random writes and replica positions
// and checks that no chosen replica misses a write that the read must see.
func TestChosenReplicasAreFreshEnough(t *testing.T) {
	type write struct {
		client daisyposition.Client
		offset uint64
		at     time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		tracker := daisyposition.New(at(0))
		var writes []write
		applied := make(map[string]uint64)
		now := startTime
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond)
			client := daisyposition.Client{Workspace: "w", Key: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "key"))}
			if rapid.Bool().Draw(rt, "write") {
				writes = append(writes, write{client: client, offset: uint64(len(writes) + 1), at: now})
				tracker.RecordWrite(client, at(uint64(len(writes))), now)
				continue
			}
			name := fmt.Sprint("m", rapid.IntRange(0, 2).Draw(rt, "replica"))
			applied[name] = uint64(rapid.IntRange(0, len(writes)).Draw(rt, "applied"))
			tracker.RecordApplied(name, at(applied[name]))
			maxAge := time.Duration(rapid.IntRange(0, 300).Draw(rt, "age")) * time.Millisecond
			for _, chosen := range tracker.Replicas(nil, tracker.MinPosition(client), maxAge, now) {
				for _, w := range writes {
					missing := w.offset > applied[chosen]
					assert.Check(rt, !missing || w.client != client, "replica %s misses the client's own write %d", chosen, w.offset)
					assert.Check(rt, !missing || maxAge == 0 || now.Sub(w.at) <= maxAge, "replica %s misses write %d of %s ago", chosen, w.offset, now.Sub(w.at))
				}
			}
		}
	})
}

func BenchmarkReplicas(b *testing.B) {
	for _, replicas := range []int{2, 8, 32} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			tracker := daisyposition.New(at(0))
			for i := range replicas {
				tracker.RecordApplied(fmt.Sprint("m", i), at(5))
			}
			var dst []string
			b.ReportAllocs()
			for b.Loop() {
				dst = tracker.Replicas(dst[:0], at(5), time.Second, startTime)
			}
		})
	}
}
