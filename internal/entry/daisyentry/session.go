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

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

const (
	// requestTimeout is how long a client may take to send one request.
	requestTimeout = 30 * time.Second
	// writeTimeout is how long a client may take to accept one part of an answer.
	writeTimeout = 60 * time.Second
	// fatalTimeout bounds the write of the error that ends a connection.
	fatalTimeout = time.Second
	// routeRetryInterval is the delay before a request that was not run is
	// routed again.
	routeRetryInterval = 25 * time.Millisecond
)

// session is one client's connection.
type session struct {
	server  *Server
	conn    net.Conn
	reader  *requestReader
	frames  *frameReader
	backend *pgproto3.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	secure  bool
	pid     uint32 // The process number that the client sends in cancel requests.
	secret  uint32 // The secret of cancel requests, not that of the API key.

	workspace string
	profile   string
	key       string // The identifier of the API key, without its secret.
	hash      [32]byte
	ready     atomic.Bool // Logged in; the fields above are set.

	statements   map[string]statement
	stream       daisystream.Stream // To the holder, while a transaction is open; else nil.
	status       daisystream.Status
	minPositions map[string]daisystream.Position // By database; of the databases that have answered.

	mu              sync.Mutex
	active          bool               // A request is under way or a transaction is open.
	cancelAttempt   context.CancelFunc // Cancels the running attempt; nil if there is none.
	attemptDatabase string             // Database of the latest attempt.
	attemptTerm     uint64             // Ownership term of the latest attempt.
	abandon         *time.Timer        // Cancels the running attempt, whose holder has lost the database; nil if it has not.
	cancelRequested bool               // The client sent a cancel request.
	endReason       string
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		server: s, statements: make(map[string]statement),
		status: daisystream.StatusIdle, minPositions: make(map[string]daisystream.Position),
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.attach(conn)
	return c
}

func (c *session) attach(conn net.Conn) {
	c.conn = conn
	c.reader = &requestReader{conn: conn}
	c.frames = newFrameReader(c.reader, maxPasswordBytes)
	c.backend = pgproto3.NewBackend(c.frames, conn)
}

// requestReader bounds the time from the first byte of a request to its last,
// but not the time between requests.
type requestReader struct {
	conn            net.Conn
	betweenRequests bool // The next byte begins a request.
}

// Read implements io.Reader.
func (r *requestReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 && r.betweenRequests {
		r.betweenRequests = false
		err = errors.Join(err, r.conn.SetReadDeadline(time.Now().Add(requestTimeout)))
	}
	return n, err
}

func (c *session) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *session) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// end ends the session from another goroutine.
func (c *session) end(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason != "" {
		return
	}
	c.endReason = reason
	c.cancel()
	_ = c.conn.SetReadDeadline(time.Now())
}

// cancelRequest cancels the running request because its client asked for it.
func (c *session) cancelRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequested = true
	if c.cancelAttempt != nil {
		c.cancelAttempt()
	}
}

// overtakenAnswer is how long after the change of the ownership an answer of the previous
// holder may arrive. A holder that hands its database over has answered before, but over
// another link.
const overtakenAnswer = 100 * time.Millisecond

// abandonIfStale has an attempt at a holder that has lost the database cancelled soon,
// since its answer may never come.
func (c *session) abandonIfStale(current func(database string) uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil && c.abandon == nil && c.attemptTerm != current(c.attemptDatabase) {
		c.abandon = time.AfterFunc(overtakenAnswer, c.cancelAttempt)
	}
}

// beginAttempt records the destination of the request and returns its context.
func (c *session) beginAttempt(database string, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptDatabase, c.attemptTerm, c.cancelAttempt = database, term, cancel
	return ctx, cancel
}

func (c *session) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAttempt = nil
	if c.abandon != nil {
		c.abandon.Stop()
		c.abandon = nil
	}
}

func (c *session) cancelWasRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelRequested
}

func (c *session) close() {
	c.cancel()
	if c.stream != nil {
		c.stream.Close()
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
			c.sendEndReason(err)
			return
		}
	}
}

// sendEndReason sends the client the reason for which the session ends.
func (c *session) sendEndReason(err error) {
	c.mu.Lock()
	reason := c.endReason
	c.mu.Unlock()
	var unsupported unsupportedError
	switch {
	case reason != "":
		c.fatal(daisystream.CodeShutdown, reason)
	case errors.As(err, &unsupported):
		c.fatal(daisystream.CodeUnsupported, unsupported.Error())
	case errors.Is(err, errRequestTooLarge):
		c.fatal(daisystream.CodeTooLarge, "not run: "+err.Error())
	case errors.Is(err, errTrailingBytes):
		c.fatal(daisystream.CodeProtocol, "not run: "+err.Error())
	case errors.As(err, new(*pgproto3.ExceededMaxBodyLenErr)):
		c.fatal(daisystream.CodeTooLarge, "not run: the message is larger than the limit")
	}
}

// fatal sends an error that ends the connection.
func (c *session) fatal(code, message string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(fatalTimeout))
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = c.backend.Flush()
}

var errTerminated = errors.New("client ended the session")

