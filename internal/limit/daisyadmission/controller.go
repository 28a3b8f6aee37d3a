// Package daisyadmission admits operations on one host within the rate limits of
// their workspaces.
package daisyadmission

import (
	"context"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// minRequestInterval is the minimum time between two heartbeats that are sent
	// early to request tokens.
	minRequestInterval = 60 * time.Millisecond
	// maxRequestInterval is that minimum for a workspace whose pool keeps running out,
	// where more requests yield no more tokens. It is less than half the heartbeat
	// interval, so that hosts draw from the pool before it is full.
	maxRequestInterval = 240 * time.Millisecond
	// retryInterval is how often a waiting operation tries to take a token of a divided
	// limit, besides when tokens are granted.
	retryInterval = 10 * time.Millisecond
	// onDemandRetryInterval is the same for a limit granted on demand, of which no token
	// comes without a grant.
	onDemandRetryInterval = 50 * time.Millisecond
	// minRetryInterval is the minimum time between two attempts of an operation.
	minRetryInterval = time.Millisecond
	// unansweredFactor is how many times as long an operation may wait for the answer of
	// a control leader that grants on demand: it is denied at once if no token is left,
	// so that an operation without an answer waits for another leader.
	unansweredFactor = 2
)

// Refusals are numbers of refused operations since the controller was created.
type Refusals struct {
	OverRate uint64 // The control leader had no token left for the workspace.
	// Unanswered counts operations for which the control leader granted no token in
	// time but did not say that none was left. The workspace may be within its rate.
	Unanswered uint64
}

// Controller admits operations by the host's token buckets of the workspaces.
// It is safe for concurrent use. Use New.
type Controller struct {
	requestTokens func() // Sends the next heartbeat at once.

	mu          sync.Mutex
	hosts       int
	limits      map[string]daisyquota.WorkspaceLimit // By workspace.
	buckets     map[string]*daisyquota.HostBucket    // By workspace.
	lastRequest time.Time                            // When requestTokens was last called.
	waiting     map[string]*waiters                  // By workspace.
	pending     map[string]pendingRequest            // By workspace.
	granted     chan struct{}                        // Closed when tokens are granted.
	refusals    Refusals
}

// pendingRequest is the state of a workspace's request for tokens.
type pendingRequest struct {
	lacking    float64       // Tokens of a divided limit requested but not granted yet.
	interval   time.Duration // Minimum time between two early heartbeats for a divided limit.
	denied     time.Time     // When the control leader last said that no token was left.
	retryAfter time.Duration // When to request tokens again, from denied on; 0 if not stated.
}

// New returns a Controller without limits. It calls requestTokens when it lacks
// tokens; this is to send the next heartbeat, with the Demands, at once.
func New(requestTokens func()) *Controller {
	return &Controller{
		requestTokens: requestTokens, hosts: 1, limits: make(map[string]daisyquota.WorkspaceLimit), buckets: make(map[string]*daisyquota.HostBucket),
		waiting: make(map[string]*waiters), pending: make(map[string]pendingRequest), granted: make(chan struct{}),
	}
}

// SetHosts sets the number of hosts that share the limits.
func (c *Controller) SetHosts(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == c.hosts {
		return
	}
	c.hosts = n
	c.apply()
}

// SetLimits replaces the limits of all workspaces.
func (c *Controller) SetLimits(limits []daisyquota.WorkspaceLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.limits)
	for _, l := range limits {
		c.limits[l.Workspace] = l
	}
	c.apply()
}

func (c *Controller) apply() {
	now := daisyclock.Now()
	for name, l := range c.limits {
		if b := c.buckets[name]; b != nil {
			b.SetLimit(now, l, c.hosts)
			continue
		}
		c.buckets[name] = daisyquota.NewHostBucket(now, l, c.hosts)
	}
	for name := range c.buckets {
		if _, ok := c.limits[name]; !ok {
			delete(c.buckets, name)
			delete(c.pending, name)
			if c.countAllWaiting(name) == 0 {
				delete(c.waiting, name)
			}
		}
	}
}

// Admit admits one operation of the workspace. It waits up to maxWait for a token, or
// unansweredFactor times as long for a control leader that does not answer, and, if it
// gets none, returns the time to retry. Waiting operations of a higher
// priority, which is a lower number, go first.
func (c *Controller) Admit(workspace string, priority int, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	return c.AdmitInOrder(context.Background(), workspace, daisyorder.Order{Priority: priority}, maxWait)
}

