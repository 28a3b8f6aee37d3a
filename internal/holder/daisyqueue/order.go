package daisyqueue

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

const (
	// priorityCredit is the service that a workspace may receive ahead of the least served
	// one for the order of its requests, in time for which it holds a slot.
	priorityCredit = 250 * time.Millisecond
	// hurryCredit is the same for a request that would miss its objective otherwise.
	hurryCredit = 2 * priorityCredit
	// hurryTime is the time in which such a request must start: with less left, it may
	// not get one of the next slots.
	hurryTime = 100 * time.Millisecond
	// hopelessInterval is how often a waiting request asks whether it is hopeless. The
	// answer takes a pass over all that wait.
	hopelessInterval = 200 * time.Millisecond
)

// ErrTooLate is returned for a request that waits and is not expected to be served in its
// time any more.
var ErrTooLate = errors.New("the request cannot be served in its time")

// first returns the workspace whose request is to be served next, and the request's
// index: of those within their credit of the least served one, the one whose request is
// first in the order and, among equals, with the least service. It returns nil if none
// is waiting.
func (q *Queue) first(now time.Time) (best *workspaceState, at int) {
	_, least := q.leastServed(now)
	if least == nil {
		return nil, 0
	}
	best, at = least, least.firstWaiter(now)
	leastService := least.serviceAt(now)
	bestService := leastService
	for _, ws := range q.workspaces {
		if len(ws.waiting) == 0 || ws == least {
			continue
		}
		i, service := ws.firstWaiter(now), ws.serviceAt(now)
		order := ws.waiting[i].order
		if service > leastService+ws.weighted(credit(order, now)) {
			continue
		}
		c := daisyorder.Compare(order, best.waiting[at].order, now)
		if c < 0 || c == 0 && service < bestService {
			best, at, bestService = ws, i, service
		}
	}
	return best, at
}

// credit returns by how much a request's workspace may be ahead of the least served one.
func credit(o daisyorder.Order, now time.Time) time.Duration {
	if o.Hurries(now, hurryTime) {
		return hurryCredit
	}
	return priorityCredit
}

// firstWaiter returns the index of the workspace's request that is first in the order.
// There must be one.
func (ws *workspaceState) firstWaiter(now time.Time) (best int) {
	for i, w := range ws.waiting {
		if daisyorder.CompareWithin(w.order, ws.waiting[best].order, now) < 0 {
			best = i
		}
	}
	return best
}

// displace makes room for a request of the order if one that goes after it is waiting:
// the last of the workspace's fails with ErrFull. It returns false if there is none.
func (q *Queue) displace(ws *workspaceState, o daisyorder.Order) bool {
	now := time.Now()
	last := 0
	for i, w := range ws.waiting {
		if daisyorder.CompareWithin(w.order, ws.waiting[last].order, now) >= 0 {
			last = i
		}
	}
	w := ws.waiting[last]
	if daisyorder.CompareWithin(o, w.order, now) >= 0 {
		return false
	}
	ws.waiting = slices.Delete(ws.waiting, last, last+1)
	q.progress.Remove(w.order, false, now)
	w.err = ErrFull
	close(w.ready)
	return true
}

// starved returns the workspace and the index of the request that is served next if a
// class of requests has waited too long: the first of that class of the least served
// workspace. Otherwise it returns nil.
func (q *Queue) starved(now time.Time) (best *workspaceState, at int) {
	class, ok := q.progress.Starved(now)
	if !ok {
		return nil, 0
	}
	for _, ws := range q.workspaces {
		i := ws.firstOfClass(class, now)
		if i >= 0 && (best == nil || ws.serviceAt(now) < best.serviceAt(now)) {
			best, at = ws, i
		}
	}
	return best, at
}

// firstOfClass returns the index of the workspace's first request of the class, or -1.
func (ws *workspaceState) firstOfClass(class daisyorder.Order, now time.Time) int {
	best := -1
	for i, w := range ws.waiting {
		if w.order.SameClass(class) && (best < 0 || daisyorder.CompareWithin(w.order, ws.waiting[best].order, now) < 0) {
			best = i
		}
	}
	return best
}

// await waits until the waiter is ready, ctx is done or the request is hopeless.
func (q *Queue) await(ctx context.Context, w *waiter, hopeless func(ahead int) bool) error {
	if hopeless == nil {
		select {
		case <-w.ready:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	ticker := time.NewTicker(hopelessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ready:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if hopeless(q.ahead(w.workspace, w.order, w)) {
				return ErrTooLate
			}
		}
	}
}

// AllWaiting returns how many requests are waiting.
func (q *Queue) AllWaiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.urgent)
	for _, ws := range q.workspaces {
		n += len(ws.waiting)
	}
	return n
}

// Ahead returns how many of the waiting requests are expected to be served before the
// request, if it came now.
func (q *Queue) Ahead(r SlotRequest) int {
	if r.Urgent {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.urgent)
	}
	return q.ahead(r.Workspace, r.order(), nil)
}

// ahead returns how many waiting requests are expected to be served before one of the
// order; w is that request if it waits already. Of another workspace, at most as many
// of the same priority are served as of the request's own, and one more: the shares are
// fair. Requests that came later do not count if their order is the same.
func (q *Queue) ahead(workspace string, o daisyorder.Order, w *waiter) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	own := 0
	if ws := q.workspaces[workspace]; ws != nil {
		higher, equal := ws.countBefore(o, w, now)
		own = higher + equal
	}
	n := len(q.urgent) + own
	for name, ws := range q.workspaces {
		if name != workspace {
			higher, equal := ws.countBefore(o, nil, now)
			n += higher + min(equal, own+1)
		}
	}
	return n
}

// countBefore returns how many of the workspace's requests go before one of the order,
// of higher priorities and of the same. It counts up to the waiter w among equals.
func (ws *workspaceState) countBefore(o daisyorder.Order, w *waiter, now time.Time) (higher, equal int) {
	passed := false
	for _, other := range ws.waiting {
		if other == w {
			passed = true
			continue
		}
		c := daisyorder.CompareWithin(other.order, o, now)
		switch {
		case c > 0 || c == 0 && passed:
		case other.order.Priority < o.Priority:
			higher++
		default:
			equal++
		}
	}
	return higher, equal
}
