package daisyholder

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
	"github.com/daisyglade/daisyglade/internal/wire/daisymessage"
)

// chunkBytes is how much of an answer gathers before it is passed on.
const chunkBytes = 32 << 10

// positionParameter is the parameter in which a member reports own commits.
const positionParameter = "platform.position"

// requestTable is the table of two text columns, key and value, in which the
// names of requests are recorded. Its key is unique.
const requestTable = "daisyglade_requests"

const (
	codeUniqueViolation = "23505"
	messageHeader       = 5 // Bytes before the body of a message.
)

// sessionTags are the command tags of statements that outlive a transaction.
// Outside one they are refused, since the next may run on another connection.
var sessionTags = map[string]bool{
	"SET": true, "LISTEN": true, "PREPARE": true, "DECLARE CURSOR": true,
	"CREATE TEMPORARY TABLE": true, "LOAD": true,
}

// transaction is one transaction on one connection.
type transaction struct {
	group    *group
	profile  daisyfleet.Profile
	readOnly bool
	replica  bool
	floor    daisystream.Position
	use      *use
	status   daisystream.Status
	prepared map[string]bool
	started  bool
}

// outcome is how a request ended. Unless err is set, answer is the last part
// and is passed to emit.
type outcome struct {
	answer *daisystream.Answer
	emit   func(*daisystream.Answer) error
	err    error
	broken bool // The connection cannot be used again.
	retry  bool // Nothing was passed on and a read may run elsewhere.
}

// exchange is one request on its way through the connection.
type exchange struct {
	tx       *transaction
	request  *daisystream.Request
	emit     func(*daisystream.Answer) error
	chunk    []byte
	emitted  bool
	skip     bool // The answer to the prefix is being skipped.
	naming   bool // The answer to the recording of the name is being skipped.
	muted    bool // The rest of the answer is dropped after a refusal.
	swallow  []swallowed
	position daisystream.Position
}

// swallowed says whether an expected completion is passed on.
type swallowed struct {
	kind byte
	pass bool
}

// exec sends the request and passes on its answer.
func (t *transaction) exec(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) outcome {
	x := &exchange{tx: t, request: r, emit: emit}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := t.use.conn
	stop := context.AfterFunc(ctx, func() { x.interrupt() })
	defer stop()
	if err := conn.Write(x.encode()); err != nil {
		return x.lost(err)
	}
	for {
		m, err := conn.Next()
		if err != nil {
			return x.lost(err)
		}
		if m.Type == daisymessage.TypeReady && !x.skip {
			if !stop() {
				return x.lost(ctx.Err())
			}
			return x.finish(ctx, daisystream.Status(m.Body()[0]))
		}
		if err := x.pass(m); err != nil {
			return outcome{err: err, broken: true}
		}
	}
}

// interrupt stops the statement of a request whose caller is gone.
func (x *exchange) interrupt() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_ = x.tx.use.conn.Cancel(ctx)
	_ = x.tx.use.conn.SetDeadline(time.Now())
}

// encode returns the bytes for the connection: a prefix that makes a read on
// the primary read-only, and the parts with the definitions they need.
func (x *exchange) encode() []byte {
	t := x.tx
	var b []byte
	if !t.started {
		t.started = true
		t.prepared = make(map[string]bool)
		if t.readOnly && !t.replica {
			b = appendMessage(b, &pgproto3.Query{String: "SET default_transaction_read_only = on"})
			x.skip = true
		}
	}
	if x.request.Name != "" && !t.readOnly {
		b = x.record(b)
	}
	definitions := make(map[string][]byte, len(x.request.Statements))
	for _, s := range x.request.Statements {
		definitions[s.Name] = s.Parse
	}
	for _, p := range x.request.Parts {
		switch {
		case p.Defines:
			b = x.define(b, p.Uses, p.Bytes, true)
			continue
		case p.Uses != "" && !t.prepared[p.Uses]:
			b = x.define(b, p.Uses, definitions[p.Uses], false)
		}
		x.expectClose(p.Bytes)
		b = append(b, p.Bytes...)
	}
	return b
}