// AdmitInOrder is like Admit. Waiting operations that are first in the order go first. The
// wait ends with client, which is done when the client has left.
func (c *Controller) AdmitInOrder(client context.Context, workspace string, o daisyorder.Order, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	arrived := daisyclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok, retryAfter = c.take(arrived, workspace, &o, (*daisyquota.HostBucket).Take); ok {
		return ok, retryAfter
	}
	c.wait(arrived, workspace, &o)
	defer func() { c.leave(daisyclock.Now(), workspace, &o, ok) }()
	if b := c.buckets[workspace]; b != nil && b.OnDemand() {
		maxWait *= unansweredFactor
	}
	until := arrived.Add(maxWait)
	for now := arrived; now.Before(until) && !c.denied(workspace, arrived); now = daisyclock.Now() {
		c.request(now, workspace)
		c.awaitGrant(client, workspace, now, until)
		if client.Err() != nil {
			return false, 0
		}
		if ok, retryAfter = c.take(daisyclock.Now(), workspace, &o, (*daisyquota.HostBucket).RetryTake); ok {
			return ok, retryAfter
		}
	}
	c.request(daisyclock.Now(), workspace)
	p := c.pending[workspace]
	if p.denied.Before(arrived) {
		c.refusals.Unanswered++
		return false, retryAfter
	}
	c.refusals.OverRate++
	if p.retryAfter > 0 {
		retryAfter = max(p.retryAfter-daisyclock.Now().Sub(p.denied), minRequestInterval)
	}
	return false, retryAfter
}

// denied reports whether the control leader has denied a token to one of the waiting
// operations since the given time, so that waiting is of no use.
func (c *Controller) denied(workspace string, since time.Time) bool {
	b, p := c.buckets[workspace], c.pending[workspace]
	return b != nil && p.retryAfter > 0 && !p.denied.Before(since) && float64(c.countAllWaiting(workspace)) > b.Expected()
}

// awaitGrant waits until tokens are granted, the next token may be used or it is time
// to try again, but no longer than until. It unlocks c.mu while it waits.
func (c *Controller) awaitGrant(client context.Context, workspace string, now, until time.Time) {
	wait := retryInterval
	if b := c.buckets[workspace]; b != nil && b.OnDemand() {
		wait = onDemandRetryInterval
		if next := c.lastRequest.Add(minRequestInterval); next.After(now) {
			wait = next.Sub(now) // Another operation's request was just sent.
		}
		if from, ok := b.NextToken(); ok {
			wait = max(from.Sub(now), minRetryInterval) // An operation of a higher priority may take it.
		}
	}
	granted := c.granted
	c.mu.Unlock()
	defer c.mu.Lock()
	timer := time.NewTimer(min(wait, until.Sub(now)))
	defer timer.Stop()
	select {
	case <-granted:
	case <-client.Done():
	case <-timer.C:
	}
}

// take takes a token unless another operation that waits for one goes first. It
// requires c.mu.
func (c *Controller) take(now time.Time, workspace string, o *daisyorder.Order, take func(*daisyquota.HostBucket, time.Time) (bool, time.Duration)) (bool, time.Duration) {
	b := c.buckets[workspace]
	if b == nil {
		return false, time.Second
	}
	if c.otherGoesFirst(now, workspace, o) {
		return false, minRequestInterval
	}
	return take(b, now)
}

// request sends the next heartbeat early if the workspace lacks tokens that were not
// requested a short time ago. It requires c.mu.
func (c *Controller) request(now time.Time, workspace string) {
	b := c.buckets[workspace]
	if b == nil || now.Sub(c.lastRequest) <= max(minRequestInterval-minRetryInterval, c.pending[workspace].interval) {
		return
	}
	if b.Wanted(now, c.countAllWaiting(workspace)) > 0 {
		c.lastRequest = now
		c.requestTokens()
	}
}

// Refusals returns the numbers of refused operations so far.
func (c *Controller) Refusals() Refusals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals
}

// State returns the state of the workspace's bucket; zero if there is none.
func (c *Controller) State(workspace string) (s daisyquota.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.buckets[workspace]; b != nil {
		s = b.State()
	}
	return s
}

// Demands returns the tokens to request with a heartbeat, by workspace, and records
// them as requested.
func (c *Controller) Demands() []daisyheartbeat.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	var demands []daisyheartbeat.Demand
	for name, b := range c.buckets {
		tokens := b.Request(now, c.countAllWaiting(name))
		if tokens > 0 {
			demands = append(demands, daisyheartbeat.Demand{Workspace: name, Tokens: tokens})
		}
		if !b.OnDemand() {
			c.pending[name] = c.pending[name].next(tokens)
		}
	}
	return demands
}

// next returns the state after another request for the tokens. While earlier
// requests are not fully granted, the interval doubles up to maxRequestInterval.
func (r pendingRequest) next(tokens float64) pendingRequest {
	interval := minRequestInterval
	if r.lacking > 0 && tokens > 0 {
		interval = min(2*max(r.interval, minRequestInterval), maxRequestInterval)
	}
	return pendingRequest{lacking: tokens, interval: interval, denied: r.denied, retryAfter: r.retryAfter}
}

// AddGrants adds granted tokens to the workspaces' buckets. A grant of none says that no
// token is left.
func (c *Controller) AddGrants(grants []daisyheartbeat.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	for _, d := range grants {
		b := c.buckets[d.Workspace]
		if b == nil {
			continue
		}
		r := c.pending[d.Workspace]
		if d.Tokens > 0 {
			b.Add(now, d.Tokens, d.After)
			r.lacking -= d.Tokens
		} else {
			b.Deny(d.Denied)
			r.denied, r.retryAfter = now, d.RetryAfter
		}
		c.pending[d.Workspace] = r
	}
	close(c.granted)
	c.granted = make(chan struct{})
}
