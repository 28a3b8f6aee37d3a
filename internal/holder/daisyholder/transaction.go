package daisyholder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/net/daisymessage"
)

// chunkBytes is the size from which buffered rows of an answer are emitted.
const chunkBytes = 32 << 10

const (
	// heldBytes is the size up to which an answer is kept back whose rows begin like those
	// of an earlier one.
	heldBytes = 1 << 20
	// drainLimit bounds the reading of what a server sent beyond its answers.
	drainLimit = 500 * time.Millisecond
)

// positionParameter is the parameter in whose status message a member reports
// the log position of a commit on the connection.
const positionParameter = "platform.position"

// requestTable is the table in which the names of requests are recorded. It has
// two text columns, key and value; key is unique.
const requestTable = "daisyglade_requests"

const (
	codeUniqueViolation = "23505"
	messageHeader       = 5 // Bytes before the body of a message.
)

// sessionTags are the command tags of statements whose effect lasts for the
// session. They are refused outside a transaction, since the next transaction
// may run on another connection.
var sessionTags = map[string]bool{
	"SET": true, "LISTEN": true, "PREPARE": true, "DECLARE CURSOR": true,
	"CREATE TEMPORARY TABLE": true, "LOAD": true,
}

// transaction is one transaction on one connection.
type transaction struct {
	group       *group
	profile     daisyfleet.Profile
	readOnly    bool
	replica     bool
	minPosition daisystream.Position
	pooled      *pooledConn
	status      daisystream.Status
	prepared    map[string]bool
	started     bool
	copies      bool // A statement of the transaction may be COPY.

	// streamed has the hashes of the first rows of answers that were passed on before
	// they were complete. A second such answer could not be told apart in time, so their
	// like are kept back, and the connection serves no other transaction.
	streamed map[uint64]bool
}

// outcome is how a request ended. Unless err is set, answer is the last part of
// the answer, still to be passed to emit.
type outcome struct {
	answer *daisystream.Answer
	emit   func(*daisystream.Answer) error
	err    error
	broken bool // The connection must be closed.
	retry  bool // The request is a read, nothing was emitted, and it may run again.
}

// exchange is the state of one request while it runs on the connection.
type exchange struct {
	tx          *transaction
	request     *daisystream.Request
	emit        func(*daisystream.Answer) error
	chunk       []byte
	emitted     bool
	skipPrefix  bool // The answer to the prefix is being skipped.
	skipRecord  bool // The answer to the INSERT of the request name is being skipped.
	muted       bool // The rest of the answer is dropped after refuseTag.
	completions []completion
	position    daisystream.Position
	marker      daisymember.Marker
	received    *daisymember.Answer
	firstRow    uint64 // Hash of the first row.
	inRows      bool   // The last message was a row.
	emitErr     error
}

// completion is an expected ParseComplete or CloseComplete message, with whether
// it is passed on to the client.
type completion struct {
	kind byte
	pass bool
}

// exec sends the request and emits its answer, except for the last part.
func (t *transaction) exec(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) outcome {
	x := &exchange{tx: t, request: r, emit: emit, marker: daisymember.NewMarker(), received: daisymember.NewAnswer()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := t.pooled.conn
	if err := conn.Drain(drainLimit); err != nil {
		return x.connectionLost(err)
	}
	stop := context.AfterFunc(ctx, func() { x.interrupt() })
	defer stop()
	if err := conn.Write(x.encode()); err != nil {
		return x.connectionLost(err)
	}
	if err := x.receive(); err != nil {
		if x.emitErr != nil {
			return outcome{err: x.emitErr, broken: true}
		}
		if errors.Is(err, daisymember.ErrForeignAnswer) {
			t.group.log.WithField("member", t.pooled.pool.addr).Warn("holder: " + err.Error() + "; closing the connection")
		}
		return x.connectionLost(err)
	}
	if !stop() {
		return x.connectionLost(ctx.Err())
	}
	return x.finish(ctx, x.received.Status())
}

// receive reads the answer and makes sure that it is that of the request.
func (x *exchange) receive() error {
	conn := x.tx.pooled.conn
	for {
		m, err := conn.Next()
		if err != nil {
			return err
		}
		if !x.skipPrefix {
			end, err := x.received.Add(m)
			if err != nil {
				return err
			}
			if end {
				break
			}
		}
		if err := x.handle(m); err != nil {
			return err
		}
	}
	if x.tx.copies {
		if err := conn.Write(x.marker.Append(nil)); err != nil {
			return err
		}
	}
	return conn.AwaitMarker(x.marker, x.received)
}

// interrupt cancels the statement of a request whose client is gone or has
// cancelled it.
func (x *exchange) interrupt() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_ = x.tx.pooled.conn.Cancel(ctx)
	_ = x.tx.pooled.conn.SetDeadline(time.Now())
}

