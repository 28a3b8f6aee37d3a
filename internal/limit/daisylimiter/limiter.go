// Package daisylimiter applies the fleet-wide rate limits of workspaces to the
// requests of a host. The host that holds a workspace's home database owns the
// workspace's token bucket, under the same ownership and lease.
package daisylimiter

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
)

const (
	// grantTimeout bounds the wait for an owner's reply to a grant request.
	grantTimeout = 300 * time.Millisecond
	// grantBackoff is the pause before the next grant request if the owner did not
	// answer, is unknown or no longer owns the bucket.
	grantBackoff = 50 * time.Millisecond
	// surplusCheckInterval is how often a local bucket that holds tokens is checked
	// for tokens to return.
	surplusCheckInterval = 100 * time.Millisecond
	// defaultRetryAfter is when to retry if the workspace is unknown or the limiter
	// closes, and how long a request without a deadline may wait.
	defaultRetryAfter = time.Second
)

// Lease reports whether the host's lease is valid now.
type Lease interface {
	Valid() bool
}

// GrantReply is an owner's reply to a daisybucket.GrantRequest.
type GrantReply struct {
	Tokens     float64
	RetryAfter time.Duration // When to request again if no tokens were granted.
	Owner      bool          // The replying host owns the bucket.
}

// Granter sends grant requests to the host that owns a bucket.
type Granter interface {
	RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, r daisybucket.GrantRequest) (GrantReply, error)
}

// Options configure a Limiter.
type Options struct {
	Host        string
	Incarnation uint64
	View        *daisyfleet.View
	Lease       Lease
	Granter     Granter
}

// waiter is a queued request that waits for tokens.
type waiter struct {
	cost     float64
	deadline time.Time
	done     chan time.Duration // Receives the result of Take.
}

// account is the host's state of one workspace.
type account struct {
	name        string
	local       daisybucket.LocalBucket
	bucket      *daisybucket.Bucket // Nil unless this host owns it.
	term        uint64              // The ownership term that the bucket belongs to.
	queue       []*waiter
	requesting  bool
	timer       *time.Timer
	nextRequest time.Time // No grant request is sent before this time.
}

// Limiter takes tokens for a host's requests and grants tokens to other hosts. Use
// New.
type Limiter struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu         sync.Mutex
	accounts   map[string]*account
	ownerships map[string]ownership // By database that this host owns.
}

// ownership is this host's ownership of a database, and since when it has owned it
// without interruption.
type ownership struct {
	term  uint64
	since time.Time
}

// New returns a limiter and starts following the ownerships in the view.
func New(o Options) *Limiter {
	l := &Limiter{options: o, accounts: make(map[string]*account), ownerships: make(map[string]ownership)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wait.Go(l.followOwnerships)
	return l
}

// followOwnerships updates the ownerships at each change of the control state.
func (l *Limiter) followOwnerships() {
	for {
		changed := l.options.View.Changed()
		l.updateOwnerships()
		select {
		case <-changed:
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Limiter) updateOwnerships() {
	owned := make(map[string]uint64)
	l.options.View.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
			held, ok := o.Value.(daisyfleet.Ownership)
			if ok && held.Holder == l.options.Host && held.Incarnation == l.options.Incarnation && !held.Revoked {
				owned[o.Name] = held.Term
			}
		})
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for database := range l.ownerships {
		if _, ok := owned[database]; !ok {
			delete(l.ownerships, database)
		}
	}
	for database, term := range owned {
		known, ok := l.ownerships[database]
		if !ok || term > known.term+1 {
			// This host missed a term, in which another host may have been the owner.
			known = ownership{since: time.Now()}
		}
		known.term = term
		l.ownerships[database] = known
	}
}

// Take implements daisyholder.Limiter. If ctx ends first, it returns how long the
// rate takes to yield the cost.
func (l *Limiter) Take(ctx context.Context, workspace string, cost float64) (retryAfter time.Duration) {
	pending, retry := l.enqueue(ctx, workspace, cost)
	if pending == nil {
		return retry
	}
	select {
	case retry := <-pending.done:
		return retry
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case retry := <-pending.done:
		return retry
	default:
	}
	a := l.accounts[workspace]
	a.remove(pending)
	return max(time.Duration(cost/l.rate(workspace)*float64(time.Second)), grantBackoff)
}

func (l *Limiter) rate(workspace string) float64 {
	w, ok := l.options.View.Workspace(workspace)
	if !ok {
		return 1
	}
	return w.Rate
}

// enqueue takes the tokens at once, or refuses at once with the time to retry, or
// queues a waiter and returns it.
func (l *Limiter) enqueue(ctx context.Context, workspace string, cost float64) (*waiter, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.options.View.Workspace(workspace)
	if !ok {
		return nil, defaultRetryAfter
	}
	now := time.Now()
	a := l.account(workspace)
	l.updateBucket(a, w, now)
	a.local.AddDemand(now, cost)
	if len(a.queue) == 0 && a.take(now, cost) {
		l.requestIfNeeded(a, w, now)
		return nil, 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultRetryAfter)
	}
	if a.bucket != nil {
		if needed := a.bucket.Delay(now, a.queuedCost()+cost); needed > deadline.Sub(now) {
			return nil, needed
		}
	}
	pending := &waiter{cost: cost, deadline: deadline, done: make(chan time.Duration, 1)}
	a.queue = append(a.queue, pending)
	l.serveQueue(a, w, now)
	return pending, 0
}

func (l *Limiter) account(workspace string) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{name: workspace}
		l.accounts[workspace] = a
	}
	return a
}

