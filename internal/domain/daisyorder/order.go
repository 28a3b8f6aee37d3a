// Package daisyorder defines the one order in which requests wait, for rate limit tokens,
// in the queue of a gateway and for connections: by priority, then by slack, which is the
// time left to the latency objective, or else to the deadline. Progress adds the aging
// by which no class of requests waits for others without end.
package daisyorder

import (
	"cmp"
	"time"
)

// answerMargin is the part of the time to the objective that is kept for the answer: a
// round trip between regions, and some time on the links.
const answerMargin = 50 * time.Millisecond

// Order is what the place of a waiting request depends on.
type Order struct {
	Priority int           // 0 is the highest.
	Class    string        // Requests of a class make progress together.
	StartBy  time.Time     // Until when the request must start to meet its objective; zero without one.
	Deadline time.Time     // Until when it may start at all; zero without one.
	RunTime  time.Duration // The mean of the class.
}

// StartBy returns until when a request must start to be answered by its objective: run
// times vary, so twice the mean is kept for it.
func StartBy(objective time.Time, runTime time.Duration) time.Time {
	if objective.IsZero() {
		return objective
	}
	return objective.Add(-2*runTime - answerMargin)
}

// Groups of requests of one priority.
const (
	inTime      = iota // May still meet the objective.
	noObjective        // States none.
	late               // Cannot meet it any more, and does not delay those that can.
)

func (o Order) group(now time.Time) int {
	switch {
	case o.StartBy.IsZero():
		return noObjective
	case o.StartBy.Before(now):
		return late
	}
	return inTime
}

// Compare returns a negative number if a goes before b at now, and 0 if neither does.
func Compare(a, b Order, now time.Time) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	group := a.group(now)
	if c := cmp.Compare(group, b.group(now)); c != 0 {
		return c
	}
	switch group {
	case inTime:
		return a.StartBy.Compare(b.StartBy)
	case late:
		return a.Deadline.Compare(b.Deadline)
	}
	return 0
}

// CompareWithin is like Compare, for requests of one workspace: where Compare finds no
// difference, the shortest goes first, which serves the largest number under overload.
func CompareWithin(a, b Order, now time.Time) int {
	return cmp.Or(Compare(a, b, now), cmp.Compare(a.RunTime, b.RunTime))
}

// Hurries reports whether the request meets its objective only if it starts within d.
func (o Order) Hurries(now time.Time, d time.Duration) bool {
	return o.group(now) == inTime && o.StartBy.Sub(now) <= d
}
