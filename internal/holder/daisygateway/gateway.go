package daisygateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// defaultSlots is assumed for a server that does not say how many
	// statements it runs at once.
	defaultSlots = 4
	// ahead is how many statements beyond its slots a server is given, so that
	// it does not idle while an answer and the next statement are on their way.
	ahead = 1
	// priorityRank is the distance of two priorities in rank, in milliseconds of
	// run time; no mean run time comes near it.
	priorityRank = 10_000
	// maxClasses bounds the classes whose run times are kept for a server.
	maxClasses = 4096
	// smoothing is the weight of a new observation in the mean run time.
	smoothing = 0.1
	// startRun is the run time assumed before any is observed.
	startRun = 25 * time.Millisecond
)

// Gateway runs errands on backend servers over its own pool of connections. It
// is safe for concurrent use.
type Gateway struct {
	pool *daisypool.Pool
	log  log.Interface
	wait sync.WaitGroup

	mu    sync.Mutex
	desks map[string]*desk
}

// desk orders the errands for one server.
type desk struct {
	queue *daisyqueue.Queue

	mu    sync.Mutex
	slots int
	run   time.Duration            // The mean time that a statement takes.
	runs  map[string]time.Duration // The same by class.
}

// New returns a gateway over the pool.
func New(p *daisypool.Pool, l log.Interface) *Gateway {
	return &Gateway{pool: p, log: l, desks: make(map[string]*desk)}
}

// SetSlots tells how many statements the server runs at once, 0 if unknown, and
// whether it is far: a far one is given more ahead, for the round trip.
func (g *Gateway) SetSlots(server string, slots int, far bool) {
	if slots <= 0 {
		slots = defaultSlots
	}
	more := ahead
	if far {
		more = slots
	}
	d := g.desk(server)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = slots
	d.queue.SetSlots(slots + more)
}

func (g *Gateway) desk(server string) *desk {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.desks[server]
	if d == nil {
		d = &desk{queue: daisyqueue.New(defaultSlots + ahead), slots: defaultSlots, run: startRun, runs: make(map[string]time.Duration)}
		g.desks[server] = d
	}
	return d
}

// Forget drops what is known of a server that is gone.
func (g *Gateway) Forget(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.desks[server]; d != nil {
		d.queue.Close()
		delete(g.desks, server)
	}
}

// expected returns how long a claim of the rank waits if all that waits before
// it is served.
func (d *desk) expected(rank float64) time.Duration {
	waiting := d.queue.Waiting(rank)
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(waiting) * d.run / time.Duration(d.slots)
}

// observe notes how long a statement ran.
func (d *desk) observe(e StatementRequest, took time.Duration) {
	if !e.Pin {
		d.observeClass(e.class(), took)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run = average(d.run, took)
}

// observeClass notes how long an errand of the class took of the server, with
// all its statements.
func (d *desk) observeClass(class string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, ok := d.runs[class]
	switch {
	case ok:
		d.runs[class] = average(held, took)
	case len(d.runs) < maxClasses:
		d.runs[class] = took
	}
}

func average(held, next time.Duration) time.Duration {
	return time.Duration((1-smoothing)*float64(held) + smoothing*float64(next))
}

// rank orders errands by priority, and within one by how short they usually
// run, so that most are served when not all can be.
func (d *desk) rank(e StatementRequest) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	run, ok := d.runs[e.class()]
	if !ok {
		run = startRun
	}
	return float64(e.Priority)*priorityRank + float64(run.Milliseconds())
}