// record appends the statement that records the request's name. It runs in the
// transaction of the request, so that the name is stored if and only if the
// request takes effect, and at most once.
func (x *exchange) record(b []byte) []byte {
	x.naming = true
	statement := fmt.Sprintf("INSERT INTO %s VALUES ('%s', 'recorded')", requestTable, x.request.Name)
	first := &x.request.Parts[0]
	if first.Bytes[0] == 'Q' {
		var q pgproto3.Query
		if q.Decode(first.Bytes[messageHeader:]) == nil {
			first.Bytes = appendMessage(nil, &pgproto3.Query{String: statement + "; " + q.String})
		}
		return b
	}
	b = appendMessage(b, &pgproto3.Parse{Query: statement})
	b = appendMessage(b, &pgproto3.Bind{})
	return appendMessage(b, &pgproto3.Execute{})
}

// define appends a Parse message, after a Close if the name is taken.
func (x *exchange) define(b []byte, name string, parse []byte, pass bool) []byte {
	if x.tx.prepared[name] {
		b = appendMessage(b, &pgproto3.Close{ObjectType: 'S', Name: name})
		x.swallow = append(x.swallow, swallowed{kind: daisymessage.TypeCloseComplete})
	}
	x.tx.prepared[name] = true
	x.swallow = append(x.swallow, swallowed{kind: daisymessage.TypeParseComplete, pass: pass})
	return append(b, parse...)
}

// expectClose notes the caller's own Close messages.
func (x *exchange) expectClose(b []byte) {
	if len(b) > 0 && b[0] == 'C' {
		x.swallow = append(x.swallow, swallowed{kind: daisymessage.TypeCloseComplete, pass: true})
	}
}

func appendMessage(b []byte, m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(b)
	if err != nil {
		panic("daisyholder: constant message cannot be encoded")
	}
	return b
}

// pass handles one message of the answer other than the last.
func (x *exchange) pass(m daisymessage.Message) error {
	if x.naming && !x.skip && m.Type != daisymessage.TypeParameterStatus {
		return x.passRecord(m)
	}
	switch m.Type {
	case daisymessage.TypeReady:
		x.skip = false
		return nil
	case daisymessage.TypeParameterStatus:
		x.note(m)
		return nil
	case daisymessage.TypeNotification:
		return nil
	case daisymessage.TypeParseComplete, daisymessage.TypeCloseComplete:
		if !x.expected(m.Type) {
			return nil
		}
	case daisymessage.TypeCopyIn, daisymessage.TypeCopyBoth:
		return x.failCopy()
	case daisymessage.TypeCommandComplete:
		if x.refuseTag(m) {
			return nil
		}
	}
	if x.skip || x.muted {
		return nil
	}
	x.chunk = append(x.chunk, m.Raw...)
	streaming := m.Type == daisymessage.TypeDataRow || m.Type == daisymessage.TypeCopyData
	if streaming && len(x.chunk) >= chunkBytes {
		return x.flush()
	}
	return nil
}

// passRecord skips the answer to the recording of the name. If the name was
// recorded before, the caller is told so.
func (x *exchange) passRecord(m daisymessage.Message) error {
	switch m.Type {
	case daisymessage.TypeCommandComplete:
		x.naming = false
	case daisymessage.TypeError:
		x.naming = false
		var e pgproto3.ErrorResponse
		if err := e.Decode(m.Body()); err != nil {
			return err
		}
		if e.Code == codeUniqueViolation {
			e.Code = daisystream.CodeRecorded
			e.Message = "request " + x.request.Name + " was recorded before and is not run again"
			e.Detail, e.Hint = "", ""
		}
		x.chunk, _ = e.Encode(x.chunk)
	}
	return nil
}

func (x *exchange) flush() error {
	x.emitted = true
	err := x.emit(&daisystream.Answer{ID: x.request.ID, Bytes: x.chunk})
	x.chunk = x.chunk[:0]
	return err
}