// encode returns the messages to send: for a read-only transaction on the primary,
// a prefix that makes the primary refuse its writes; then the request's parts, each
// after the definition of its prepared statement if the connection lacks it; then the
// marker, which a server that waits for the data of a COPY would take for a part of it.
func (x *exchange) encode() []byte {
	t := x.tx
	var b []byte
	if !t.started {
		t.started = true
		t.prepared = make(map[string]bool)
		if t.readOnly && !t.replica {
			b = appendMessage(b, &pgproto3.Query{String: "SET default_transaction_read_only = on"})
			x.skipPrefix = true
		}
	}
	if x.request.Name != "" && !t.readOnly {
		b = x.appendRecord(b)
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
	if t.copies = t.copies || x.mentionsCopy(); t.copies {
		return b
	}
	return x.marker.Append(b)
}

// mentionsCopy reports whether a statement of the request may be COPY.
func (x *exchange) mentionsCopy() bool {
	word := []byte("copy")
	for _, p := range x.request.Parts {
		if bytes.Contains(bytes.ToLower(p.Bytes), word) {
			return true
		}
	}
	for _, s := range x.request.Statements {
		if bytes.Contains(bytes.ToLower(s.Parse), word) {
			return true
		}
	}
	return false
}

// appendRecord adds the statement that records the request's name. It runs in the
// transaction of the request, so that the name is stored if and only if the
// request takes effect, and at most once.
func (x *exchange) appendRecord(b []byte) []byte {
	x.skipRecord = true
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

// define appends a Parse message, after a Close if the connection already has a
// statement of that name.
func (x *exchange) define(b []byte, name string, parse []byte, pass bool) []byte {
	if x.tx.prepared[name] {
		b = appendMessage(b, &pgproto3.Close{ObjectType: 'S', Name: name})
		x.completions = append(x.completions, completion{kind: daisymessage.TypeCloseComplete})
	}
	x.tx.prepared[name] = true
	x.completions = append(x.completions, completion{kind: daisymessage.TypeParseComplete, pass: pass})
	return append(b, parse...)
}

// expectClose records that the answer to a client's Close message is passed on.
func (x *exchange) expectClose(b []byte) {
	if len(b) > 0 && b[0] == 'C' {
		x.completions = append(x.completions, completion{kind: daisymessage.TypeCloseComplete, pass: true})
	}
}

func appendMessage(b []byte, m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(b)
	if err != nil {
		panic("daisyholder: constant message cannot be encoded")
	}
	return b
}

// handle processes one message of the answer other than the last ReadyForQuery.
func (x *exchange) handle(m daisymessage.Message) error {
	if err := x.checkRows(m); err != nil {
		return err
	}
	if x.skipRecord && !x.skipPrefix && m.Type != daisymessage.TypeParameterStatus {
		return x.handleRecordAnswer(m)
	}
	switch m.Type {
	case daisymessage.TypeReady:
		x.skipPrefix = false
		return nil
	case daisymessage.TypeParameterStatus:
		x.recordPosition(m)
		return nil
	case daisymessage.TypeNotification:
		return nil
	case daisymessage.TypeParseComplete, daisymessage.TypeCloseComplete:
		if !x.takeCompletion(m.Type) {
			return nil
		}
	case daisymessage.TypeCopyIn, daisymessage.TypeCopyBoth:
		return x.failCopy()
	case daisymessage.TypeCommandComplete:
		if x.refuseTag(m) {
			return nil
		}
	}
	if x.skipPrefix || x.muted {
		return nil
	}
	x.chunk = append(x.chunk, m.Raw...)
	streaming := m.Type == daisymessage.TypeDataRow || m.Type == daisymessage.TypeCopyData
	switch {
	case !streaming || len(x.chunk) < chunkBytes:
		return nil
	case !x.emitted && x.tx.streamed[x.firstRow]:
		if len(x.chunk) > heldBytes {
			return daisymember.ErrForeignAnswer
		}
		return nil
	}
	return x.flush()
}

// checkRows returns an error if the message cannot follow the previous one, since it is
// within rows and neither goes on with them nor ends them.
func (x *exchange) checkRows(m daisymessage.Message) error {
	switch m.Type {
	case daisymessage.TypeDataRow, daisymessage.TypeCopyData:
		if !x.inRows {
			x.firstRow = maphash.Bytes(rowSeed, m.Raw)
		}
		x.inRows = true
	case daisymessage.TypeCommandComplete, daisymessage.TypeError, daisymessage.TypePortalSuspended, daisymessage.TypeCopyDone:
		x.inRows = false
	case daisymessage.TypeNotice, daisymessage.TypeParameterStatus, daisymessage.TypeNotification:
	default:
		if x.inRows {
			return daisymember.ErrForeignAnswer
		}
	}
	return nil
}

// rowSeed is the seed of the hashes of first rows.
var rowSeed = maphash.MakeSeed()

// handleRecordAnswer skips the answer to the INSERT of the request name. If it is
// an error, the error is passed on, with CodeRecorded if the name exists.
func (x *exchange) handleRecordAnswer(m daisymessage.Message) error {
	switch m.Type {
	case daisymessage.TypeCommandComplete:
		x.skipRecord = false
	case daisymessage.TypeError:
		x.skipRecord = false
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
	if !x.emitted {
		x.emitted = true
		if x.tx.streamed == nil {
			x.tx.streamed = make(map[uint64]bool)
		}
		x.tx.streamed[x.firstRow] = true
	}
	x.emitErr = x.emit(&daisystream.Answer{ID: x.request.ID, Bytes: x.chunk})
	x.chunk = x.chunk[:0]
	return x.emitErr
}

// takeCompletion removes the next expected completion of the type and reports
// whether the message is passed on; one that is not expected is.
func (x *exchange) takeCompletion(kind byte) bool {
	for i, s := range x.completions {
		if s.kind == kind {
			x.completions = append(x.completions[:i], x.completions[i+1:]...)
			return s.pass
		}
	}
	return true
}

func (x *exchange) recordPosition(m daisymessage.Message) {
	var p pgproto3.ParameterStatus
	if p.Decode(m.Body()) != nil || p.Name != positionParameter {
		return
	}
	if position, err := daisystream.ParsePosition(p.Value); err == nil {
		x.position = position
	}
}

// refuseTag replaces the completion of a statement outside a transaction whose
// effect would be lost with the connection by an error.
func (x *exchange) refuseTag(m daisymessage.Message) bool {
	var c pgproto3.CommandComplete
	if x.skipPrefix || x.muted || c.Decode(m.Body()) != nil {
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

// failCopy makes a COPY FROM STDIN fail, since COPY from the client is not
// supported.
func (x *exchange) failCopy() error {
	if !x.tx.copies {
		return daisymember.ErrForeignAnswer
	}
	b := appendMessage(nil, &pgproto3.CopyFail{Message: "COPY from the caller is not supported"})
	parts := x.request.Parts
	if last := parts[len(parts)-1].Bytes; len(last) > 0 && last[0] != 'Q' {
		b = appendMessage(b, &pgproto3.Sync{})
	}
	return x.tx.pooled.conn.Write(b)
}

// connectionLost returns the outcome of a request whose connection failed or
// whose answer must not be released.
func (x *exchange) connectionLost(err error) outcome {
	if x.tx.readOnly {
		refusal := refuse(daisystream.CauseBackend)
		refusal.Message = "the connection was lost during a read: " + err.Error()
		retry := !x.emitted && x.tx.status != daisystream.StatusOpen
		return outcome{answer: x.refusal(refusal), emit: x.emit, broken: true, retry: retry}
	}
	return x.unknownOutcome("the connection was lost: " + err.Error())
}

func (x *exchange) unknownOutcome(why string) outcome {
	refusal := &daisystream.Refusal{
		Code: daisystream.CodeUnknownOutcome, Message: "it is not known whether the request ran: " + why,
		Cause: daisystream.CauseUnknown,
	}
	return outcome{answer: x.refusal(refusal), emit: x.emit, broken: true}
}

func (x *exchange) refusal(r *daisystream.Refusal) *daisystream.Answer {
	return &daisystream.Answer{ID: x.request.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: x.tx.minPosition, Refusal: r}
}

// finish returns the last part of the answer if it may be released: a majority
// has confirmed the write where the profile asks for it, the group is still open
// and the host's lease is valid.
func (x *exchange) finish(ctx context.Context, status daisystream.Status) outcome {
	t := x.tx
	t.status = status
	if !x.position.IsZero() {
		t.minPosition = daisystream.Later(t.minPosition, x.position)
		t.group.recordWrite(clientOf(x.request), x.position)
		if t.majority() && !t.group.confirm(ctx, x.position) {
			return x.unknownOutcome("no majority of the group confirmed it")
		}
	}
	if t.group.ctx.Err() != nil || !t.group.holder.options.Lease.Valid() {
		return x.connectionLost(context.Canceled)
	}
	ready := pgproto3.ReadyForQuery{TxStatus: byte(status)}
	x.chunk, _ = ready.Encode(x.chunk)
	answer := &daisystream.Answer{
		ID: x.request.ID, Bytes: x.chunk, Final: true, Status: status, MinPosition: t.minPosition, Replica: t.replica,
	}
	return outcome{answer: answer, emit: x.emit}
}

func (g *group) recordWrite(c daisyposition.Client, p daisystream.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.positions.RecordWrite(c, p, time.Now())
}