// updateBucket sets the account's bucket if this host owns it, and removes it
// otherwise. A new bucket is created if another host may have owned it meanwhile.
func (l *Limiter) updateBucket(a *account, w daisyfleet.Workspace, now time.Time) {
	o, ok := l.ownerships[w.Home]
	if !ok {
		a.bucket = nil
		return
	}
	limit := daisybucket.Limit{Rate: w.Rate, Burst: w.Burst}
	if a.bucket == nil || o.term > a.term+1 {
		a.bucket = daisybucket.NewBucket(limit, o.since)
	}
	a.term = o.term
	a.bucket.SetLimit(limit, now)
}

// take takes tokens from the bucket if this host owns it, or from the local bucket.
func (a *account) take(now time.Time, n float64) bool {
	if a.bucket != nil {
		return a.bucket.Take(now, n) == 0
	}
	return a.local.Take(now, n)
}

func (a *account) queuedCost() float64 {
	total := 0.0
	for _, pending := range a.queue {
		total += pending.cost
	}
	return total
}

func (a *account) remove(pending *waiter) {
	for i, other := range a.queue {
		if other == pending {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// serveQueue serves queued requests while there are tokens, then schedules the next
// attempt or requests tokens.
func (l *Limiter) serveQueue(a *account, w daisyfleet.Workspace, now time.Time) {
	for len(a.queue) > 0 && a.take(now, a.queue[0].cost) {
		a.queue[0].done <- 0
		a.queue = a.queue[1:]
	}
	if len(a.queue) > 0 && a.bucket != nil {
		l.resumeAt(a, now.Add(a.bucket.Delay(now, a.queue[0].cost)))
		return
	}
	l.requestIfNeeded(a, w, now)
}

// requestIfNeeded sends a grant request to the owner if the local bucket is low or
// has tokens to return.
func (l *Limiter) requestIfNeeded(a *account, w daisyfleet.Workspace, now time.Time) {
	queued := a.queuedCost()
	if a.bucket != nil || a.requesting {
		return
	}
	low, surplus := a.local.Low(now, queued), a.local.Surplus(now, queued)
	switch {
	case now.Before(a.nextRequest) && len(a.queue) > 0:
		a.refuseLate(a.nextRequest, a.nextRequest.Sub(now))
		l.resumeAt(a, a.nextRequest)
		return
	case !low && !surplus || now.Before(a.nextRequest):
		if !a.local.Empty(now) {
			l.resumeAt(a, now.Add(surplusCheckInterval))
		}
		return
	}
	owner, ok := l.options.View.Ownership(w.Home)
	host, known := l.options.View.Host(owner.Holder)
	if !ok || !known || l.ctx.Err() != nil {
		a.nextRequest = now.Add(grantBackoff)
		l.resumeAt(a, a.nextRequest)
		return
	}
	a.requesting = true
	request := a.local.Request(now, l.options.Host, queued)
	l.wait.Go(func() { l.requestGrant(a, host.Address, request) })
}

func (l *Limiter) requestGrant(a *account, addr netip.AddrPort, request daisybucket.GrantRequest) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
	reply, err := l.options.Granter.RequestGrant(ctx, addr, a.name, request)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a.requesting = false
	switch {
	case err != nil || !reply.Owner:
		a.nextRequest = now.Add(grantBackoff)
	case reply.Tokens > 0:
		a.local.AddGrant(sent, reply.Tokens)
	case reply.RetryAfter > 0:
		a.nextRequest = now.Add(reply.RetryAfter)
		a.refuseLate(a.nextRequest, reply.RetryAfter)
	}
	l.resume(a, now)
}

// refuseLate refuses the queued requests whose deadline is before the next grant
// request.
func (a *account) refuseLate(nextRequest time.Time, retry time.Duration) {
	kept := a.queue[:0]
	for _, pending := range a.queue {
		if nextRequest.After(pending.deadline) {
			pending.done <- retry
			continue
		}
		kept = append(kept, pending)
	}
	a.queue = kept
}

func (l *Limiter) resume(a *account, now time.Time) {
	w, ok := l.options.View.Workspace(a.name)
	if !ok || l.ctx.Err() != nil {
		return
	}
	l.updateBucket(a, w, now)
	l.serveQueue(a, w, now)
}

// resumeAt serves the account's queue again at the given time. l.mu is held.
func (l *Limiter) resumeAt(a *account, at time.Time) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(time.Until(at), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.resume(a, time.Now())
	})
}

// Grant replies to another host's grant request. It grants tokens only if this host
// owns the bucket and its lease is valid.
func (l *Limiter) Grant(workspace string, request daisybucket.GrantRequest) GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.options.View.Workspace(workspace)
	if !ok || !l.options.Lease.Valid() {
		return GrantReply{}
	}
	now := time.Now()
	a := l.account(workspace)
	l.updateBucket(a, w, now)
	if a.bucket == nil {
		return GrantReply{}
	}
	if queued := a.queuedCost(); queued > 0 {
		// Requests that wait on this host go first.
		request.Want = math.Min(request.Want, 1)
	}
	tokens, retry := a.bucket.Grant(now, request)
	return GrantReply{Tokens: tokens, RetryAfter: retry, Owner: true}
}

// Close refuses the queued requests and stops the limiter.
func (l *Limiter) Close() error {
	l.cancel()
	l.mu.Lock()
	for _, a := range l.accounts {
		if a.timer != nil {
			a.timer.Stop()
		}
		for _, pending := range a.queue {
			pending.done <- defaultRetryAfter
		}
		a.queue = nil
	}
	l.mu.Unlock()
	l.wait.Wait()
	return nil
}
