package daisysession

import (
	"errors"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// transaction is a session's open transaction. Its connection is acquired with
// its first statement.
type transaction struct {
	session         *Session
	profile         daisyspec.Profile
	readOnly        bool
	began           time.Time
	conn            daisyrequest.PinnedConn
	server          string
	leader          daisyrouter.Leader // The leader that it was begun on, if onLeader.
	onLeader        bool               // It is begun on the leader, not on a replica.
	wrote           bool
	failed          bool
	failureReported bool           // The client has received the failure.
	home            daisyspec.Home // The home regions when it was begun on its server.
}

// code returns the code for a statement in a failed transaction: CodeAborted for
// the first one, if the failure has not been reported yet, else CodeMalformed.
func (t *transaction) code() daisystatement.Code {
	if t.failureReported {
		return daisystatement.CodeMalformed
	}
	t.failureReported = true
	return daisystatement.CodeAborted
}

// fail marks the transaction as failed and rolls it back.
func (t *transaction) fail() {
	t.failed = true
	t.end()
}

// end releases the connection, which rolls back what is still open.
func (t *transaction) end() {
	if t.conn != nil {
		t.conn.Close()
		t.conn = nil
	}
}

// abort fails the transaction with CodeAborted, which guarantees that nothing of
// it was committed.
func (t *transaction) abort(why string) daisystatement.Answer {
	t.fail()
	t.failureReported = true
	return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeAborted, "%s", why)
}

// request returns the request for a statement on the transaction's connection.
func (t *transaction) request(st daisystatement.Statement, deadline time.Time) daisyrequest.Request {
	req := t.session.statementRequest(t.profile, st, deadline, deadline)
	req.Server, req.Pin = t.server, true
	return req
}

// run runs a statement of the transaction.
func (t *transaction) run(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	deadline := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ensureOpen(deadline); !ok {
		return refused
	}
	s := t.session
	if !s.reads(st) {
		t.wrote = true
	}
	a, err := t.forwardAbortable(t.request(st, deadline))
	if err != nil {
		return t.abort("the transaction was lost before its commit: " + err.Error())
	}
	if a.Failure == nil && a.State == daisystatement.StateIdle {
		t.fail()
		t.failureReported = true
		return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeInDoubt, "the backend server left the transaction")
	}
	if a.State != daisystatement.StateOpen || a.Failure != nil && a.Failure.Code.NotRun() {
		t.failed, t.failureReported = true, true
		a.State = daisystatement.StateFailed
	}
	return a
}

// ensureOpen begins the transaction on a server if it has not been begun. It aborts it if its
// key was withdrawn, or if it may write and its primary no longer leads.
func (t *transaction) ensureOpen(deadline time.Time) (refused daisystatement.Answer, ok bool) {
	if !t.profile.Public && !t.session.ownsKey() {
		return t.abort("the key was withdrawn"), false
	}
	if t.conn == nil {
		if a, ok := t.open(deadline.Add(-t.profile.Timeout / executionDivisor)); !ok {
			return a, false
		}
	}
	if !t.home.Equal(t.session.home(t.profile)) {
		return t.abort("the home regions have changed"), false
	}
	if !t.readOnly && !t.session.env.Router.Leads(t.profile.Service, t.leader) {
		return t.abort(t.session.env.notLeading()), false
	}
	return refused, true
}

