package daisysession

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisydesire"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// rollbackTimeout is how long a server may take to roll back before its
// connection is closed instead.
const rollbackTimeout = 500 * time.Millisecond

// transaction is a session's open transaction. It gets its connection with its
// first statement.
type transaction struct {
	session  *Session
	profile  daisydesire.Profile
	readOnly bool
	began    time.Time
	conn     *daisypool.Conn
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

// fail gives the connection up, which rolls back, and marks the transaction.
func (t *transaction) fail() {
	t.failed = true
	t.drop()
}

// drop closes the connection.
func (t *transaction) drop() {
	if t.conn != nil {
		t.conn.Spoil()
		t.conn.Release()
		t.conn = nil
	}
}

// end rolls back and gives the connection back, off the caller's path.
func (t *transaction) end() {
	c := t.conn
	t.conn = nil
	if c == nil {
		return
	}
	go func() {
		defer c.Release()
		a, err := exchange(c, []daisystatement.Statement{system(daisystatement.KindRollback)}, time.Now().Add(rollbackTimeout))
		if err != nil || a.State != daisystatement.StateIdle {
			c.Spoil()
		}
	}()
}

// abort fails the transaction with the promise that nothing of it is kept.
func (t *transaction) abort(why string) daisystatement.Answer {
	t.fail()
	t.answered = true
	return daisystatement.Fail(daisystatement.StateFailed, daisystatement.CodeAborted, "%s", why)
}

// run serves a statement of the transaction.
func (t *transaction) run(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	deadline := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ready(deadline); !ok {
		return refused
	}
	s := t.session
	if err := s.align(t.conn, deadline); err != nil {
		return t.abort(err.Error())
	}
	if !s.reads(st) {
		t.wrote = true
	}
	a, err := s.ask(t.profile.Service, t.conn, s.translated(t.conn, st), deadline)
	if err != nil {
		return t.abort("the connection to the backend server was lost before the commit")
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

// ready makes sure that the transaction has a connection on which it may go on.
func (t *transaction) ready(deadline time.Time) (refused daisystatement.Answer, ok bool) {
	if t.conn == nil {
		if a, ok := t.open(deadline.Add(-t.profile.Timeout / runShare)); !ok {
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
			}
		} else {
			tried = nil
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
	begin = system(daisystatement.KindBegin)
	begin.ReadOnly = t.readOnly
	if t.readOnly && t.profile.Freshness != daisydesire.FreshPrimary {
		if floor, _, fresh := s.floor(t.profile, t.began); fresh {
			begin.After = floor
			server, ok = s.desk.Router.Choose(t.profile.Service, s.workspace, tried)
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
	ctx, cancel := context.WithDeadline(context.Background(), hold)
	defer cancel()
	deadline := hold.Add(t.profile.Timeout / runShare)
	c, err := s.connect(ctx, t.profile.Service, server, deadline)
	if err != nil {
		return a, err
	}
	asked := daisyclock.Now()
	onLeader := begin.After.IsZero()
	if onLeader && !s.desk.Router.Leads(t.profile.Service, t.leader) {
		c.Release()
		return a, errNoLeader
	}
	a, err = s.ask(t.profile.Service, c, []daisystatement.Statement{begin}, deadline)
	if err != nil || a.Failure != nil {
		if err == nil && a.Failure.Code == daisystatement.CodeLagging {
			s.desk.Router.Lagged(server)
		}
		if a.State != daisystatement.StateIdle {
			c.Spoil()
		}
		c.Release()
		return a, err
	}
	if onLeader {
		s.desk.Router.Note(t.profile.Service, t.leader, asked, a.Position)
	}
	t.conn = c
	return a, nil
}

// commit ends the transaction. If its answer is missing, the outcome of a
// transaction that wrote is in doubt; otherwise there is nothing to keep.
func (t *transaction) commit(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	deadline := arrived.Add(t.profile.Timeout)
	if refused, ok := t.ready(deadline); !ok {
		refused.State = daisystatement.StateIdle
		t.end()
		return refused
	}
	s := t.session
	a, err := s.ask(t.profile.Service, t.conn, []daisystatement.Statement{st}, deadline)
	if err != nil || a.State != daisystatement.StateIdle {
		t.conn.Spoil()
	}
	t.conn.Release()
	t.conn = nil
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
