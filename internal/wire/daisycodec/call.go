package daisycodec

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// Action is what a Call asks a gateway to do.
type Action int64

// Actions.
const (
	ActionRun     Action = iota // Run a statement.
	ActionUnpin                 // Roll back and unpin the connection; there is no reply.
	ActionPing                  // Reply only.
	ActionAbandon               // The client of the call with the ID has left; there is no reply of its own.
)

// Call is a message to a gateway.
type Call struct {
	ID         uint64
	PinnedConn uint64 // The pinned connection to run on; 0 if none.
	Action     Action
	Sent       time.Duration // Since the link was opened; 0 if not stated.
	Request    daisyrequest.Request
}

// Fault is the reason why the server did not answer a statement request.
type Fault int64

// Faults.
const (
	FaultNone             Fault = iota
	FaultNotSent                // The statement did not reach the server.
	FaultUnreachable            // No connection could be opened; the statement was not sent.
	FaultPinnedConnClosed       // The pinned connection was closed; its transaction is rolled back.
	FaultOutcomeUnknown         // The statement may have run.
	FaultNoPosition             // The gateway has no position to add; the statement was not sent.
)

// CallReply answers a Call.
type CallReply struct {
	ID         uint64
	PinnedConn uint64 // The connection that stays pinned; 0 if none.
	Answer     daisystatement.Answer
	Fault      Fault
	RetryAfter time.Duration // With FaultNotSent, set if the server's queue is too long.
	OwnShare   bool          // With RetryAfter, whether only the workspace's share was used up.
	OverBudget bool          // With FaultNotSent, whether the budget of a cold server is used up.
	Cold       Cold
	Text       string
	Sample     Sample
	Load       daisyrequest.Load // Zero if the gateway states none.
}

// Cold tells how a gateway limits the requests of a cold server.
type Cold struct {
	Limited    bool    // The server is treated as cold; else the rest is 0.
	BudgetLeft float64 // The share of the gateway's budget that is left, from 0 to 1.
}

// Sample is the latest log position of a service's primary that a gateway knows.
type Sample struct {
	Epoch    uint64 // Of the primary; 0 if there is no sample.
	Position daisystatement.Position
	Age      time.Duration // Time since the primary was asked for the position.
}

// EncodeCall encodes a call that is sent at now. Deadlines are encoded as the
// time remaining, since the clocks of hosts differ.
func EncodeCall(c Call, now time.Time) []byte {
	w := &daisywire.Errand{ID: c.ID, Lane: c.PinnedConn, Act: int64(c.Action), Sent: int64(c.Sent)}
	if c.Action == ActionRun {
		e := &c.Request
		w.Service, w.Server, w.Workspace = e.Service, e.Server, e.Workspace
		w.Weight, w.Priority, w.Class, w.Keep = e.Weight, int64(e.Priority), e.Class, e.Pin
		w.Hold, w.Limit = int64(e.SendDeadline.Sub(now)), int64(e.Deadline.Sub(now))
		if !e.Objective.IsZero() {
			w.ObjectiveLeft = int64(max(1, e.Objective.Sub(now))) // 0 states none.
		}
		w.MaxAge, w.Round = int64(e.Freshness.MaxAge), e.Freshness.Epoch
		w.Statement = fromServerStatement(&e.Statement)
		for _, name := range slices.Sorted(maps.Keys(e.Values)) {
			w.Values = append(w.Values, daisywire.Setting{Name: name, Value: e.Values[name]})
		}
	}
	return encode(daisywire.Frame{Errand: w})
}

// DecodeCall decodes a call that arrived at now.
func DecodeCall(b []byte, now time.Time) (c Call, err error) {
	defer daisyerror.Annotate(&err, "decode call")
	f, err := decode(b)
	if err != nil {
		return c, err
	}
	w := f.Errand
	if w == nil {
		return c, ErrKind
	}
	if err := errors.Join(checkDurations(w.Sent), checkRange(w.Act, int64(ActionAbandon))); err != nil {
		return c, err
	}
	c = Call{ID: w.ID, PinnedConn: w.Lane, Action: Action(w.Act), Sent: time.Duration(w.Sent)}
	if c.Action != ActionRun {
		return c, nil
	}
	if w.Statement == nil {
		return c, errors.New("statement request has no statement")
	}
	kind := checkRange(w.Statement.Kind, int64(daisystatement.KindStepDown))
	if err := errors.Join(checkAmounts(w.Weight), checkDurations(w.MaxAge, w.ObjectiveLeft), kind); err != nil {
		return c, err
	}
	c.Request = daisyrequest.Request{
		Service: w.Service, Server: w.Server, Workspace: w.Workspace, Weight: w.Weight,
		Priority: int(w.Priority), Class: w.Class, Pin: w.Keep,
		SendDeadline: now.Add(time.Duration(w.Hold)), Deadline: now.Add(time.Duration(w.Limit)),
		Statement: toServerStatement(w.Statement), Freshness: daisyrequest.Freshness{Epoch: w.Round, MaxAge: time.Duration(w.MaxAge)},
	}
	if w.ObjectiveLeft > 0 {
		c.Request.Objective = now.Add(time.Duration(w.ObjectiveLeft))
	}
	for _, v := range w.Values {
		if c.Request.Values == nil {
			c.Request.Values = make(map[string]string, len(w.Values))
		}
		c.Request.Values[v.Name] = v.Value
	}
	return c, nil
}

