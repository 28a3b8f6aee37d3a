package daisyentry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

const (
	// requestLimit is how long a caller may take to send one request.
	requestLimit = 30 * time.Second
	// writeLimit is how long a caller may take to accept one part of an answer.
	writeLimit = 60 * time.Second
	// farewellLimit bounds the last message to a caller.
	farewellLimit = time.Second
	// routeRetry is how soon a request that was not run is routed again.
	routeRetry = 25 * time.Millisecond
)

// session is one caller's connection.
type session struct {
	server  *Server
	conn    net.Conn
	guard   *dripGuard
	backend *pgproto3.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	secure  bool
	pid     uint32
	secret  uint32

	workspace string
	profile   string
	key       string // The identifier.
	hash      [32]byte
	ready     atomic.Bool // Logged in; the fields above are set.

	statements map[string]statement
	lane       daisystream.Stream // Kept while a transaction is open.
	status     daisystream.Status
	floor      daisystream.Position
	arriving   bool

	mu        sync.Mutex
	working   bool               // A request is under way or a transaction is open.
	stop      context.CancelFunc // Ends the attempt under way; nil if there is none.
	database  string             // Of the attempt.
	term      uint64             // The tenure to which the attempt goes.
	cancelled bool               // The caller asked to cancel the request.
	ending    string
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		server: s, statements: make(map[string]statement),
		status: daisystream.StatusIdle, arriving: true,
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.attach(conn)
	return c
}

func (c *session) attach(conn net.Conn) {
	c.conn = conn
	c.guard = &dripGuard{conn: conn}
	c.backend = pgproto3.NewBackend(c.guard, conn)
}

// dripGuard bounds the time from the first byte of a request to its last, but
// not the time for which a caller is idle.
type dripGuard struct {
	conn    net.Conn
	waiting bool // The next byte begins a request.
}

// Read implements io.Reader.
func (d *dripGuard) Read(b []byte) (int, error) {
	n, err := d.conn.Read(b)
	if n > 0 && d.waiting {
		d.waiting = false
		err = errors.Join(err, d.conn.SetReadDeadline(time.Now().Add(requestLimit)))
	}
	return n, err
}

func (c *session) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.working
}

func (c *session) setWorking(working bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working = working
}

// end stops the session from another goroutine.
func (c *session) end(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != "" {
		return
	}
	c.ending = why
	c.cancel()
	_ = c.conn.SetReadDeadline(time.Now())
}

// cancelRequest stops the request under way because its caller asked for it.
func (c *session) cancelRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.stop != nil {
		c.stop()
	}
}

// leaveHolder stops an attempt at a holder that has lost the database, since
// its answer may never come.
func (c *session) leaveHolder(current func(database string) uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil && c.term != current(c.database) {
		c.stop()
	}
}

// beginAttempt notes where the request goes and returns the context for it.
func (c *session) beginAttempt(database string, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.database, c.term, c.stop = database, term, cancel
	return ctx, cancel
}

func (c *session) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop = nil
}

func (c *session) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

func (c *session) close() {
	c.cancel()
	if c.lane != nil {
		c.lane.Close()
	}
	_ = c.conn.Close()
}

// serve answers requests until the connection or the session ends.
func (c *session) serve() {
	for {
		b, err := c.receive()
		if err == nil {
			err = c.handle(b)
		}
		if err != nil {
			c.farewell(err)
			return
		}
	}
}

// farewell tells the caller why the session ends.
func (c *session) farewell(err error) {
	c.mu.Lock()
	ending := c.ending
	c.mu.Unlock()
	var unsupported errUnsupported
	switch {
	case ending != "":
		c.fatal(daisystream.CodeShutdown, ending)
	case errors.As(err, &unsupported):
		c.fatal(daisystream.CodeUnsupported, unsupported.Error())
	case errors.Is(err, errRequestSize):
		c.fatal(daisystream.CodeTooLarge, "not run: "+err.Error())
	case errors.As(err, new(*pgproto3.ExceededMaxBodyLenErr)):
		c.fatal(daisystream.CodeTooLarge, "not run: the message is larger than the limit")
	}
}

// fatal sends an error that ends the connection.
func (c *session) fatal(code, message string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(farewellLimit))
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = c.backend.Flush()
}

var errTerminated = errors.New("caller ended the session")

// receive gathers one request.
func (c *session) receive() (*batch, error) {
	b := newBatch(c.statements, c.server.options.MaxRequestBytes)
	c.guard.waiting = true
	for c.ctx.Err() == nil {
		message, err := c.backend.Receive()
		if err != nil {
			return nil, err
		}
		if _, end := message.(*pgproto3.Terminate); end {
			return nil, errTerminated
		}
		done, err := b.add(message)
		if err != nil {
			return nil, err
		}
		if done {
			return b, c.conn.SetReadDeadline(time.Time{})
		}
	}
	return nil, c.ctx.Err()
}

// handle runs one request and writes its answer.
func (c *session) handle(b *batch) error {
	c.setWorking(true)
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	began := time.Now()
	final, err := c.run(b.request())
	if err != nil {
		return err
	}
	for name, s := range b.defined {
		c.statements[name] = s
	}
	c.status = final.Status
	if c.status == daisystream.StatusIdle {
		c.setWorking(false)
	}
	cause := daisystream.CauseNone
	if final.Refusal != nil {
		cause = final.Refusal.Cause
	}
	c.server.options.Recorder.Record(c.workspace, c.profile, cause, time.Since(began), final.Replica)
	return nil
}

