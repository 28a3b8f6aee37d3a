// Package daisyadmission admits operations on one host within the rate limits of
// their workspaces.
package daisyadmission

import (
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
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
	// retryInterval is how often a waiting operation tries to take a token.
	retryInterval = 10 * time.Millisecond
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
	waiting     map[string]map[int]int               // Number of waiting operations, by workspace and priority.
	pending     map[string]pendingRequest            // By workspace.
}

// pendingRequest is the state of a workspace's request for tokens.
type pendingRequest struct {
	lacking  float64       // Tokens requested but not granted yet.
	interval time.Duration // Minimum time between two early heartbeats.
}

// New returns a Controller without limits. It calls requestTokens when it lacks
// tokens; this is to send the next heartbeat, with the Demands, at once.
func New(requestTokens func()) *Controller {
	return &Controller{
		requestTokens: requestTokens, hosts: 1, limits: make(map[string]daisyquota.WorkspaceLimit), buckets: make(map[string]*daisyquota.HostBucket),
		waiting: make(map[string]map[int]int), pending: make(map[string]pendingRequest),
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
		}
	}
}

// Admit admits one operation of the workspace. It waits up to maxWait for a token
// and, if it gets none, returns the time to retry. Waiting operations of a higher
// priority, which is a lower number, go first.
func (c *Controller) Admit(workspace string, priority int, maxWait time.Duration) (ok bool, retryAfter time.Duration) {
	until := daisyclock.Now().Add(maxWait)
	if ok, retryAfter = c.take(daisyclock.Now(), workspace, priority, (*daisyquota.HostBucket).Take); ok {
		return ok, retryAfter
	}
	c.countWaiting(workspace, priority, 1)
	defer c.countWaiting(workspace, priority, -1)
	for daisyclock.Now().Before(until) {
		time.Sleep(retryInterval)
		if ok, retryAfter = c.take(daisyclock.Now(), workspace, priority, (*daisyquota.HostBucket).RetryTake); ok {
			break
		}
	}
	return ok, retryAfter
}

// countWaiting adds the change to the number of waiting operations of the workspace
// and priority.
func (c *Controller) countWaiting(workspace string, priority, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byPriority := c.waiting[workspace]
	if byPriority == nil {
		byPriority = make(map[int]int)
		c.waiting[workspace] = byPriority
	}
	if byPriority[priority] += change; byPriority[priority] == 0 {
		delete(byPriority, priority)
	}
	if len(byPriority) == 0 {
		delete(c.waiting, workspace)
	}
}

// higherPriorityWaits reports whether an operation of a higher priority is waiting.
func (c *Controller) higherPriorityWaits(workspace string, priority int) bool {
	for p := range c.waiting[workspace] {
		if p < priority {
			return true
		}
	}
	return false
}

func (c *Controller) take(now time.Time, workspace string, priority int, take func(*daisyquota.HostBucket, time.Time) (bool, time.Duration)) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[workspace]
	if b == nil {
		return false, time.Second
	}
	if c.higherPriorityWaits(workspace, priority) {
		return false, minRequestInterval
	}
	ok, wait := take(b, now)
	if !ok && now.Sub(c.lastRequest) > max(minRequestInterval, c.pending[workspace].interval) {
		c.lastRequest = now
		c.requestTokens()
	}
	return ok, wait
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
		tokens := b.Wanted(now)
		if tokens > 0 {
			demands = append(demands, daisyheartbeat.Demand{Workspace: name, Tokens: tokens})
		}
		c.pending[name] = c.pending[name].next(tokens)
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
	return pendingRequest{lacking: tokens, interval: interval}
}

// AddGrants adds granted tokens to the workspaces' buckets.
func (c *Controller) AddGrants(grants []daisyheartbeat.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	for _, d := range grants {
		if b := c.buckets[d.Workspace]; b != nil {
			b.Add(now, d.Tokens)
			r := c.pending[d.Workspace]
			r.lacking -= d.Tokens
			c.pending[d.Workspace] = r
		}
	}
}
