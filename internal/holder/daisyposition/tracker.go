// Package daisyposition decides which replicas of a database group may serve a
// read. It knows how far the primary's log went when, up to where each
// workspace wrote, and how far each replica has applied the log.
//
// All writes of a group pass through its one holder, so the holder's ledger
// knows every acknowledged write without asking anyone.
package daisyposition

import (
	"slices"
	"sort"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

const (
	// sampleInterval is the least time between two samples of the head.
	sampleInterval = 10 * time.Millisecond
	// sampleLimit bounds the samples kept.
	sampleLimit = 2048
)

// sample says that the head had reached at least position by time.
type sample struct {
	time     time.Time
	position daisystream.Position
}

// Tracker holds the positions of one group during one tenure. It is not safe
// for concurrent use.
type Tracker struct {
	start   daisystream.Position
	oldest  daisystream.Position // The head before the first kept sample.
	head    daisystream.Position
	samples []sample
	marks   map[string]daisystream.Position // By workspace.
	callers map[Caller]daisystream.Position
	applied map[string]daisystream.Position
}

// New returns a ledger for a tenure whose primary stood at start. Every write
// before the tenure lies at or before start.
func New(start daisystream.Position) *Tracker {
	return &Tracker{
		start:   start,
		oldest:  start,
		head:    start,
		marks:   make(map[string]daisystream.Position),
		callers: make(map[Caller]daisystream.Position),
		applied: make(map[string]daisystream.Position),
	}
}

// Head returns the furthest known position of the primary.
func (l *Tracker) Head() daisystream.Position { return l.head }

// Caller identifies who writes: a workspace and one of its keys.
type Caller struct {
	Workspace string
	Key       string // The identifier of the key.
}

// RecordWrite notes a write of the caller that was committed at the position.
func (l *Tracker) RecordWrite(c Caller, p daisystream.Position, now time.Time) {
	l.marks[c.Workspace] = daisystream.Later(l.marks[c.Workspace], p)
	l.callers[c] = daisystream.Later(l.callers[c], p)
	if !l.head.Less(p) {
		return
	}
	l.head = p
	n := len(l.samples)
	if n > 0 && now.Sub(l.samples[n-1].time) < sampleInterval {
		// The later position is kept under the earlier time: a reader then
		// asks for more than it needs, never for less.
		l.samples[n-1].position = p
		return
	}
	l.samples = append(l.samples, sample{time: now, position: p})
	if len(l.samples) > sampleLimit {
		surplus := len(l.samples) - sampleLimit
		l.oldest = l.samples[surplus-1].position
		l.samples = slices.Delete(l.samples, 0, surplus)
	}
}

// RecordApplied notes how far a replica has applied the log. A replica may step back.
func (l *Tracker) RecordApplied(member string, p daisystream.Position) { l.applied[member] = p }

// Forget removes a replica.
func (l *Tracker) Forget(member string) { delete(l.applied, member) }

// MinPosition returns the floor of a session of the caller that arrives now: every
// write that was acknowledged to the caller lies at or before it. A key that has
// not written during the tenure may be a new one of a caller that has, so it
// gets the floor of its whole workspace.
func (l *Tracker) MinPosition(c Caller) daisystream.Position {
	if p, ok := l.callers[c]; ok {
		return daisystream.Later(l.start, p)
	}
	return daisystream.Later(l.start, l.marks[c.Workspace])
}

// need returns the position that a read must have reached.
func (l *Tracker) need(floor daisystream.Position, maxAge time.Duration, now time.Time) daisystream.Position {
	if maxAge == 0 {
		return floor
	}
	since := now.Add(-maxAge)
	i := sort.Search(len(l.samples), func(i int) bool { return l.samples[i].time.After(since) })
	if i == 0 {
		return daisystream.Later(floor, l.oldest)
	}
	return daisystream.Later(floor, l.samples[i-1].position)
}

// Replicas appends to dst the replicas that may serve a read with the floor
// and the greatest age, in the order of names. A maxAge of 0 sets no bound.
func (l *Tracker) Replicas(dst []string, floor daisystream.Position, maxAge time.Duration, now time.Time) []string {
	need := l.need(floor, maxAge, now)
	for name, p := range l.applied {
		if !p.Less(need) {
			dst = append(dst, name)
		}
	}
	slices.Sort(dst)
	return dst
}