// expected takes the next expected completion of the type and reports whether
// it is passed on.
func (x *exchange) expected(kind byte) bool {
	for i, s := range x.swallow {
		if s.kind == kind {
			x.swallow = append(x.swallow[:i], x.swallow[i+1:]...)
			return s.pass
		}
	}
	return true
}

func (x *exchange) note(m daisymessage.Message) {
	var p pgproto3.ParameterStatus
	if p.Decode(m.Body()) != nil || p.Name != positionParameter {
		return
	}
	if position, err := daisystream.ParsePosition(p.Value); err == nil {
		x.position = position
	}
}

// refuseTag replaces the completion of a statement whose effect would be lost
// with the connection.
func (x *exchange) refuseTag(m daisymessage.Message) bool {
	var c pgproto3.CommandComplete
	if x.skip || x.muted || c.Decode(m.Body()) != nil {
		return false
	}
	tag := string(c.CommandTag)
	if tag == "BEGIN" {
		x.tx.status = daisystream.StatusOpen
	}
	if x.tx.status == daisystream.StatusOpen || !sessionTags[tag] {
		return false
	}
	e := &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: daisystream.CodeUnsupported,
		Message: tag + " outside a transaction is not kept; use it within one",
	}
	x.chunk, _ = e.Encode(x.chunk)
	x.muted = true
	return true
}

// failCopy ends a COPY from the caller, which is not supported.
func (x *exchange) failCopy() error {
	b := appendMessage(nil, &pgproto3.CopyFail{Message: "COPY from the caller is not supported"})
	parts := x.request.Parts
	if last := parts[len(parts)-1].Bytes; len(last) > 0 && last[0] != 'Q' {
		b = appendMessage(b, &pgproto3.Sync{})
	}
	return x.tx.use.conn.Write(b)
}

// lost returns the outcome of a request whose connection failed.
func (x *exchange) lost(err error) outcome {
	if x.tx.readOnly {
		refusal := refuse(daisystream.CauseBackend)
		refusal.Message = "the connection was lost during a read: " + err.Error()
		retry := !x.emitted && x.tx.status != daisystream.StatusOpen
		return outcome{answer: x.refusal(refusal), emit: x.emit, broken: true, retry: retry}
	}
	return x.unknown("the connection was lost: " + err.Error())
}

func (x *exchange) unknown(why string) outcome {
	refusal := &daisystream.Refusal{
		Code: daisystream.CodeUnknownOutcome, Message: "it is not known whether the request ran: " + why,
		Cause: daisystream.CauseUnknown,
	}
	return outcome{answer: x.refusal(refusal), emit: x.emit, broken: true}
}

func (x *exchange) refusal(r *daisystream.Refusal) *daisystream.Answer {
	return &daisystream.Answer{ID: x.request.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: x.tx.floor, Refusal: r}
}

// finish releases the last part of the answer once it may be acknowledged.
func (x *exchange) finish(ctx context.Context, status daisystream.Status) outcome {
	t := x.tx
	t.status = status
	if !x.position.IsZero() {
		t.floor = daisystream.Later(t.floor, x.position)
		t.group.wrote(callerOf(x.request), x.position)
		if t.majority() && !t.group.confirm(ctx, x.position) {
			return x.unknown("no majority of the group confirmed it")
		}
	}
	if t.group.ctx.Err() != nil || !t.group.holder.options.Lease.Valid() {
		return x.lost(context.Canceled)
	}
	ready := pgproto3.ReadyForQuery{TxStatus: byte(status)}
	x.chunk, _ = ready.Encode(x.chunk)
	answer := &daisystream.Answer{
		ID: x.request.ID, Bytes: x.chunk, Final: true, Status: status, MinPosition: t.floor, Replica: t.replica,
	}
	return outcome{answer: answer, emit: x.emit}
}

func (g *group) wrote(c daisyposition.Caller, p daisystream.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.RecordWrite(c, p, time.Now())
}
