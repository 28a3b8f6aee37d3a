package daisygateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

const (
	// defaultSlots is the number of slots assumed for a server that does not report
	// how many statements it runs at once.
	defaultSlots = 4
	// extraSlots is how many statements beyond its slots a server is sent, so that
	// it is not idle while an answer and the next statement are in transit.
	extraSlots = 1
	// maxClasses bounds the classes whose run times are kept for a server.
	maxClasses = 4096
	// smoothingFactor is the weight of a new observation in the mean run time.
	smoothingFactor = 0.1
	// initialRunTime is the run time assumed before any is observed.
	initialRunTime = 25 * time.Millisecond
)

// Gateway runs statement requests on backend servers over its own pool of
// connections. It is safe for concurrent use.
type Gateway struct {
	// OnWait is called with the time for which a request of the class waited at a place
	// before it was served. It may be nil.
	OnWait func(place, class string, wait time.Duration)

	pool *daisypool.Pool
	log  log.Interface

	counters counters
	active   atomic.Int64 // Statements running, and pinned connections.

	mu      sync.Mutex
	servers map[string]*serverState
}

// serverState holds the queue for one server and its measured run times.
type serverState struct {
	queue      *daisyqueue.Queue
	retries    retrySchedule
	evacuation *evacuation
	cold       coldBudget

	mu            sync.Mutex
	slots         int
	shared        bool                     // Whether other gateways serve a part of the workspaces.
	meanRunTime   time.Duration            // Moving average over all statements.
	classRunTimes map[string]time.Duration // Moving average by class of request.
}

// New returns a gateway over the pool.
func New(p *daisypool.Pool, l log.Interface) *Gateway {
	return &Gateway{pool: p, log: l, servers: make(map[string]*serverState)}
}

// SetSlots sets how many statements the server runs at once, 0 if unknown, and
// whether it is far away. A far server is sent twice its slots, to cover the round
// trip.
func (g *Gateway) SetSlots(server string, slots int, far bool) {
	if slots <= 0 {
		slots = defaultSlots
	}
	extra := extraSlots
	if far {
		extra = slots
	}
	g.setLimit(server, slots, extra, false)
}

// setLimit sets a server's slots, how many statements beyond them it is sent, and whether
// other gateways serve a part of the workspaces.
func (g *Gateway) setLimit(server string, slots, extra int, shared bool) {
	if slots <= 0 {
		slots = defaultSlots
	}
	s := g.server(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots, s.shared = slots, shared
	s.queue.SetSlots(slots + extra)
}

func (g *Gateway) server(server string) *serverState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[server]
	if s == nil {
		s = &serverState{
			queue: daisyqueue.New(defaultSlots + extraSlots), evacuation: newEvacuation(),
			slots: defaultSlots, meanRunTime: initialRunTime, classRunTimes: make(map[string]time.Duration),
		}
		g.servers[server] = s
	}
	return s
}

// Forget closes the queue of a server that was removed and drops its state.
func (g *Gateway) Forget(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.servers[server]; s != nil {
		s.queue.Close()
		delete(g.servers, server)
	}
}