// Run runs the errand. If it is to be kept and succeeded, it returns a lane.
// An error that is not ErrNotSent leaves open whether the statement ran.
func (g *Gateway) Run(e StatementRequest) (a daisystatement.Answer, lane PinnedConn, err error) {
	defer func() { g.report(e, err) }()
	if !g.pool.Usable(e.Server) {
		return a, nil, fmt.Errorf("%w: %w: this host is not a gateway of the server", ErrNotSent, ErrUnreachable)
	}
	d := g.desk(e.Server)
	rank := d.rank(e)
	if wait := d.expected(rank); wait > time.Until(e.SendDeadline) {
		return a, nil, fmt.Errorf("%w: the wait of %v for the server's slots is too long", ErrNotSent, wait.Round(time.Millisecond))
	}
	ctx, cancel := context.WithDeadline(context.Background(), e.SendDeadline)
	defer cancel()
	c, slot, err := g.obtain(ctx, d, e, rank)
	if err != nil {
		return a, nil, err
	}
	defer slot.Release()
	a, err = run(d, c, e)
	if err == nil && e.Pin && a.Failure == nil {
		return a, &localLane{gateway: g, desk: d, conn: c, class: e.class()}, nil
	}
	c.Release()
	return a, nil, err
}

// obtain returns a connection and a slot. A slot is not held while transactions
// hold all connections.
func (g *Gateway) obtain(ctx context.Context, d *desk, e StatementRequest, rank float64) (*daisypool.Conn, *daisyqueue.Slot, error) {
	urgent := e.Statement.Kind == daisystatement.KindStatus
	slot, err := d.queue.Claim(ctx, daisyqueue.SlotRequest{Workspace: e.Workspace, Weight: e.Weight, Rank: rank, Urgent: urgent})
	if err != nil {
		return nil, nil, fmt.Errorf("%w: no slot of the server was free: %w", ErrNotSent, err)
	}
	if g.pool.Free(e.Server) {
		c, err := g.pool.Acquire(ctx, e.Server, e.Workspace)
		if err == nil {
			return c, slot, nil
		}
		slot.Release()
		return nil, nil, notSent(err)
	}
	slot.Release()
	c, err := g.pool.Acquire(ctx, e.Server, e.Workspace)
	if err != nil {
		return nil, nil, notSent(err)
	}
	slot, err = d.queue.Claim(ctx, daisyqueue.SlotRequest{Workspace: e.Workspace, Weight: e.Weight, Urgent: true})
	if err != nil {
		c.Release()
		return nil, nil, fmt.Errorf("%w: no slot of the server was free: %w", ErrNotSent, err)
	}
	return c, slot, nil
}

// notSent classifies a failure to get a connection.
func notSent(err error) error {
	var refused *daisystatement.Failure
	if errors.As(err, &refused) || errors.Is(err, daisypool.ErrFull) || errors.Is(err, daisypool.ErrUnknownServer) || errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrUnreachable, err)
}

// run aligns the connection with the session's values, prepares what is to be
// executed where that is missing, and runs the statement.
func run(d *desk, c *daisypool.Conn, e StatementRequest) (a daisystatement.Answer, err error) {
	if err := align(c, e); err != nil {
		return a, err
	}
	sent := time.Now()
	statements := translate(c, e.Statement)
	if err := c.Send(statements); err != nil {
		return a, err
	}
	for range statements {
		if a, err = c.Receive(e.Deadline); err != nil {
			return a, err
		}
	}
	if !e.Pin && a.State != daisystatement.StateIdle {
		c.MarkBroken()
	}
	if a.Failure != nil && a.Failure.Code == daisystatement.CodeNoStatement {
		c.MarkBroken()
	}
	d.observe(e, time.Since(sent))
	return a, nil
}

// report writes a line for an errand that the server did not answer.
func (g *Gateway) report(e StatementRequest, err error) {
	if err == nil {
		return
	}
	d := g.desk(e.Server)
	g.log.WithError(err).WithFields(log.Fields{
		"Request": e.Statement.ID, "Service": e.Service, "Server": e.Server, "Workspace": e.Workspace,
		"Waiting": d.queue.Waiting(math.Inf(1)), "Busy": d.queue.Busy(),
	}).Info("gateway: errand not answered")
}

// Close waits until lanes that were ended have rolled back.
func (g *Gateway) Close() error {
	g.wait.Wait()
	return nil
}
