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
	// unansweredFactor is how many times as long an operation may wait if the control
	// leader, which holds the limit, has not said that no token is left: the operation
	// then waits for the answer, or for another leader. An election and
	// the way to the new leader take a second, and its pool is empty at first: with 6,
	// 1.4% of the operations around an election were refused, with 8 0.3%.
	unansweredFactor = 8
)

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
	reserveUsed uint64      // Tokens in reserve that operations used.
	lostControl func() bool // Reports whether no control host answers.
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
		lostControl: func() bool { return false },
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

// Admit is like Decide without the cause of a refusal.
func (c *Controller) Admit(workspace string, priority int, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	refused := c.Decide(context.Background(), workspace, daisyorder.Order{Priority: priority}, maxWait)
	if refused == nil {
		return true, 0
	}
	return false, refused.RetryAfter
}

// Decide admits one operation of the workspace and returns nil, or returns why it is
// refused. The operation waits up to maxWait for a token, or unansweredFactor times as
// long for a control leader that does not answer, but not if no control host does.
// Waiting operations that are first in the order go first. The wait ends with client,
// which is done when the client has left.
func (c *Controller) Decide(client context.Context, workspace string, o daisyorder.Order, maxWait time.Duration) *Refusal {
	arrived := daisyclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.buckets[workspace]; b != nil {
		b.Count(arrived) // Also if another operation goes first and none is taken.
	}
	ok, retryAfter := c.take(arrived, workspace, &o, (*daisyquota.HostBucket).RetryTake)
	if ok {
		return nil
	}
	c.wait(arrived, workspace, &o)
	defer func() { c.leave(daisyclock.Now(), workspace, &o, ok) }()
	soon := arrived.Add(maxWait)
	for now := arrived; now.Before(c.until(workspace, arrived, maxWait)) && !c.denied(workspace, arrived) && !c.hopeless(workspace, now.Add(retryAfter).After(soon)); now = daisyclock.Now() {
		c.request(now, workspace)
		c.awaitGrant(client, workspace, now, c.until(workspace, arrived, maxWait))
		if client.Err() != nil {
			return &Refusal{Cause: CauseClientLeft}
		}
		if ok, retryAfter = c.take(daisyclock.Now(), workspace, &o, (*daisyquota.HostBucket).RetryTake); ok {
			return nil
		}
	}
	c.request(daisyclock.Now(), workspace)
	return c.refuse(workspace, arrived, retryAfter)
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
	used := b.ReserveUsed()
	ok, wait := take(b, now)
	c.reserveUsed += b.ReserveUsed() - used
	return ok, wait
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
		d := daisyheartbeat.Demand{Workspace: name, Tokens: tokens}
		reserve := requestReserve(now, b, &d)
		if tokens > 0 || reserve {
			demands = append(demands, d)
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
		if d.Sequence != 0 {
			addReserve(now, b, d)
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
