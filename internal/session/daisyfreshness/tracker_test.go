package daisyfreshness_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func at(n uint64) daisystatement.Position { return daisystatement.Position{Term: 1, Number: n} }

// Bounded staleness: the minimum position covers every write acknowledged longer
// ago than the maximum age, whatever the times of writes, samples and reads.
func TestMinPositionCoversOldWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker daisyfreshness.Tracker
		now := time.Unix(1000, 0)
		var acknowledged []time.Time // Index i is write i+1.
		age := time.Duration(rapid.IntRange(100, 3000).Draw(t, "age")) * time.Millisecond
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "write") {
				acknowledged = append(acknowledged, now)
				continue
			}
			if rapid.Bool().Draw(t, "sample") && len(acknowledged) > 0 {
				tracker.Record(1, now, at(uint64(len(acknowledged))))
				continue
			}
			minPosition, ok := tracker.MinPosition(1, now, age)
			if !ok {
				continue
			}
			for i, when := range acknowledged {
				if now.Sub(when) > age && minPosition.Number < uint64(i+1) {
					t.Fatalf("minimum position %v does not cover write %d, acknowledged %v ago", minPosition, i+1, now.Sub(when))
				}
			}
		}
	})
}

func TestEpochs(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker daisyfreshness.Tracker
	tracker.Record(2, now, at(5))
	tracker.Record(1, now.Add(time.Second), at(9))
	_, ok := tracker.MinPosition(1, now, time.Second)
	assert.Assert(t, !ok)
	minPosition, ok := tracker.MinPosition(2, now, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, minPosition, at(5))
	_, ok = tracker.MinPosition(3, now, time.Second)
	assert.Assert(t, !ok)
}

func TestWritePosition(t *testing.T) {
	w := daisyfreshness.WritePosition{Epoch: 2, Position: at(9)}
	assert.Equal(t, w.MinPosition(2, at(5)), at(9))
	assert.Equal(t, w.MinPosition(2, at(11)), at(11))
	assert.Equal(t, w.MinPosition(3, at(5)), at(5)) // Covered by every sample of the epoch, if it survived.
}
