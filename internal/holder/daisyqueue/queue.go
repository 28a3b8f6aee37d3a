// Package daisyqueue shares a fixed number of slots fairly between workspaces.
//
// The service that a workspace has received is the time for which it held slots,
// divided by its weight. A free slot goes to the waiting workspace that has
// received the least service, as in start-time fair queueing (Goyal, Vin and
// Cheng, 1996). An idle workspace accumulates no credit. Within a workspace, the
// request that is first in the order of package daisyorder goes first: by priority,
// by slack, by run time.
//
// A request of a higher priority or with less slack goes before those of other workspaces
// too, as long as its workspace is ahead of the least served one by no more than
// priorityCredit, or hurryCredit if it would miss its objective otherwise. So the order
// holds while workspaces keep to their shares, and none crowds out others by the priority
// of its requests.
//
// A class of requests of which none was served for daisyorder.MaxClassWait gets the next
// slot.
package daisyqueue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

// maxWaiting is the maximum number of waiting requests of one workspace.
const maxWaiting = 512

var (
	// ErrFull is returned at once if too many requests of the workspace are waiting.
	ErrFull = errors.New("too many requests of the workspace are waiting")
	// ErrClosed is returned when the queue has been closed.
	ErrClosed = errors.New("queue is closed")
)

// Queue hands out slots. Use New.
type Queue struct {
	mu          sync.Mutex
	free        int
	slots       int
	closed      bool
	workspaces  map[string]*workspaceState
	urgent      []*waiter // Served before all others, in the order of arrival.
	progress    daisyorder.Progress
	virtualTime time.Duration // Service of the workspace last chosen as the least served; never decreases.
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Workspace string
	Weight    float64 // The workspace's share relative to others; 0 counts as 1.
	Priority  int     // The highest is 0.
	Urgent    bool    // Served before all requests that are not, since others wait for the requester.

	Class    string        // Requests of a class make progress together.
	StartBy  time.Time     // Until when the request must start to meet its objective; zero without one.
	Deadline time.Time     // Until when it may start at all; zero without one.
	RunTime  time.Duration // Orders requests with the same slack, the shortest first.

	// Hopeless is called at times while the request waits, with the number of requests
	// that are expected to be served before it. If it returns true, the request fails
	// with ErrTooLate. It may be nil, and is not called for urgent requests.
	Hopeless func(ahead int) bool
}

func (r SlotRequest) order() daisyorder.Order {
	return daisyorder.Order{Priority: r.Priority, Class: r.Class, StartBy: r.StartBy, Deadline: r.Deadline, RunTime: r.RunTime}
}

type workspaceState struct {
	service time.Duration // Service of released slots; raised to the virtual time when the workspace becomes active.
	weight  float64
	held    map[*Slot]bool
	waiting []*waiter // In the order of arrival.
}

type waiter struct {
	ready     chan struct{}
	workspace string
	order     daisyorder.Order
	slot      *Slot
	err       error
}

// Slot is one of the queue's slots while a workspace holds it.
type Slot struct {
	queue     *Queue
	workspace string
	since     time.Time
}

// New returns a queue with the given number of slots.
func New(slots int) *Queue {
	return &Queue{free: slots, slots: slots, workspaces: make(map[string]*workspaceState)}
}

// Busy returns how many slots are in use.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots - q.free
}

// Acquire waits for a slot with weight 1 and the highest priority until ctx is done.
func (q *Queue) Acquire(ctx context.Context, workspace string) (*Slot, error) {
	return q.AcquireSlot(ctx, SlotRequest{Workspace: workspace})
}

// SetSlots changes the number of slots. If there are fewer than are held, no slot
// is handed out until enough are released.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += slots - q.slots
	q.slots = slots
	q.dispatch()
}

// AcquireSlot waits for a slot until ctx is done.
func (q *Queue) AcquireSlot(ctx context.Context, r SlotRequest) (*Slot, error) {
	workspace := r.Workspace
	w, err := q.enqueue(r)
	if err != nil {
		return nil, err
	}
	hopeless := r.Hopeless
	if r.Urgent {
		hopeless = nil
	}
	if err = q.await(ctx, w, hopeless); err == nil {
		return w.slot, w.err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.slot != nil {
		q.release(w.slot)
		return nil, err
	}
	if w.err == nil {
		q.cancel(workspace, w)
	}
	return nil, err
}

func (q *Queue) enqueue(r SlotRequest) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	workspace := r.Workspace
	if q.closed {
		return nil, ErrClosed
	}
	ws := q.workspaces[workspace]
	if ws == nil {
		ws = &workspaceState{service: q.virtualTime, held: make(map[*Slot]bool)}
		q.workspaces[workspace] = ws
	}
	if ws.weight = r.Weight; ws.weight <= 0 {
		ws.weight = 1
	}
	if len(ws.waiting) >= maxWaiting && !q.displace(ws, r.order()) {
		return nil, ErrFull
	}
	if len(ws.waiting) == 0 && len(ws.held) == 0 {
		ws.service = max(ws.service, q.virtualTime)
	}
	w := &waiter{ready: make(chan struct{}), workspace: workspace, order: r.order()}
	if r.Urgent {
		q.urgent = append(q.urgent, w)
		q.dispatch()
		return w, nil
	}
	ws.waiting = append(ws.waiting, w)
	q.progress.Add(w.order, time.Now())
	q.dispatch()
	return w, nil
}

