package daisyadmission

import (
	"math/rand/v2"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

const (
	// minLostRetry and maxLostRetry bound the time after which a client of a host that
	// has lost control is to retry. Another host may serve it at once; the spread keeps
	// clients from returning together.
	minLostRetry = 50 * time.Millisecond
	maxLostRetry = 250 * time.Millisecond
)

// Cause is why an operation was refused.
type Cause int

// The causes.
const (
	// CauseOverRate means that the control leader had no token left for the workspace.
	CauseOverRate Cause = iota
	// CauseUnanswered means that the control leader granted no token in time but did not
	// say that none was left. The workspace may be within its rate.
	CauseUnanswered
	// CauseLostControl means that no control host answers this host.
	CauseLostControl
	// CauseClientLeft means that nobody waits for the operation any more. It is not counted.
	CauseClientLeft
)

// Refusal tells why an operation was refused and when to retry it.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
}

// Refusals are numbers of refused operations since the controller was created.
type Refusals struct {
	OverRate    uint64 // By CauseOverRate.
	Unanswered  uint64 // By CauseUnanswered.
	LostControl uint64 // By CauseLostControl.
}

// LostControlRetry returns the time after which a client that was refused since this host
// has lost control is to retry.
func LostControlRetry() time.Duration { return minLostRetry + rand.N(maxLostRetry-minLostRetry) }

// WatchControl sets the function that reports whether no control host answers. It must
// not block.
func (c *Controller) WatchControl(lost func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostControl = lost
}

// until returns until when an operation may wait for a token.
func (c *Controller) until(workspace string, arrived time.Time, maxWait time.Duration) time.Time {
	b := c.buckets[workspace]
	if b == nil || !b.LeaderHolds() || !b.OnDemand() && !c.pending[workspace].denied.Before(arrived) {
		return arrived.Add(maxWait)
	}
	return arrived.Add(unansweredFactor * maxWait)
}

// hopeless reports whether waiting for a token is of no use, since no control host can
// grant one and the own part of a divided limit yields the next one too late.
func (c *Controller) hopeless(workspace string, nextTooLate bool) bool {
	b := c.buckets[workspace]
	return b != nil && (b.OnDemand() || nextTooLate) && c.lostControl()
}

// refuse counts the refusal of an operation that arrived at the given time, and returns
// it. The bucket's time to retry is used if the control leader stated none.
func (c *Controller) refuse(workspace string, arrived time.Time, retryAfter time.Duration) *Refusal {
	p := c.pending[workspace]
	switch {
	case c.lostControl():
		c.refusals.LostControl++
		return &Refusal{Cause: CauseLostControl, RetryAfter: LostControlRetry()}
	case p.denied.Before(arrived):
		c.refusals.Unanswered++
		return &Refusal{Cause: CauseUnanswered, RetryAfter: retryAfter}
	case p.retryAfter > 0:
		retryAfter = max(p.retryAfter-daisyclock.Now().Sub(p.denied), minRequestInterval)
	}
	c.refusals.OverRate++
	return &Refusal{Cause: CauseOverRate, RetryAfter: retryAfter}
}

// Refusals returns the numbers of refused operations so far.
func (c *Controller) Refusals() Refusals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}
