// Package daisyfreshness determines the log position that a replica must have
// reached to be fresh enough for a read.
//
// Every answer of the primary carries the position of its log. If the request was
// sent at a time at which the server certainly was the leader, the position covers
// every write that was acknowledged before that time. A read with a given maximum
// age may therefore be served by a log that has reached the position of a sample
// that was requested no longer ago than that age.
package daisyfreshness

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// sampleSpacing is the minimum time between two samples that are kept.
	sampleSpacing = 25 * time.Millisecond
	// sampleRetention is how long samples are kept. A longer maximum age in a profile
	// has no further effect.
	sampleRetention = 5 * time.Second
	// clockMargin is subtracted from the maximum age to allow for clock drift. The
	// age counts from the arrival of the read, which is later than its sending.
	clockMargin = 20 * time.Millisecond
)

type sample struct {
	sentAt   time.Time // When the request to the primary was sent.
	position daisystatement.Position
}

// Tracker holds samples of the log position of one service's primary. The zero
// value has no samples. It is not safe for concurrent use.
type Tracker struct {
	epoch   uint64
	samples []sample // Ordered by sentAt.
}

// Record records that the primary of the epoch answered with the position to a
// request sent at sentAt. The caller must know that the server was the leader at
// sentAt.
func (t *Tracker) Record(epoch uint64, sentAt time.Time, p daisystatement.Position) {
	if epoch < t.epoch || p.IsZero() {
		return
	}
	if epoch > t.epoch {
		t.epoch, t.samples = epoch, nil
	}
	n := len(t.samples)
	if n > 0 && sentAt.Sub(t.samples[n-1].sentAt) < sampleSpacing {
		return
	}
	drop := 0
	for drop < n && sentAt.Sub(t.samples[drop].sentAt) > sampleRetention {
		drop++
	}
	t.samples = append(t.samples[drop:], sample{sentAt: sentAt, position: p})
}

// MinPosition returns a position that covers every write, of the epoch's primary
// and of earlier ones, that was acknowledged longer ago than age: the least one
// known from a sample. It returns false if no sample is recent enough.
func (t *Tracker) MinPosition(epoch uint64, now time.Time, age time.Duration) (daisystatement.Position, bool) {
	if epoch != t.epoch {
		return daisystatement.Position{}, false
	}
	for _, s := range t.samples {
		if now.Sub(s.sentAt) <= age-clockMargin {
			return s.position, true
		}
	}
	return daisystatement.Position{}, false
}

// Latest returns the latest sample with its epoch and the time at which it was
// requested.
func (t *Tracker) Latest() (epoch uint64, sentAt time.Time, p daisystatement.Position, ok bool) {
	n := len(t.samples)
	if n == 0 {
		return 0, time.Time{}, p, false
	}
	s := t.samples[n-1]
	return t.epoch, s.sentAt, s.position, true
}

// Age returns how long ago the latest sample of the epoch was requested.
func (t *Tracker) Age(epoch uint64, now time.Time) (time.Duration, bool) {
	if n := len(t.samples); n > 0 && epoch == t.epoch {
		return now.Sub(t.samples[n-1].sentAt), true
	}
	return 0, false
}

// WritePosition is the position of a session's latest write on one service. The zero
// value is that of a session without writes.
type WritePosition struct {
	Epoch    uint64
	Position daisystatement.Position
}

// MinPosition returns the minimum position that the session's reads need in the
// epoch. If the write was in an earlier epoch, this is the sampled position: if
// the write survived the succession, every sample of the epoch covers it.
func (w WritePosition) MinPosition(epoch uint64, sampled daisystatement.Position) daisystatement.Position {
	if w.Epoch != epoch {
		return sampled
	}
	return daisystatement.Max(sampled, w.Position)
}