// receive collects the messages of one request.
func (c *session) receive() (*batch, error) {
	b := newBatch(c.statements, c.server.options.MaxRequestBytes)
	c.reader.betweenRequests = true
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
	c.setActive(true)
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
		c.setActive(false)
	}
	cause := daisystream.CauseNone
	if final.Refusal != nil {
		cause = final.Refusal.Cause
	}
	c.server.options.Recorder.Record(c.workspace, c.profile, cause, time.Since(began), final.Replica)
	return nil
}

// run sends the request to the holder and writes the answer. It retries a
// request that was not run until the profile's wait has passed. It returns the
// last part of the answer.
func (c *session) run(r *daisystream.Request) (final *daisystream.Answer, err error) {
	profile, ok := c.server.options.View.Profile(c.profile)
	if !ok {
		return nil, unsupportedError("the profile was removed")
	}
	r.Workspace, r.Key, r.Profile = c.workspace, c.key, c.profile
	r.ReadOnly = r.ReadOnly || profile.ReadOnly
	c.mu.Lock()
	c.cancelRequested = false
	c.mu.Unlock()
	database := profile.Database
	if c.stream != nil {
		database = c.attemptDatabase // A transaction ends where it began.
	}
	deadline := time.Now().Add(profile.Wait)
	for {
		minPosition, answered := c.minPositions[database]
		r.MinPosition, r.NewSession, r.Wait = minPosition, !answered, time.Until(deadline)
		changed := c.server.options.View.Changed()
		final, err := c.attempt(database, r)
		if err != nil {
			return nil, err
		}
		if !mayRetry(final) || c.cancelWasRequested() || time.Until(deadline) < routeRetryInterval {
			if final.Refusal == nil {
				c.minPositions[database] = final.MinPosition
			}
			return final, c.writeFinal(final)
		}
		select {
		case <-changed:
		case <-time.After(routeRetryInterval):
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// mayRetry reports whether the request was not run and may be routed again.
func mayRetry(a *daisystream.Answer) bool {
	return a.Refusal != nil && (a.Refusal.Cause == daisystream.CauseMoved || a.Refusal.Cause == daisystream.CauseFailover)
}

// attempt runs the request once. It writes all parts of the answer but the last,
// which it returns.
func (c *session) attempt(database string, r *daisystream.Request) (final *daisystream.Answer, err error) {
	ownership, _ := c.server.options.View.Ownership(database)
	if c.stream != nil && ownership.Term != c.attemptTerm {
		return c.rolledBack(), nil
	}
	inTransaction := c.stream != nil
	ctx, cancel := c.beginAttempt(database, ownership.Term)
	defer cancel()
	defer c.endAttempt()
	if !inTransaction {
		stream, unreachable := c.openStream(ctx, ownership)
		if unreachable != nil {
			return c.unavailable(daisystream.CauseMoved), c.ctx.Err()
		}
		c.stream = stream
	}
	wrote := false
	err = c.stream.Do(ctx, r, func(a *daisystream.Answer) error {
		if a.Final {
			final = a
			return nil
		}
		wrote = true
		return c.write(a.Bytes)
	})
	if err != nil || final.Status == daisystream.StatusIdle {
		c.stream.Close()
		c.stream = nil
	}
	switch {
	case err == nil:
		return final, nil
	case c.ctx.Err() != nil:
		return nil, err
	case r.ReadOnly && !inTransaction && !wrote:
		return c.unavailable(daisystream.CauseMoved), nil
	}
	return c.unknownOutcome(r.ReadOnly, err), nil
}

// rolledBack closes the stream of a transaction whose holder has lost the
// database and returns the answer to its client. The transaction is rolled back,
// since its commit was never sent.
func (c *session) rolledBack() *daisystream.Answer {
	c.stream.Close()
	c.stream = nil
	a := c.unavailable(daisystream.CauseBackend)
	a.Refusal.Code = daisystream.CodeRolledBack
	a.Refusal.Message = "not run: the transaction was rolled back when the database moved"
	return a
}

// openStream returns a stream to the holder of the database.
func (c *session) openStream(ctx context.Context, ownership daisyfleet.Ownership) (daisystream.Stream, error) {
	o := &c.server.options
	switch {
	case !o.Lease.Valid():
		return nil, errors.New("this host has no valid lease")
	case ownership.Holder == "":
		return nil, errors.New("database has no holder")
	}
	if ownership.Holder == o.Host {
		return o.Holder.Stream(), nil
	}
	host, ok := o.View.Host(ownership.Holder)
	if !ok {
		return nil, errors.New("no address is known for the holder of the database")
	}
	return o.Streams.Acquire(ctx, host.Address)
}

// unavailable returns the answer for a database whose holder cannot be reached.
func (c *session) unavailable(cause daisystream.Cause) *daisystream.Answer {
	return &daisystream.Answer{Final: true, Status: daisystream.StatusIdle, Refusal: &daisystream.Refusal{
		Code: daisystream.CodeNotNow, Message: "not run: the database has no reachable holder",
		RetryAfter: time.Second, Cause: cause,
	}}
}

// unknownOutcome returns the answer for a request that failed after it was sent.
// A read has no effect, so its client may simply retry.
func (c *session) unknownOutcome(readOnly bool, err error) *daisystream.Answer {
	a := c.unavailable(daisystream.CauseUnknown)
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

// writeFinal writes the last part of an answer, or the error of a refusal.
func (c *session) writeFinal(a *daisystream.Answer) error {
	if a.Refusal == nil {
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
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(b)
	return err
}
