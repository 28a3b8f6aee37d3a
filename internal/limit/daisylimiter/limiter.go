// Package daisylimiter holds the requests of a host to the fleet-wide limits
// of their workspaces. The bucket of a workspace lives on the host that holds
// the workspace's home database, under the same tenure and lease.
package daisylimiter

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
)

const (
	// askTimeout bounds the wait for an owner's answer.
	askTimeout = 300 * time.Millisecond
	// askBackoff is the pause after an owner did not answer.
	askBackoff = 50 * time.Millisecond
	// surplusCheck is how often a purse that holds tokens is looked at.
	surplusCheck = 100 * time.Millisecond
	// unknownRetry is when to come back if no owner is known.
	unknownRetry = time.Second
)

// Lease tells whether the host's lease is valid at this moment.
type Lease interface {
	Valid() bool
}

// GrantReply is an owner's answer to an Ask.
type GrantReply struct {
	Tokens     float64
	RetryAfter time.Duration // When to ask again if no tokens were granted.
	Owner      bool          // The asked host owns the bucket.
}

// Granter asks the owner of a bucket on another host.
type Granter interface {
	RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, a daisybucket.GrantRequest) (GrantReply, error)
}

// Options configure a Limiter.
type Options struct {
	Host        string
	Incarnation uint64
	View        *daisyfleet.View
	Lease       Lease
	Granter     Granter
}

// claim is a request that waits for tokens.
type claim struct {
	cost     float64
	deadline time.Time
	done     chan time.Duration // Receives what Take returns.
}

// account is what the host knows of one workspace.
type account struct {
	name    string
	purse   daisybucket.LocalBucket
	bucket  *daisybucket.Bucket // Nil unless this host owns it.
	term    uint64              // Of the tenure that the bucket belongs to.
	queue   []*claim
	asking  bool
	timer   *time.Timer
	waitFor time.Time // No ask is sent before.
}

// Limiter implements the limits. Use New.
type Limiter struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	accounts map[string]*account
	tenures  map[string]held // The databases whose tenure this host holds.
}

// held is a tenure of this host and since when it has held it without a break.
type held struct {
	term  uint64
	since time.Time
}

// New starts a limiter.
func New(o Options) *Limiter {
	l := &Limiter{options: o, accounts: make(map[string]*account), tenures: make(map[string]held)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wait.Go(l.follow)
	return l
}

// follow keeps track of the tenures that this host holds.
func (l *Limiter) follow() {
	for {
		changed := l.options.View.Changed()
		l.reconcile()
		select {
		case <-changed:
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Limiter) reconcile() {
	mine := make(map[string]uint64)
	l.options.View.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
			t, ok := o.Value.(daisyfleet.Ownership)
			if ok && t.Holder == l.options.Host && t.Incarnation == l.options.Incarnation && !t.Revoked {
				mine[o.Name] = t.Term
			}
		})
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for database := range l.tenures {
		if _, ok := mine[database]; !ok {
			delete(l.tenures, database)
		}
	}
	for database, term := range mine {
		h, ok := l.tenures[database]
		if !ok || term > h.term+1 {
			// A term was missed, in which another host may have been the owner.
			h = held{since: time.Now()}
		}
		h.term = term
		l.tenures[database] = h
	}
}

// Take implements daisyholder.Limiter.
func (l *Limiter) Take(ctx context.Context, workspace string, cost float64) (retryAfter time.Duration) {
	c, retry := l.enqueue(ctx, workspace, cost)
	if c == nil {
		return retry
	}
	select {
	case retry := <-c.done:
		return retry
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case retry := <-c.done:
		return retry
	default:
	}
	a := l.accounts[workspace]
	a.remove(c)
	return max(time.Duration(cost/l.rate(workspace)*float64(time.Second)), askBackoff)
}

func (l *Limiter) rate(workspace string) float64 {
	w, ok := l.options.View.Workspace(workspace)
	if !ok {
		return 1
	}
	return w.Rate
}

// enqueue takes the tokens at once, refuses at once, or returns a claim.
func (l *Limiter) enqueue(ctx context.Context, workspace string, cost float64) (*claim, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.options.View.Workspace(workspace)
	if !ok {
		return nil, unknownRetry
	}
	now := time.Now()
	a := l.account(workspace)
	l.setOwner(a, w, now)
	a.purse.AddDemand(now, cost)
	if len(a.queue) == 0 && a.take(now, cost) {
		l.restock(a, w, now)
		return nil, 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(unknownRetry)
	}
	if a.bucket != nil {
		if needed := a.bucket.Delay(now, a.queued()+cost); needed > deadline.Sub(now) {
			return nil, needed
		}
	}
	c := &claim{cost: cost, deadline: deadline, done: make(chan time.Duration, 1)}
	a.queue = append(a.queue, c)
	l.pump(a, w, now)
	return c, 0
}

func (l *Limiter) account(workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{name: workspace}
		l.accounts[workspace] = a
	}
	return a
}

