// Package daisyposition decides which replicas of a database group may serve a
// read. It tracks the primary's log position over time, the position of the last
// write of each workspace and client, and the position that each replica has
// applied.
//
// All writes of a group pass through its one holder, so the holder's tracker
// knows every acknowledged write without asking other hosts.
package daisyposition

import (
	"slices"
	"sort"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

const (
	// sampleInterval is the minimum time between two samples of the head.
	sampleInterval = 10 * time.Millisecond
	// maxSamples is the maximum number of samples kept.
	maxSamples = 2048
)

// sample is a position that covers every write up to its time.
type sample struct {
	time     time.Time
	position daisystream.Position
}

// Tracker tracks the log positions of one group during one term of ownership. It
// is not safe for concurrent use.
type Tracker struct {
	start       daisystream.Position
	oldest      daisystream.Position // The head before the first kept sample.
	head        daisystream.Position
	samples     []sample
	byWorkspace map[string]daisystream.Position // Last write of each workspace.
	byClient    map[Client]daisystream.Position // Last write of each client.
	applied     map[string]daisystream.Position // By replica.
}

// New returns a tracker for a term of ownership that begins with the primary's log
// at start. Every write of earlier terms lies at or before start.
func New(start daisystream.Position) *Tracker {
	return &Tracker{
		start:       start,
		oldest:      start,
		head:        start,
		byWorkspace: make(map[string]daisystream.Position),
		byClient:    make(map[Client]daisystream.Position),
		applied:     make(map[string]daisystream.Position),
	}
}

// Head returns the latest known position of the primary.
func (t *Tracker) Head() daisystream.Position { return t.head }

// Client identifies a writer: a workspace and one of its keys.
type Client struct {
	Workspace string
	Key       string // The identifier of the key.
}

// RecordWrite records a write of the client that was committed at the position.
func (t *Tracker) RecordWrite(c Client, p daisystream.Position, now time.Time) {
	t.byWorkspace[c.Workspace] = daisystream.Later(t.byWorkspace[c.Workspace], p)
	t.byClient[c] = daisystream.Later(t.byClient[c], p)
	if !t.head.Less(p) {
		return
	}
	t.head = p
	n := len(t.samples)
	if n > 0 && now.Sub(t.samples[n-1].time) < sampleInterval {
		// Keeping the later position with the earlier time may make a read
		// require a later position than necessary, but never an earlier one.
		t.samples[n-1].position = p
		return
	}
	t.samples = append(t.samples, sample{time: now, position: p})
	if len(t.samples) > maxSamples {
		surplus := len(t.samples) - maxSamples
		t.oldest = t.samples[surplus-1].position
		t.samples = slices.Delete(t.samples, 0, surplus)
	}
}

// RecordApplied records the position that a replica has applied. It may be earlier
// than the one recorded before.
func (t *Tracker) RecordApplied(member string, p daisystream.Position) { t.applied[member] = p }

// Forget removes a replica.
func (t *Tracker) Forget(member string) { delete(t.applied, member) }

// MinPosition returns the minimum position for the reads of a new session of the
// client: every write that was acknowledged to the client lies at or before it. A
// key that has not written during this term may be a new key of an application
// that wrote with another one, so it gets the minimum position of its workspace.
func (t *Tracker) MinPosition(c Client) daisystream.Position {
	if p, ok := t.byClient[c]; ok {
		return daisystream.Later(t.start, p)
	}
	return daisystream.Later(t.start, t.byWorkspace[c.Workspace])
}

// required returns the position that a replica must have applied to serve a read.
func (t *Tracker) required(minPosition daisystream.Position, maxAge time.Duration, now time.Time) daisystream.Position {
	if maxAge == 0 {
		return minPosition
	}
	since := now.Add(-maxAge)
	i := sort.Search(len(t.samples), func(i int) bool { return t.samples[i].time.After(since) })
	if i == 0 {
		return daisystream.Later(minPosition, t.oldest)
	}
	return daisystream.Later(minPosition, t.samples[i-1].position)
}

// Replicas appends to dst the names of the replicas that may serve a read with the
// given minimum position and maximum age, sorted. A maxAge of 0 sets no bound on
// the age.
func (t *Tracker) Replicas(dst []string, minPosition daisystream.Position, maxAge time.Duration, now time.Time) []string {
	required := t.required(minPosition, maxAge, now)
	for name, p := range t.applied {
		if !p.Less(required) {
			dst = append(dst, name)
		}
	}
	slices.Sort(dst)
	return dst
}