// observe records how long a statement ran.
func (s *serverState) observe(req daisyrequest.Request, took time.Duration) {
	if !req.Pin {
		s.observeClass(req.QueueClass(), took)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanRunTime = average(s.meanRunTime, took)
}

// observeClass records how long all statements of a request of the class ran on
// the server.
func (s *serverState) observeClass(class string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.classRunTimes[class]
	switch {
	case ok:
		s.classRunTimes[class] = average(mean, took)
	case len(s.classRunTimes) < maxClasses:
		s.classRunTimes[class] = took
	}
}

func average(mean, next time.Duration) time.Duration {
	return time.Duration((1-smoothingFactor)*float64(mean) + smoothingFactor*float64(next))
}

// Run runs the request. The position that its Freshness asks for must have been added
// to its statement, and the Freshness be zero. If Pin is set and the statement succeeded, it also returns
// the pinned connection. After an error that is not daisyrequest.ErrNotSent, it is unknown
// whether the statement ran.
func (g *Gateway) Run(req daisyrequest.Request) (a daisystatement.Answer, conn daisyrequest.PinnedConn, err error) {
	g.counters.requests.Add(1)
	g.active.Add(1)
	defer func() {
		if conn == nil {
			g.active.Add(-1)
		}
		g.logFailure(req, err)
	}()
	if !g.pool.Usable(req.Server) {
		return a, nil, fmt.Errorf("%w: %w: this host is not a gateway of the server", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable)
	}
	if req.Freshness.MaxAge > 0 {
		return a, nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrNoPosition)
	}
	s := g.server(req.Server)
	base := s.evacuation.context()
	if base.Err() != nil {
		g.counters.evacuated.Add(1)
		return a, nil, errEvacuated
	}
	urgent := req.Statement.Kind == daisystatement.KindStatus
	if !urgent && !s.cold.admits() {
		g.counters.overBudget.Add(1)
		return a, nil, errOverBudget()
	}
	arrived, order := time.Now(), s.order(req)
	if wait := s.expectedWait(s.slotRequest(req, order)); wait > time.Until(req.SendDeadline) {
		g.counters.overloaded.Add(1)
		return a, nil, s.overload(req, wait, 0, s.servesOthers(req, order))
	}
	ctx, cancel := context.WithDeadline(base, req.SendDeadline)
	defer cancel()
	defer context.AfterFunc(req.Waiting(), cancel)()
	c, slot, err := g.obtain(ctx, s, req, order)
	if err != nil && s.evacuation.active() {
		g.counters.evacuated.Add(1)
		return a, nil, errEvacuated
	}
	if err != nil && req.Waiting().Err() != nil {
		err = fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrClientLeft)
	}
	if errors.Is(err, errQueueTimeout) {
		g.counters.overloaded.Add(1)
		return a, nil, s.overload(req, s.expectedWait(s.slotRequest(req, order)), time.Since(arrived), true)
	}
	if err != nil {
		g.counters.notSent.Add(1)
		return a, nil, err
	}
	defer slot.Release()
	if urgent {
		err = s.cold.await(ctx)
	} else if !s.cold.take() {
		err = errOverBudget()
	}
	if err != nil {
		g.counters.overBudget.Add(1)
		s.evacuation.end(c)
		c.Release()
		return a, nil, err
	}
	a, err = run(s, c, req)
	if err == nil && req.Pin && a.Failure == nil {
		return a, &localPinnedConn{gateway: g, server: s, conn: c, class: req.QueueClass()}, nil
	}
	s.evacuation.end(c)
	c.Release()
	if errors.Is(err, daisyrequest.ErrEvacuated) {
		g.counters.evacuated.Add(1)
	}
	return a, nil, err
}

// errQueueTimeout is returned if a statement did not get a connection and a slot by
// its send deadline.
var errQueueTimeout = errors.New("no connection and slot of the server were free in time")

// obtain returns a connection and a slot. If no connection is free, it gives the
// slot back while it waits for one, so that open transactions, which hold the
// connections, can go on.
func (g *Gateway) obtain(ctx context.Context, s *serverState, req daisyrequest.Request, o daisyorder.Order) (*daisypool.Conn, *daisyqueue.Slot, error) {
	began := time.Now()
	slot, err := s.queue.AcquireSlot(ctx, s.slotRequest(req, o))
	if err != nil {
		return nil, nil, notQueued(err)
	}
	g.recordWait(placeQueue, req, began)
	began = time.Now()
	free := g.pool.Free(req.Server)
	if !free {
		slot.Release()
	}
	c, err := g.pool.Acquire(ctx, req.Server, req.Workspace, use(&req), o)
	if err != nil && free {
		slot.Release()
	}
	if err != nil {
		return nil, nil, notSent(err)
	}
	g.recordWait(placeConnection, req, began)
	if free {
		return c, slot, nil
	}
	slot, err = s.queue.AcquireSlot(ctx, daisyqueue.SlotRequest{Workspace: req.Workspace, Weight: req.Weight, Urgent: true})
	if err != nil {
		c.Release()
		return nil, nil, notQueued(err)
	}
	return c, slot, nil
}