// open begins the transaction on a server. It tries each that may serve it once and,
// after a pause, again until sendBy, unless one of them was overloaded.
func (t *transaction) open(sendBy time.Time) (refused daisystatement.Answer, ok bool) {
	code, why := daisystatement.CodeBusy, "no backend server could begin the transaction in time"
	var tried []string
	overloaded := false
	var retry retrier
	retry.begin(t.session)
	for {
		if home, ok := t.session.checkHome(t.profile, len(tried) > 0); !ok {
			why = home.Failure.Text
			break
		}
		server, begin, freshness, found := t.target(sendBy, tried)
		if found && !slices.Contains(tried, server) {
			a, err := t.tryOpen(server, begin, freshness, sendBy)
			if err == nil && a.Failure == nil {
				return refused, true
			}
			if errors.Is(err, daisyrequest.ErrNoPosition) && t.session.awaitsPosition(t.profile) {
				why = err.Error()
				tried = append(tried, server)
				continue
			}
			if errors.Is(err, daisyrequest.ErrNoPosition) {
				t.onLeader = true // No host near has a position, so only the primary is fresh enough.
				continue
			}
			tried = append(tried, server)
			overload, isOverload := refusal(daisystatement.StateFailed, err)
			switch {
			case isOverload:
				code, why, overloaded = daisystatement.CodeBusy, overload.Failure.Text, true
			case overloaded: // The client is told when the overload is expected to end.
			case a.Failure != nil:
				code, why = a.Failure.Code, a.Failure.Text
			default:
				why = err.Error()
			}
			continue
		}
		if refused, ok := t.session.refuseUnservable(t.profile.Service, t.onLeader, daisystatement.StateFailed); ok {
			t.failed, t.failureReported = true, true
			return refused, false
		}
		if overloaded || !retry.wait(sendBy) {
			break
		}
		tried = nil
		retry.begin(t.session)
	}
	if !code.NotRun() {
		code = daisystatement.CodeAborted
	}
	t.failed, t.failureReported = true, true
	if t.session.env.controlLost() {
		return daisystatement.Answer{State: daisystatement.StateFailed, Failure: lostControlFailure()}, false
	}
	return daisystatement.Fail(daisystatement.StateFailed, code, "%s", why), false
}

// target returns the server to begin the transaction on, the statement that begins it
// and what the server's gateway has to add.
func (t *transaction) target(sendBy time.Time, tried []string) (server string, begin daisystatement.Statement, freshness daisyrequest.Freshness, ok bool) {
	s := t.session
	begin = daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindBegin, ReadOnly: t.readOnly}
	if t.profile.UsesReplicas(t.readOnly) {
		minPosition, known := s.minPosition(t.profile, t.began)
		freshness = s.freshness(t.profile, known)
		if known || !t.onLeader && freshness != unknownPosition {
			t.onLeader, begin.MinPosition = false, minPosition
			server, ok = s.env.Router.Choose(daisyrouter.Query{Profile: t.profile, Workspace: s.workspace, MinPosition: minPosition, Exclude: tried, Transaction: true, Home: s.home(t.profile)})
			return server, begin, freshness, ok
		}
	}
	l, err := s.awaitLeader(t.profile.Service, sendBy)
	t.leader, t.onLeader = l, true
	return l.Server, begin, daisyrequest.Freshness{}, err == nil
}

// tryOpen begins the transaction on the server once.
func (t *transaction) tryOpen(server string, begin daisystatement.Statement, freshness daisyrequest.Freshness, sendBy time.Time) (a daisystatement.Answer, err error) {
	s := t.session
	sentAt, home := daisyclock.Now(), s.home(t.profile)
	if t.onLeader && !s.env.Router.Leads(t.profile.Service, t.leader) {
		return a, errNoLeader
	}
	deadline := sendBy.Add(t.profile.Timeout / executionDivisor)
	req := s.statementRequest(t.profile, begin, queueDeadline(t.profile, deadline.Add(-t.profile.Timeout)), deadline)
	req.Server, req.Pin, req.Freshness = server, true, freshness
	a, conn, err := s.forward(req)
	switch {
	case err != nil:
		return a, err
	case a.Failure != nil:
		if a.Failure.Code == daisystatement.CodeLagging {
			s.env.Router.Lagged(server, begin.MinPosition)
		}
		return a, nil
	case conn == nil:
		return a, daisyrequest.ErrPinnedConnClosed
	}
	if t.onLeader {
		s.env.Router.RecordPosition(t.profile.Service, t.leader, sentAt, a.Position)
	}
	t.conn, t.server, t.home = conn, server, home
	return a, nil
}

// commit commits the transaction. If the answer is missing, the outcome is in
// doubt if the transaction wrote and its COMMIT may have been sent; else the
// transaction is aborted, since its connection is closed.
func (t *transaction) commit(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	deadline := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ensureOpen(deadline); !ok {
		refused.State = daisystatement.StateIdle
		t.end()
		return refused
	}
	s := t.session
	a, err := s.forwardPinned(t.conn, t.request(st, deadline))
	t.end()
	switch {
	case err != nil && t.wrote && !errors.Is(err, daisyrequest.ErrNotSent) && !errors.Is(err, daisyrequest.ErrPinnedConnClosed):
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeInDoubt, "%v", err)
	case err != nil:
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeAborted, "%v", err)
	}
	a.State = daisystatement.StateIdle
	if a.Failure == nil && t.wrote {
		return s.acknowledge(t.profile.Service, t.leader, a)
	}
	return a
}