func (q *Queue) cancel(workspace string, w *waiter) {
	if i := slices.Index(q.urgent, w); i >= 0 {
		q.urgent = slices.Delete(q.urgent, i, i+1)
	}
	ws := q.workspaces[workspace]
	if ws == nil {
		return
	}
	for i, other := range ws.waiting {
		if other == w {
			ws.waiting = slices.Delete(ws.waiting, i, i+1)
			q.progress.Remove(w.order, false, time.Now())
			break
		}
	}
	q.removeIdle(workspace, ws)
}

// dispatch hands out the free slots. It requires q.mu.
func (q *Queue) dispatch() {
	now := time.Now()
	for q.free > 0 {
		w := q.next(now)
		if w == nil {
			return
		}
		q.free--
		w.slot = &Slot{queue: q, workspace: w.workspace, since: now}
		q.workspaces[w.workspace].held[w.slot] = true
		close(w.ready)
	}
}

// next removes and returns the waiter to be served next, or returns nil.
func (q *Queue) next(now time.Time) *waiter {
	if len(q.urgent) > 0 {
		w := q.urgent[0]
		q.urgent = q.urgent[1:]
		return w
	}
	if ws, i := q.starved(now); ws != nil {
		return q.take(ws, i, now)
	}
	ws, i := q.first(now)
	if ws == nil {
		return nil
	}
	return q.take(ws, i, now)
}

// take removes the workspace's waiter at the index, which is served now.
func (q *Queue) take(ws *workspaceState, i int, now time.Time) *waiter {
	w := ws.waiting[i]
	ws.waiting = slices.Delete(ws.waiting, i, i+1)
	q.progress.Remove(w.order, true, now)
	return w
}

func (q *Queue) leastServed(now time.Time) (string, *workspaceState) {
	var name string
	var best *workspaceState
	var bestService time.Duration
	for workspace, ws := range q.workspaces {
		if len(ws.waiting) == 0 {
			continue
		}
		service := ws.serviceAt(now)
		if best == nil || service < bestService || service == bestService && workspace < name {
			name, best, bestService = workspace, ws, service
		}
	}
	if best != nil {
		q.virtualTime = max(q.virtualTime, best.service)
	}
	return name, best
}

// serviceAt returns the service so far, including that of the slots still held.
func (ws *workspaceState) serviceAt(now time.Time) time.Duration {
	total := ws.service
	for s := range ws.held {
		total += ws.weighted(now.Sub(s.since))
	}
	return total
}

func (ws *workspaceState) weighted(d time.Duration) time.Duration {
	return time.Duration(float64(d) / ws.weight)
}

// Release returns the slot to the queue. It must be called once.
func (s *Slot) Release() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.release(s)
}

func (q *Queue) release(s *Slot) {
	ws := q.workspaces[s.workspace]
	ws.service += ws.weighted(time.Since(s.since))
	delete(ws.held, s)
	q.free++
	q.removeIdle(s.workspace, ws)
	q.dispatch()
}

// removeIdle drops the state of a workspace that is idle and would start at the
// virtual time anyway, so that memory is bounded by the active workspaces.
func (q *Queue) removeIdle(workspace string, ws *workspaceState) {
	waits := slices.ContainsFunc(q.urgent, func(w *waiter) bool { return w.workspace == workspace })
	if len(ws.waiting) == 0 && len(ws.held) == 0 && !waits && ws.service <= q.virtualTime {
		delete(q.workspaces, workspace)
	}
}

// Close makes all waiting and future requests fail with ErrClosed.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.urgent {
		w.err = ErrClosed
		close(w.ready)
	}
	q.urgent = nil
	for _, ws := range q.workspaces {
		for _, w := range ws.waiting {
			w.err = ErrClosed
			close(w.ready)
		}
		ws.waiting = nil
	}
}
