// Package daisyqueue shares a fixed number of slots fairly between workspaces.
//
// The measure of fairness is the time for which a workspace holds slots: a
// free slot goes to the waiting workspace that has had the least for its weight,
// as in start-time fair queueing (Goyal, Vin and Cheng, 1996). A workspace that
// was idle gains no credit for it. Within a workspace the least rank goes first.
package daisyqueue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// lineLimit bounds the requests of one workspace that wait at a queue.
const lineLimit = 512

var (
	// ErrFull is returned at once if too many requests of the workspace wait.
	ErrFull = errors.New("too many requests of the workspace are waiting")
	// ErrClosed is returned when the queue has been closed.
	ErrClosed = errors.New("queue is closed")
)

// Queue hands out slots. Use New.
type Queue struct {
	mu     sync.Mutex
	free   int
	slots  int
	closed bool
	tenant map[string]*tenant
	urgent []*waiter     // Before all others, by arrival.
	floor  time.Duration // The least service of any active workspace so far.
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Workspace string
	Weight    float64 // The share that the workspace is due; 0 counts as 1.
	Rank      float64 // Orders the claims of a workspace, the least first.
	Urgent    bool    // The claim's holder keeps others waiting: it goes before all others.
}

type tenant struct {
	served  time.Duration // Slot time of finished uses by weight, with the floor as base.
	weight  float64
	holding map[*Slot]bool
	line    []*waiter // By rank, then by arrival.
}

type waiter struct {
	ready     chan struct{}
	workspace string
	rank      float64
	slot      *Slot
	err       error
}

// Slot is the right to use one of the queue's slots.
type Slot struct {
	queue     *Queue
	workspace string
	since     time.Time
}

// New returns a queue with the number of slots.
func New(slots int) *Queue {
	return &Queue{free: slots, slots: slots, tenant: make(map[string]*tenant)}
}

// Busy returns how many slots are in use.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots - q.free
}

// Acquire waits for a slot until ctx ends.
func (q *Queue) Acquire(ctx context.Context, workspace string) (*Slot, error) {
	return q.AcquireSlot(ctx, SlotRequest{Workspace: workspace})
}

// Waiting returns how many claims would be served before a new one, if every
// workspace's claims of the same rank or a lesser one were.
func (q *Queue) Waiting(rank float64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.urgent)
	for _, t := range q.tenant {
		for _, w := range t.line {
			if w.rank <= rank {
				n++
			}
		}
	}
	return n
}

// SetSlots changes the number of slots from now on.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += slots - q.slots
	q.slots = slots
	q.dispatch()
}

// AcquireSlot waits for a slot until ctx ends.
func (q *Queue) AcquireSlot(ctx context.Context, c SlotRequest) (*Slot, error) {
	workspace := c.Workspace
	w, err := q.join(c)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.ready:
		return w.slot, w.err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.slot != nil {
		q.release(w.slot)
		return nil, ctx.Err()
	}
	q.leave(workspace, w)
	return nil, ctx.Err()
}

func (q *Queue) join(c SlotRequest) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	workspace := c.Workspace
	if q.closed {
		return nil, ErrClosed
	}
	t := q.tenant[workspace]
	if t == nil {
		t = &tenant{served: q.floor, holding: make(map[*Slot]bool)}
		q.tenant[workspace] = t
	}
	if t.weight = c.Weight; t.weight <= 0 {
		t.weight = 1
	}
	if len(t.line) >= lineLimit {
		return nil, ErrFull
	}
	if len(t.line) == 0 && len(t.holding) == 0 {
		t.served = max(t.served, q.floor)
	}
	w := &waiter{ready: make(chan struct{}), workspace: workspace, rank: c.Rank}
	if c.Urgent {
		q.urgent = append(q.urgent, w)
		q.dispatch()
		return w, nil
	}
	at := len(t.line)
	for at > 0 && t.line[at-1].rank > w.rank {
		at--
	}
	t.line = slices.Insert(t.line, at, w)
	q.dispatch()
	return w, nil
}

func (q *Queue) leave(workspace string, w *waiter) {
	if i := slices.Index(q.urgent, w); i >= 0 {
		q.urgent = slices.Delete(q.urgent, i, i+1)
	}
	t := q.tenant[workspace]
	if t == nil {
		return
	}
	for i, other := range t.line {
		if other == w {
			t.line = append(t.line[:i], t.line[i+1:]...)
			break
		}
	}
	q.retire(workspace, t)
}

// dispatch gives free slots to the least served waiting workspaces.
func (q *Queue) dispatch() {
	now := time.Now()
	for q.free > 0 {
		w := q.next(now)
		if w == nil {
			return
		}
		q.free--
		w.slot = &Slot{queue: q, workspace: w.workspace, since: now}
		q.tenant[w.workspace].holding[w.slot] = true
		close(w.ready)
	}
}

// next takes the claim to be served next from its line, or returns nil.
func (q *Queue) next(now time.Time) *waiter {
	if len(q.urgent) > 0 {
		w := q.urgent[0]
		q.urgent = q.urgent[1:]
		return w
	}
	_, t := q.least(now)
	if t == nil {
		return nil
	}
	w := t.line[0]
	t.line = t.line[1:]
	return w
}

func (q *Queue) least(now time.Time) (string, *tenant) {
	var name string
	var best *tenant
	var bestService time.Duration
	for workspace, t := range q.tenant {
		if len(t.line) == 0 {
			continue
		}
		service := t.service(now)
		if best == nil || service < bestService || service == bestService && workspace < name {
			name, best, bestService = workspace, t, service
		}
	}
	if best != nil {
		q.floor = max(q.floor, best.served)
	}
	return name, best
}

// service returns the slot time so far, uses under way included.
func (t *tenant) service(now time.Time) time.Duration {
	total := t.served
	for s := range t.holding {
		total += t.weigh(now.Sub(s.since))
	}
	return total
}

func (t *tenant) weigh(d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.weight)
}

// Release gives the slot back. It may be called once.
func (s *Slot) Release() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.release(s)
}

func (q *Queue) release(s *Slot) {
	t := q.tenant[s.workspace]
	t.served += t.weigh(time.Since(s.since))
	delete(t.holding, s)
	q.free++
	q.retire(s.workspace, t)
	q.dispatch()
}

// retire drops a workspace that is idle and has no more service than others,
// so that the memory is bounded by the active workspaces.
func (q *Queue) retire(workspace string, t *tenant) {
	waits := slices.ContainsFunc(q.urgent, func(w *waiter) bool { return w.workspace == workspace })
	if len(t.line) == 0 && len(t.holding) == 0 && !waits && t.served <= q.floor {
		delete(q.tenant, workspace)
	}
}

// Close fails the waiting requests and those to come.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.urgent {
		w.err = ErrClosed
		close(w.ready)
	}
	q.urgent = nil
	for _, t := range q.tenant {
		for _, w := range t.line {
			w.err = ErrClosed
			close(w.ready)
		}
		t.line = nil
	}
}
