package daisysession

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// leaderRetry is the pause before a statement that was not run is tried
	// again at the primary.
	leaderRetry = 25 * time.Millisecond
	// rightRetry is how often a statement looks whether the host may act again.
	rightRetry = 50 * time.Millisecond
)

// runShare is the part of a statement's timeout that is kept for its run: one
// that would be sent later is refused as not run instead of left in doubt.
const runShare = 8

// holdLimit returns until when a statement may wait to be sent.
func holdLimit(p daisyspec.Profile, arrived time.Time) time.Time {
	return arrived.Add(p.Timeout - p.Timeout/runShare)
}

// queueShare is the part of the latency objective that a statement may wait in a
// server's queue. Under overload a longer queue only makes more answers late.
const queueShare = 1.5

// queueLimit returns until when a statement may wait in a server's queue, with
// some time also for one that has waited for a primary.
func queueLimit(p daisyspec.Profile, arrived time.Time) time.Time {
	limit := arrived.Add(time.Duration(queueShare * float64(p.Latency)))
	if least := time.Now().Add(p.Latency / 8); limit.Before(least) {
		limit = least
	}
	if hold := holdLimit(p, arrived); hold.Before(limit) {
		return hold
	}
	return limit
}

// errNoLeader is returned while a service has no primary that may be used.
var errNoLeader = errors.New("the service has no primary")

// awaitLeader waits until the service has a primary that the host may use.
func (s *Session) awaitLeader(service string, until time.Time) (daisyrouter.Leader, error) {
	for {
		changed := s.desk.Router.Changed()
		if l, ok := s.desk.Router.Leader(service); ok {
			return l, nil
		}
		left := time.Until(until)
		if left <= 0 {
			return daisyrouter.Leader{}, errNoLeader
		}
		select {
		case <-changed:
		case <-time.After(min(left, rightRetry)):
		}
	}
}

// direct serves a statement that only the primary may run. What was certainly
// not run is tried again until the statement's timeout.
func (s *Session) direct(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	hold := holdLimit(p, arrived)
	st.MinPosition = daisystatement.Position{}
	for {
		a, err, sent := s.tryDirect(p, st, arrived)
		switch {
		case err == nil && (a.Failure == nil || !a.Failure.Code.NotRun()):
			return a
		case err != nil && sent && !s.reads(st):
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeInDoubt, "%v", err)
		case time.Until(hold) < leaderRetry && err == nil:
			a.State = daisystatement.StateIdle
			return a
		case time.Until(hold) < leaderRetry:
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeBusy, "%v", err)
		}
		time.Sleep(leaderRetry)
	}
}

// tryDirect runs the statement at the primary once. It reports whether the
// statement may have been sent.
func (s *Session) tryDirect(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) (a daisystatement.Answer, err error, sent bool) { //nolint:revive // The report belongs to the error.
	hold := holdLimit(p, arrived)
	l, err := s.awaitLeader(p.Service, hold)
	if err != nil {
		return a, err, false
	}
	asked := daisyclock.Now()
	e := s.errand(p, st, queueLimit(p, arrived), arrived.Add(p.Timeout))
	e.Server = l.Server
	a, _, err = s.carry(e)
	if err != nil || a.Failure != nil {
		return a, err, !errors.Is(err, daisygateway.ErrNotSent)
	}
	if !s.reads(st) {
		return s.acknowledge(p.Service, l, a), nil, true
	}
	s.desk.Router.RecordPosition(p.Service, l, asked, a.Position)
	return a, nil, true
}

// acknowledge returns the answer to a write that succeeded, unless the server
// may have been replaced before it ran.
func (s *Session) acknowledge(service string, l daisyrouter.Leader, a daisystatement.Answer) daisystatement.Answer {
	if !s.desk.Router.Leads(service, l) {
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeInDoubt, "the primary may have been replaced before the write")
	}
	s.mark = daisyfreshness.WritePosition{Epoch: l.Epoch, Position: a.Position}
	return a
}
