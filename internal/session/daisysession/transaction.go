package daisysession

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// transaction is a session's open transaction. It gets its lane with its first
// statement.
type transaction struct {
	session  *Session
	profile  daisyspec.Profile
	readOnly bool
	began    time.Time
	lane     daisygateway.PinnedConn
	server   string
	leader   daisyrouter.Leader // Of a transaction that may write.
	wrote    bool
	failed   bool
	answered bool // The caller was told of the failure.
}

// code returns the code for a statement in a failed transaction: the first one
// learns that nothing is kept.
func (t *transaction) code() daisystatement.Code {
	if t.answered {
		return daisystatement.CodeMalformed
	}
	t.answered = true
	return daisystatement.CodeAborted
}

// fail rolls back and marks the transaction.
func (t *transaction) fail() {
	t.failed = true
	t.end()
}

// end rolls back and gives the lane back, off the caller's path.
func (t *transaction) end() {
	if t.lane != nil {
		t.lane.Close()
		t.lane = nil
	}
}

// abort fails the transaction with the promise that nothing of it is kept.
func (t *transaction) abort(why string) daisystatement.Answer {
	t.fail()
	t.answered = true
	return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeAborted, "%s", why)
}

// errand returns the errand of a statement on the transaction's lane.
func (t *transaction) errand(st daisystatement.Statement, limit time.Time) daisygateway.StatementRequest {
	e := t.session.errand(t.profile, st, limit, limit)
	e.Server, e.Pin = t.server, true
	return e
}

// run serves a statement of the transaction.
func (t *transaction) run(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	limit := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ready(limit); !ok {
		return refused
	}
	s := t.session
	if !s.reads(st) {
		t.wrote = true
	}
	a, err := s.along(t.lane, t.errand(st, limit))
	if err != nil {
		return t.abort("the transaction was lost before its commit: " + err.Error())
	}
	if a.Failure == nil && a.State == daisystatement.StateIdle {
		t.fail()
		t.answered = true
		return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeInDoubt, "the backend server left the transaction")
	}
	if a.State != daisystatement.StateOpen {
		t.failed, t.answered = true, true
		a.State = daisystatement.StateFailed
	}
	return a
}

// ready makes sure that the transaction has a lane on which it may go on.
func (t *transaction) ready(limit time.Time) (refused daisystatement.Answer, ok bool) {
	if t.lane == nil {
		if a, ok := t.open(limit.Add(-t.profile.Timeout / runShare)); !ok {
			return a, false
		}
	}
	if !t.readOnly && !t.session.desk.Router.Leads(t.profile.Service, t.leader) {
		return t.abort("the primary is being replaced"), false
	}
	return refused, true
}

// open begins the transaction on a server, if one can be had until hold.
func (t *transaction) open(hold time.Time) (refused daisystatement.Answer, ok bool) {
	code, why := daisystatement.CodeBusy, "no backend server could begin the transaction in time"
	var tried []string
	for {
		server, begin, found := t.target(hold, tried)
		if found {
			a, err := t.tryOpen(server, begin, hold)
			if err == nil && a.Failure == nil {
				return refused, true
			}
			tried = append(tried, server)
			if a.Failure != nil {
				code, why = a.Failure.Code, a.Failure.Text
			} else {
				why = err.Error()
			}
		}
		if time.Until(hold) < leaderRetry {
			break
		}
		if !t.readOnly || !found {
			tried = nil
			time.Sleep(leaderRetry)
		}
	}
	if !code.NotRun() {
		code = daisystatement.CodeAborted
	}
	t.failed, t.answered = true, true
	return daisystatement.Fail(daisystatement.StateFailed, code, "%s", why), false
}

// target returns the server to begin on and the statement that begins.
func (t *transaction) target(hold time.Time, tried []string) (server string, begin daisystatement.Statement, ok bool) {
	s := t.session
	begin = daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindBegin, ReadOnly: t.readOnly}
	if t.readOnly && t.profile.Freshness != daisyspec.FreshPrimary {
		if floor, fresh := s.floor(t.profile, t.began); fresh {
			begin.MinPosition = floor
			server, ok = s.desk.Router.Choose(t.profile.Service, floor, tried)
			return server, begin, ok
		}
	}
	l, err := s.awaitLeader(t.profile.Service, hold)
	t.leader = l
	return l.Server, begin, err == nil
}

// tryOpen begins on the server.
func (t *transaction) tryOpen(server string, begin daisystatement.Statement, hold time.Time) (a daisystatement.Answer, err error) {
	s := t.session
	asked := daisyclock.Now()
	onLeader := begin.MinPosition.IsZero()
	if onLeader && !s.desk.Router.Leads(t.profile.Service, t.leader) {
		return a, errNoLeader
	}
	limit := hold.Add(t.profile.Timeout / runShare)
	e := s.errand(t.profile, begin, queueLimit(t.profile, limit.Add(-t.profile.Timeout)), limit)
	e.Server, e.Pin = server, true
	a, lane, err := s.carry(e)
	switch {
	case err != nil:
		return a, err
	case a.Failure != nil:
		if a.Failure.Code == daisystatement.CodeLagging {
			s.desk.Router.Lagged(server, begin.MinPosition)
		}
		return a, nil
	case lane == nil:
		return a, daisygateway.ErrPinnedConnClosed
	}
	if onLeader {
		s.desk.Router.RecordPosition(t.profile.Service, t.leader, asked, a.Position)
	}
	t.lane, t.server = lane, server
	return a, nil
}

// commit ends the transaction. If its answer is missing, the outcome of a
// transaction that wrote is in doubt; otherwise there is nothing to keep.
func (t *transaction) commit(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	limit := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ready(limit); !ok {
		refused.State = daisystatement.StateIdle
		t.end()
		return refused
	}
	s := t.session
	a, err := s.along(t.lane, t.errand(st, limit))
	t.end()
	switch {
	case err != nil && t.wrote:
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