// notQueued classifies a failure to get a slot.
func notQueued(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, daisyqueue.ErrFull) || errors.Is(err, daisyqueue.ErrTooLate) {
		return fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, errQueueTimeout, err)
	}
	return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, err)
}

// notSent classifies a failure to get a connection.
func notSent(err error) error {
	var refused *daisystatement.Failure
	if errors.Is(err, daisypool.ErrFull) {
		return fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, errQueueTimeout, err)
	}
	if errors.As(err, &refused) || errors.Is(err, daisypool.ErrUnknownServer) || errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable, err)
}

// use returns what the request needs a connection for.
func use(req *daisyrequest.Request) daisypool.Use {
	u := daisypool.Use{Values: req.Values}
	switch {
	case req.Pin:
		u.Kind = daisypool.UseTransaction
	case req.Statement.Kind == daisystatement.KindStatus:
		u.Kind = daisypool.UseStatus
	case mayPersist(req):
		u.Kind = daisypool.UseWrite
	}
	return u
}

// run sets the session values on the connection, prepares the statement to be
// executed if the connection lacks it, and runs the statement. The connection is not used
// again if the state of its session on the server is not certain.
func run(s *serverState, c *daisypool.Conn, req daisyrequest.Request) (a daisystatement.Answer, err error) {
	if err := s.evacuation.begin(c, &req); err != nil {
		return a, err
	}
	if err := align(c, req); err != nil {
		return a, err
	}
	if err := s.evacuation.begin(c, &req); err != nil { // The server may have been evacuated meanwhile.
		return a, err
	}
	sent := time.Now()
	a, err = exchange(c, req)
	if errors.Is(err, daisypool.ErrUncertain) && !mayPersist(&req) {
		// Nothing is kept of a read, nor of a transaction whose connection is closed.
		return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeBusy, "%v", err), nil
	}
	if err != nil {
		return a, err
	}
	if !req.Pin && a.State != daisystatement.StateIdle {
		c.MarkBroken()
	}
	if ends := !req.Pin || req.Statement.Kind == daisystatement.KindCommit; ends && a.Failure == nil && a.State != daisystatement.StateIdle {
		c.MarkBroken()
		return a, fmt.Errorf("%w: a transaction is still open", daisypool.ErrUncertain)
	}
	s.observe(req, time.Since(sent))
	return a, nil
}

// exchange sends the statement, after one that prepares it if the connection lacks it, and
// returns its answer.
func exchange(c *daisypool.Conn, req daisyrequest.Request) (a daisystatement.Answer, err error) {
	statements := withPrepare(c, req.Statement)
	if err := c.Send(statements); err != nil {
		return a, err
	}
	for range statements {
		a, err = c.Receive(req.Deadline)
		if err != nil || a.Failure != nil {
			break
		}
	}
	if err != nil || a.Failure == nil {
		return a, err
	}
	if req.Pin || len(statements) > 1 {
		c.MarkBroken() // The failure may be that of an earlier statement of the request.
	}
	if a.Failure.Code == daisystatement.CodeNoStatement {
		c.MarkBroken()
		a.Failure = &daisystatement.Failure{Code: daisystatement.CodeBusy, Text: "the backend server did not keep the prepared statement"}
	}
	return a, nil
}

// logFailure logs a request that the server did not answer.
func (g *Gateway) logFailure(req daisyrequest.Request, err error) {
	if err == nil {
		return
	}
	s := g.server(req.Server)
	g.log.WithError(err).WithFields(log.Fields{
		"Request": req.Statement.ID, "Service": req.Service, "Server": req.Server, "Workspace": req.Workspace,
		"Waiting": s.queue.AllWaiting(), "Busy": s.queue.Busy(),
	}).Info("gateway: statement request not answered by the server")
}

// Active returns the number of statements that are running and of connections that are
// pinned for transactions.
func (g *Gateway) Active() int { return int(g.active.Load()) }