func fromServerStatement(s *daisystatement.Statement) *daisywire.ServerStatement {
	return &daisywire.ServerStatement{
		ID: s.ID, Kind: int64(s.Kind), Text: s.Text, ReadOnly: s.ReadOnly, Name: s.Name, Shape: s.Shape, Rest: s.Arguments,
		AfterTerm: s.MinPosition.Term, AfterNumber: s.MinPosition.Number,
	}
}

func toServerStatement(w *daisywire.ServerStatement) daisystatement.Statement {
	return daisystatement.Statement{
		ID: w.ID, Kind: daisystatement.Kind(w.Kind), Text: w.Text, ReadOnly: w.ReadOnly, Name: w.Name, Shape: w.Shape,
		Arguments: w.Rest, MinPosition: daisystatement.Position{Term: w.AfterTerm, Number: w.AfterNumber},
	}
}

// EncodeCallReply encodes the reply to a call.
func EncodeCallReply(r CallReply) []byte {
	w := &daisywire.ErrandAnswer{
		ID: r.ID, Lane: r.PinnedConn, Rows: r.Answer.Rows, Signature: r.Answer.Signature, State: int64(r.Answer.State),
		Term: r.Answer.Position.Term, Number: r.Answer.Position.Number, Fault: int64(r.Fault), RetryAfter: int64(r.RetryAfter), OwnShare: r.OwnShare, Text: r.Text,
	}
	if s := r.Sample; s.Epoch > 0 {
		w.SampleRound, w.SampleTerm, w.SampleNumber, w.SampleAge = s.Epoch, s.Position.Term, s.Position.Number, int64(s.Age)
	}
	if !r.Load.IsZero() {
		w.Load = &daisywire.Load{Wait: int64(r.Load.Wait), Run: int64(r.Load.Run)}
	}
	w.OverBudget, w.Cold, w.BudgetLeft = r.OverBudget, r.Cold.Limited, r.Cold.BudgetLeft
	if f := r.Answer.Failure; f != nil {
		w.Code, w.Text = int64(f.Code), f.Text
	}
	return encode(daisywire.Frame{ErrandAnswer: w})
}

// DecodeCallReply decodes the reply to a call.
func DecodeCallReply(b []byte) (r CallReply, err error) {
	defer daisyerror.Annotate(&err, "decode call reply")
	f, err := decode(b)
	if err != nil {
		return r, err
	}
	w := f.ErrandAnswer
	if w == nil {
		return r, ErrKind
	}
	state := checkRange(w.State, int64(daisystatement.StateFailed))
	if err := errors.Join(checkDurations(w.RetryAfter, w.SampleAge), checkAmounts(w.BudgetLeft), state); err != nil {
		return r, err
	}
	r = CallReply{ID: w.ID, PinnedConn: w.Lane, Fault: Fault(w.Fault), RetryAfter: time.Duration(w.RetryAfter), OwnShare: w.OwnShare, Text: w.Text}
	r.Answer = daisystatement.Answer{
		Rows: w.Rows, Signature: w.Signature, State: daisystatement.State(w.State),
		Position: daisystatement.Position{Term: w.Term, Number: w.Number},
	}
	r.OverBudget, r.Cold = w.OverBudget, Cold{Limited: w.Cold, BudgetLeft: w.BudgetLeft}
	r.Sample = Sample{
		Epoch: w.SampleRound, Age: time.Duration(w.SampleAge),
		Position: daisystatement.Position{Term: w.SampleTerm, Number: w.SampleNumber},
	}
	if l := w.Load; l != nil {
		if err := checkDurations(l.Wait, l.Run); err != nil {
			return r, err
		}
		r.Load = daisyrequest.Load{Wait: time.Duration(l.Wait), Run: time.Duration(l.Run)}
	}
	if w.Code != 0 {
		r.Answer.Failure = &daisystatement.Failure{Code: daisystatement.Code(w.Code), Text: w.Text}
	}
	return r, nil
}
