// Package daisyqueue shares a fixed number of slots fairly between workspaces.
//
// The service that a workspace has received is the time for which it held slots,
// divided by its weight. A free slot goes to the waiting workspace that has
// received the least service, as in start-time fair queueing (Goyal, Vin and
// Cheng, 1996). An idle workspace accumulates no credit. Within a workspace, the
// request with the lowest rank goes first.
//
// A request of a higher priority goes before those of other workspaces too, as long as
// its workspace is ahead of the least served one by no more than priorityCredit. So
// priorities hold while workspaces keep to their shares, and none crowds out others by
// the priority of its requests.
package daisyqueue

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// maxWaiting is the maximum number of waiting requests of one workspace.
const maxWaiting = 512

// priorityCredit is the service that a workspace may receive ahead of the least served
// one for the priority of its requests, in time for which it holds a slot.
const priorityCredit = 250 * time.Millisecond

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
	urgent      []*waiter     // Served before all others, in the order of arrival.
	virtualTime time.Duration // Service of the workspace last chosen as the least served; never decreases.
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Workspace string
	Weight    float64 // The workspace's share relative to others; 0 counts as 1.
	Priority  int     // The highest is 0.
	Rank      float64 // Orders the requests of a workspace and priority, the lowest first.
	Urgent    bool    // Served before all requests that are not, since others wait for the requester.
}

type workspaceState struct {
	service time.Duration // Service of released slots; raised to the virtual time when the workspace becomes active.
	weight  float64
	held    map[*Slot]bool
	waiting []*waiter // In the order of priority, then of rank, then of arrival.
}

type waiter struct {
	ready     chan struct{}
	workspace string
	priority  int
	rank      float64
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

// Acquire waits for a slot with weight 1 and rank 0 until ctx is done.
func (q *Queue) Acquire(ctx context.Context, workspace string) (*Slot, error) {
	return q.AcquireSlot(ctx, SlotRequest{Workspace: workspace})
}

// before reports whether w is served before a request of the priority and rank that
// comes now, within a workspace.
func (w *waiter) before(priority int, rank float64) bool {
	return w.priority < priority || w.priority == priority && w.rank <= rank
}

// AllWaiting returns how many requests are waiting.
func (q *Queue) AllWaiting() int { return q.Waiting(math.MaxInt, 0) }

// Waiting returns how many waiting requests are urgent or have at most the given
// priority and rank: an estimate of how many are served before a new request of them.
func (q *Queue) Waiting(priority int, rank float64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.urgent)
	for _, ws := range q.workspaces {
		for _, w := range ws.waiting {
			if w.before(priority, rank) {
				n++
			}
		}
	}
	return n
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
	q.cancel(workspace, w)
	return nil, ctx.Err()
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
	if len(ws.waiting) >= maxWaiting {
		return nil, ErrFull
	}
	if len(ws.waiting) == 0 && len(ws.held) == 0 {
		ws.service = max(ws.service, q.virtualTime)
	}
	w := &waiter{ready: make(chan struct{}), workspace: workspace, priority: r.Priority, rank: r.Rank}
	if r.Urgent {
		q.urgent = append(q.urgent, w)
		q.dispatch()
		return w, nil
	}
	at := len(ws.waiting)
	for at > 0 && !ws.waiting[at-1].before(w.priority, w.rank) {
		at--
	}
	ws.waiting = slices.Insert(ws.waiting, at, w)
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
			ws.waiting = append(ws.waiting[:i], ws.waiting[i+1:]...)
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
	ws := q.first(now)
	if ws == nil {
		return nil
	}
	w := ws.waiting[0]
	ws.waiting = ws.waiting[1:]
	return w
}

// first returns the workspace whose first request is to be served next: of those within
// priorityCredit of the least served one, the one with the request of the highest
// priority and, among equals, with the least service. It returns nil if none is waiting.
func (q *Queue) first(now time.Time) (best *workspaceState) {
	_, least := q.leastServed(now)
	if least == nil {
		return nil
	}
	best = least
	leastService, bestService := least.serviceAt(now), least.serviceAt(now)
	for _, ws := range q.workspaces {
		if len(ws.waiting) == 0 || ws.waiting[0].priority > best.waiting[0].priority {
			continue
		}
		service := ws.serviceAt(now)
		if service > leastService+ws.weighted(priorityCredit) {
			continue
		}
		if ws.waiting[0].priority < best.waiting[0].priority || service < bestService {
			best, bestService = ws, service
		}
	}
	return best
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