// setOwner gives the account its bucket if this host owns it, and takes it
// away if not.
func (l *Limiter) setOwner(a *account, w daisyfleet.Workspace, now time.Time) {
	h, ok := l.tenures[w.Home]
	if !ok {
		a.bucket = nil
		return
	}
	limit := daisybucket.Limit{Rate: w.Rate, Burst: w.Burst}
	if a.bucket == nil || h.term > a.term+1 {
		a.bucket = daisybucket.NewBucket(limit, h.since)
	}
	a.term = h.term
	a.bucket.SetLimit(limit, now)
}

// take takes tokens from the bucket or the purse.
func (a *account) take(now time.Time, n float64) bool {
	if a.bucket != nil {
		return a.bucket.Take(now, n) == 0
	}
	return a.purse.Take(now, n)
}

func (a *account) queued() float64 {
	total := 0.0
	for _, c := range a.queue {
		total += c.cost
	}
	return total
}

func (a *account) remove(c *claim) {
	for i, other := range a.queue {
		if other == c {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// pump serves the queue as far as tokens go and arranges for the rest.
func (l *Limiter) pump(a *account, w daisyfleet.Workspace, now time.Time) {
	for len(a.queue) > 0 && a.take(now, a.queue[0].cost) {
		a.queue[0].done <- 0
		a.queue = a.queue[1:]
	}
	if len(a.queue) > 0 && a.bucket != nil {
		l.wakeAt(a, now.Add(a.bucket.Delay(now, a.queue[0].cost)))
		return
	}
	l.restock(a, w, now)
}

// restock asks the owner for more when the purse is low.
func (l *Limiter) restock(a *account, w daisyfleet.Workspace, now time.Time) {
	queued := a.queued()
	if a.bucket != nil || a.asking {
		return
	}
	low, surplus := a.purse.Low(now, queued), a.purse.Surplus(now, queued)
	switch {
	case now.Before(a.waitFor) && len(a.queue) > 0:
		a.giveUp(a.waitFor, a.waitFor.Sub(now))
		l.wakeAt(a, a.waitFor)
		return
	case !low && !surplus || now.Before(a.waitFor):
		if !a.purse.Empty(now) {
			l.wakeAt(a, now.Add(surplusCheck))
		}
		return
	}
	tenure, ok := l.options.View.Ownership(w.Home)
	host, known := l.options.View.Host(tenure.Holder)
	if !ok || !known || l.ctx.Err() != nil {
		a.waitFor = now.Add(askBackoff)
		l.wakeAt(a, a.waitFor)
		return
	}
	a.asking = true
	ask := a.purse.Request(now, l.options.Host, queued)
	l.wait.Go(func() { l.ask(a, host.Address, ask) })
}

func (l *Limiter) ask(a *account, addr netip.AddrPort, ask daisybucket.GrantRequest) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, askTimeout)
	answer, err := l.options.Granter.RequestGrant(ctx, addr, a.name, ask)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a.asking = false
	switch {
	case err != nil || !answer.Owner:
		a.waitFor = now.Add(askBackoff)
	case answer.Tokens > 0:
		a.purse.AddGrant(sent, answer.Tokens)
	case answer.RetryAfter > 0:
		a.waitFor = now.Add(answer.RetryAfter)
		a.giveUp(a.waitFor, answer.RetryAfter)
	}
	l.repump(a, now)
}

// giveUp refuses at once the claims that cannot be met before their deadline.
func (a *account) giveUp(next time.Time, retry time.Duration) {
	kept := a.queue[:0]
	for _, c := range a.queue {
		if next.After(c.deadline) {
			c.done <- retry
			continue
		}
		kept = append(kept, c)
	}
	a.queue = kept
}

func (l *Limiter) repump(a *account, now time.Time) {
	w, ok := l.options.View.Workspace(a.name)
	if !ok || l.ctx.Err() != nil {
		return
	}
	l.setOwner(a, w, now)
	l.pump(a, w, now)
}

// wakeAt pumps the account again at the time; l.mu is held.
func (l *Limiter) wakeAt(a *account, at time.Time) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(time.Until(at), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.repump(a, time.Now())
	})
}

// Grant answers another host's Ask if this host owns the bucket.
func (l *Limiter) Grant(workspace string, ask daisybucket.GrantRequest) GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.options.View.Workspace(workspace)
	if !ok || !l.options.Lease.Valid() {
		return GrantReply{}
	}
	now := time.Now()
	a := l.account(workspace)
	l.setOwner(a, w, now)
	if a.bucket == nil {
		return GrantReply{}
	}
	if wanted := a.queued(); wanted > 0 {
		// Those who wait here came first.
		ask.Want = math.Min(ask.Want, 1)
	}
	tokens, retry := a.bucket.Grant(now, ask)
	return GrantReply{Tokens: tokens, RetryAfter: retry, Owner: true}
}

// Close refuses what waits and stops the limiter.
func (l *Limiter) Close() error {
	l.cancel()
	l.mu.Lock()
	for _, a := range l.accounts {
		if a.timer != nil {
			a.timer.Stop()
		}
		for _, c := range a.queue {
			c.done <- unknownRetry
		}
		a.queue = nil
	}
	l.mu.Unlock()
	l.wait.Wait()
	return nil
}
