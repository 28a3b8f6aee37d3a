// Package daisyfreshness decides from which position on a replica's log is fresh
// enough for a read.
//
// Whatever the primary answers carries the position of its log. If it was asked
// at a time at which it certainly led, the position covers every write that was
// acknowledged before that time. So a read that may be of a given age needs a
// log that has reached the position of a sample asked no longer ago.
package daisyfreshness

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// spacing is the least time between two samples that are kept.
	spacing = 25 * time.Millisecond
	// keep is how long samples are kept; no profile may state a greater age
	// with effect.
	keep = 5 * time.Second
	// margin is taken off the stated age for clocks that drift. The age counts
	// from when the read arrived, which is later than when it was sent.
	margin = 20 * time.Millisecond
)

type sample struct {
	asked    time.Time
	position daisystatement.Position
}

// Tracker follows the primary of one service. The zero value has no samples.
// It is not safe for concurrent use.
type Tracker struct {
	round   uint64
	samples []sample // In the order of asking.
}

// Record records that the primary of the round, asked at the time, answered with
// the position. The caller vouches that it led when it was asked.
func (t *Tracker) Record(round uint64, asked time.Time, p daisystatement.Position) {
	if round < t.round || p.IsZero() {
		return
	}
	if round > t.round {
		t.round, t.samples = round, nil
	}
	n := len(t.samples)
	if n > 0 && asked.Sub(t.samples[n-1].asked) < spacing {
		return
	}
	drop := 0
	for drop < n && asked.Sub(t.samples[drop].asked) > keep {
		drop++
	}
	t.samples = append(t.samples[drop:], sample{asked: asked, position: p})
}

// MinPosition returns the least position that covers every write of the round's
// primary, and of those before, acknowledged longer ago than the age. It
// returns false if no sample is recent enough.
func (t *Tracker) MinPosition(round uint64, now time.Time, age time.Duration) (daisystatement.Position, bool) {
	if round != t.round {
		return daisystatement.Position{}, false
	}
	for _, s := range t.samples {
		if now.Sub(s.asked) <= age-margin {
			return s.position, true
		}
	}
	return daisystatement.Position{}, false
}

// Latest returns the latest sample of the round and when it was asked.
func (t *Tracker) Latest() (round uint64, asked time.Time, p daisystatement.Position, ok bool) {
	n := len(t.samples)
	if n == 0 {
		return 0, time.Time{}, p, false
	}
	s := t.samples[n-1]
	return t.round, s.asked, s.position, true
}

// Age returns how long ago the latest sample of the round was asked.
func (t *Tracker) Age(round uint64, now time.Time) (time.Duration, bool) {
	if n := len(t.samples); n > 0 && round == t.round {
		return now.Sub(t.samples[n-1].asked), true
	}
	return 0, false
}

// WritePosition is the position of a session's own latest write.
type WritePosition struct {
	Epoch    uint64
	Position daisystatement.Position
}

// MinPosition returns the position that the session's reads need in the round. A
// write of an earlier round that survived is covered by every sample of the
// round, so the mark then counts for nothing beside a sample's position.
func (m WritePosition) MinPosition(round uint64, sampled daisystatement.Position) daisystatement.Position {
	if m.Epoch != round {
		return sampled
	}
	return daisystatement.Max(sampled, m.Position)
}