// run passes the request to the holder, again if it was not run and there is
// time, and returns the last part of the answer.
func (c *session) run(r *daisystream.Request) (final *daisystream.Answer, err error) {
	profile, ok := c.server.options.View.Profile(c.profile)
	if !ok {
		return nil, errUnsupported("the profile was removed")
	}
	r.Workspace, r.Key, r.Profile = c.workspace, c.key, c.profile
	r.ReadOnly = r.ReadOnly || profile.ReadOnly
	c.mu.Lock()
	c.cancelled = false
	c.mu.Unlock()
	deadline := time.Now().Add(profile.Wait)
	for {
		r.MinPosition, r.Arriving, r.Wait = c.floor, c.arriving, time.Until(deadline)
		changed := c.server.options.View.Changed()
		final, err := c.attempt(profile.Database, r)
		if err != nil {
			return nil, err
		}
		if !again(final) || c.wasCancelled() || time.Until(deadline) < routeRetry {
			return final, c.deliver(final)
		}
		select {
		case <-changed:
		case <-time.After(routeRetry):
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// again reports whether a request that was not run may be routed anew.
func again(a *daisystream.Answer) bool {
	return a.Refusal != nil && (a.Refusal.Cause == daisystream.CauseMoved || a.Refusal.Cause == daisystream.CauseFailover)
}

// attempt runs the request once. The last part is returned, not written.
func (c *session) attempt(database string, r *daisystream.Request) (final *daisystream.Answer, err error) {
	tenure, _ := c.server.options.View.Ownership(database)
	if c.lane != nil && tenure.Term != c.term {
		return c.lostTransaction(), nil
	}
	inside := c.lane != nil
	ctx, cancel := c.beginAttempt(database, tenure.Term)
	defer cancel()
	defer c.endAttempt()
	if !inside {
		lane, unreachable := c.open(ctx, tenure)
		if unreachable != nil {
			return c.refused(daisystream.CauseMoved), c.ctx.Err()
		}
		c.lane = lane
	}
	emitted := false
	err = c.lane.Do(ctx, r, func(a *daisystream.Answer) error {
		if a.Final {
			final = a
			return nil
		}
		emitted = true
		return c.write(a.Bytes)
	})
	if err != nil || final.Status == daisystream.StatusIdle {
		c.lane.Close()
		c.lane = nil
	}
	switch {
	case err == nil:
		return final, nil
	case c.ctx.Err() != nil:
		return nil, err
	case r.ReadOnly && !inside && !emitted:
		return c.refused(daisystream.CauseMoved), nil
	}
	return c.unknown(r.ReadOnly, err), nil
}

// lostTransaction ends a transaction whose holder has lost the database. Its
// statements are rolled back, since a commit was never sent.
func (c *session) lostTransaction() *daisystream.Answer {
	c.lane.Close()
	c.lane = nil
	a := c.refused(daisystream.CauseBackend)
	a.Refusal.Code = daisystream.CodeRolledBack
	a.Refusal.Message = "not run: the transaction was rolled back when the database moved"
	return a
}

// open returns a lane to the holder of the database.
func (c *session) open(ctx context.Context, tenure daisyfleet.Ownership) (daisystream.Stream, error) {
	o := &c.server.options
	switch {
	case !o.Lease.Valid():
		return nil, errors.New("host has no lease")
	case tenure.Holder == "":
		return nil, errors.New("database has no holder")
	}
	if tenure.Holder == o.Host {
		return o.Holder.Stream(), nil
	}
	host, ok := o.View.Host(tenure.Holder)
	if !ok {
		return nil, errors.New("holder is not known")
	}
	return o.Streams.Acquire(ctx, host.Address)
}

func (c *session) refused(cause daisystream.Cause) *daisystream.Answer {
	return &daisystream.Answer{Final: true, Status: daisystream.StatusIdle, MinPosition: c.floor, Refusal: &daisystream.Refusal{
		Code: daisystream.CodeNotNow, Message: "not run: the database has no reachable holder",
		RetryAfter: time.Second, Cause: cause,
	}}
}

func (c *session) unknown(readOnly bool, err error) *daisystream.Answer {
	a := c.refused(daisystream.CauseUnknown)
	a.Refusal.Code = daisystream.CodeUnknownOutcome
	a.Refusal.Message = "it is not known whether the request ran: " + err.Error()
	a.Refusal.RetryAfter = 0
	if readOnly {
		a.Refusal.Cause = daisystream.CauseBackend
		a.Refusal.Code = daisystream.CodeNotNow
		a.Refusal.Message = "the read was cut off: " + err.Error()
	}
	return a
}

// deliver writes the last part of an answer.
func (c *session) deliver(a *daisystream.Answer) error {
	if a.Refusal == nil {
		c.floor, c.arriving = a.MinPosition, false
		return c.write(a.Bytes)
	}
	e := &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: a.Refusal.Code, Message: a.Refusal.Message,
	}
	if a.Refusal.RetryAfter > 0 {
		e.Hint = fmt.Sprintf("retry after %d ms", a.Refusal.RetryAfter.Milliseconds())
	}
	b, err := e.Encode(nil)
	if err != nil {
		return err
	}
	b, err = (&pgproto3.ReadyForQuery{TxStatus: byte(a.Status)}).Encode(b)
	if err != nil {
		return err
	}
	return c.write(b)
}

func (c *session) write(b []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	_, err := c.conn.Write(b)
	return err
}
