package daisysession

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// leaseRetry is the interval at which a waiting statement checks the host's
// lease, whose renewal does not wake it.
const leaseRetry = 50 * time.Millisecond

// executionDivisor is the divisor of a statement's timeout that yields the time
// reserved for its execution. A statement that would be sent later is refused as
// not run, since its outcome would likely be in doubt.
const executionDivisor = 8

// sendDeadline returns the deadline for sending a statement.
func sendDeadline(p daisyspec.Profile, arrived time.Time) time.Time {
	return arrived.Add(p.Timeout - p.Timeout/executionDivisor)
}

// queueFactor is the maximum wait in a server's queue as a multiple of the latency
// objective. Under overload a longer queue only makes more answers late.
const queueFactor = 1.5

// queueDeadline returns the deadline for a statement's wait in a server's queue.
// A statement that has already waited for a primary still gets an eighth of the
// objective.
func queueDeadline(p daisyspec.Profile, arrived time.Time) time.Time {
	deadline := arrived.Add(time.Duration(queueFactor * float64(p.Latency)))
	if least := time.Now().Add(p.Latency / 8); deadline.Before(least) {
		deadline = least
	}
	if sendBy := sendDeadline(p, arrived); sendBy.Before(deadline) {
		return sendBy
	}
	return deadline
}

// errNoLeader is returned while a service has no primary that the host may use.
var errNoLeader = errors.New("the service has no primary")

// awaitLeader waits until the service has a primary that the host may use, but no
// longer than until. It does not wait for the end of an evacuation.
func (s *Session) awaitLeader(service string, until time.Time) (daisyrouter.Leader, error) {
	for {
		changed := s.env.Router.Changed()
		if l, ok := s.env.Router.Leader(service); ok && !s.env.Router.Evacuated(l.Server) {
			return l, nil
		}
		if s.env.Router.Unservable(service, true) {
			return daisyrouter.Leader{}, daisyrequest.NewEvacuationError()
		}
		if s.env.controlLost() {
			return daisyrouter.Leader{}, errLostControl
		}
		left := time.Until(until)
		if left <= 0 {
			return daisyrouter.Leader{}, errNoLeader
		}
		select {
		case <-changed:
		case <-time.After(min(left, leaseRetry)):
		}
	}
}

// refusal returns the answer to a statement that was not sent since the server's
// queue is too long, evacuations leave it no server, the home regions have no place for it
// or it is too long, if err is that. It is final: the client is told when to return, and the hosts add
// no attempts of their own.
func refusal(state daisystatement.State, err error) (a daisystatement.Answer, ok bool) {
	var overload *daisyrequest.OverloadError
	var evacuation *daisyrequest.EvacuationError
	var home *daisyrequest.HomeError
	switch {
	case errors.Is(err, daisyrequest.ErrTooLong):
		return daisystatement.Fail(state, daisystatement.CodeBusy, "%v", daisyrequest.ErrTooLong), true
	case errors.As(err, &home):
		return daisystatement.Fail(state, daisystatement.CodeBusy, "%v", home), true
	case errors.As(err, &evacuation):
		return daisystatement.Fail(state, daisystatement.CodeBusy, "%v", evacuation), true
	case errors.As(err, &overload):
		return daisystatement.Fail(state, daisystatement.CodeBusy, "%v", overload), true
	}
	return a, false
}
func isHomeError(err error) bool {
	var home *daisyrequest.HomeError
	return errors.As(err, &home)
}

// direct runs a statement on the primary. It retries a statement that was
// certainly not run until its send deadline, unless the primary is overloaded.
// It reports whether it was refused for that.
func (s *Session) direct(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) (a daisystatement.Answer, overloaded bool) {
	sendBy := sendDeadline(p, arrived)
	st.MinPosition = daisystatement.Position{}
	var retry retrier
	for {
		retry.begin(s)
		if refused, ok := s.checkHome(p, false); !ok {
			return refused, true
		}
		a, err, sent := s.tryDirect(p, st, arrived)
		if refused, ok := refusal(daisystatement.StateIdle, err); ok {
			return refused, true
		}
		switch {
		case err == nil && (a.Failure == nil || !a.Failure.Code.NotRun()):
			return a, false
		case err != nil && sent && !s.reads(st):
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeInDoubt, "%v", err), false
		case errors.Is(err, errLostControl):
			return daisystatement.Answer{State: daisystatement.StateIdle, Failure: lostControlFailure()}, false
		}
		if refused, ok := s.checkHome(p, true); !ok {
			return refused, true
		}
		switch {
		case retry.wait(sendBy):
		case err != nil:
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeBusy, "%v", err), false
		default:
			a.State = daisystatement.StateIdle
			return a, false
		}
	}
}

// tryDirect runs the statement on the primary once. It reports whether the
// statement may have been sent.
func (s *Session) tryDirect(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) (a daisystatement.Answer, err error, sent bool) { //nolint:revive // The sent flag qualifies the error.
	sendBy := sendDeadline(p, arrived)
	l, err := s.awaitLeader(p.Service, sendBy)
	if err != nil {
		return a, err, false
	}
	sentAt := daisyclock.Now()
	req := s.statementRequest(p, st, queueDeadline(p, arrived), arrived.Add(p.Timeout))
	req.Server = l.Server
	a, _, err = s.forward(req)
	if err != nil || a.Failure != nil {
		return a, err, !errors.Is(err, daisyrequest.ErrNotSent)
	}
	if !s.reads(st) {
		return s.acknowledge(p.Service, l, a), nil, true
	}
	s.env.Router.RecordPosition(p.Service, l, sentAt, a.Position)
	return a, nil, true
}

// acknowledge returns the answer to a write that succeeded. If the primary may
// have been replaced before the write, it returns a failure that is in doubt.
func (s *Session) acknowledge(service string, l daisyrouter.Leader, a daisystatement.Answer) daisystatement.Answer {
	if !s.env.Router.Leads(service, l) {
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeInDoubt, "the primary may have been replaced before the write")
	}
	s.lastWrites[service] = daisyfreshness.WritePosition{Epoch: l.Epoch, Position: a.Position}
	return a
}
