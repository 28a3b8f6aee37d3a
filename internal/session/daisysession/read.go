package daisysession

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// readAttempts bounds the servers that one read is tried on.
	readAttempts = 4
	// hedgeMin is the least time without an answer after which a read is also
	// sent to another server: above the work of nearly all statements.
	hedgeMin = 250 * time.Millisecond
	// hedgeFactor is how many times the expected time must have passed.
	hedgeFactor = 4
	// freshRetry is the pause before a read looks again for a server that is
	// fresh enough.
	freshRetry = 20 * time.Millisecond
)

// outcome is what became of a read on one server.
type outcome struct {
	server string
	answer daisystatement.Answer
	err    error
}

// read serves a read that a replica may serve.
func (s *Session) read(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	hold := queueLimit(p, arrived)
	last := daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeBusy, "no backend server is fresh enough and reachable")
	for {
		floor, ok := s.floor(p, arrived)
		if !ok {
			return s.direct(p, st, arrived)
		}
		st.MinPosition = floor
		a, again := s.race(p, st, arrived)
		if !again {
			return a
		}
		if a.Failure != nil {
			last = a
		}
		if time.Until(hold) < freshRetry {
			return last
		}
		time.Sleep(freshRetry)
	}
}

// floor returns the position that the session's reads need; false if no sample
// is recent enough.
func (s *Session) floor(p daisyspec.Profile, arrived time.Time) (floor daisystatement.Position, ok bool) {
	round := s.desk.Router.Epoch(p.Service)
	floor, ok = s.desk.Router.MinPosition(p.Service, round, arrived, p.MaxAge)
	if p.Freshness == daisyspec.FreshSession {
		floor = s.mark.MinPosition(round, floor)
	}
	return floor, ok
}

// race sends the read to the best server and, when that takes long, to a second
// one. It returns true if nothing ran and it is worth trying anew.
func (s *Session) race(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) (a daisystatement.Answer, again bool) {
	hold, limit := queueLimit(p, arrived), arrived.Add(p.Timeout)
	late := time.NewTimer(time.Until(limit))
	defer late.Stop()
	outcomes := make(chan outcome, readAttempts)
	frozen := *s // The session goes on while an attempt that lost is drained.
	var tried []string
	underway := 0
	launch := func() time.Duration {
		server, ok := s.desk.Router.Choose(p.Service, st.MinPosition, tried)
		if !ok || len(tried) == readAttempts {
			return 0
		}
		tried = append(tried, server)
		if len(tried) > 1 {
			s.line(st).WithFields(log.Fields{"Next": server, "Tried": len(tried) - 1, "After": st.MinPosition.String(), "Underway": underway}).
				Info("session: read sent to another server")
		}
		underway++
		go func() { outcomes <- frozen.tryRead(p, server, st, hold, limit) }()
		return max(hedgeMin, hedgeFactor*s.desk.Router.ExpectedLatency(server))
	}
	hedge := time.NewTimer(launch())
	defer hedge.Stop()
	for underway > 0 {
		select {
		case o := <-outcomes:
			underway--
			if o.err == nil && (o.answer.Failure == nil || !o.answer.Failure.Code.NotRun()) {
				return o.answer, false
			}
			a = o.failed(a)
			if underway == 0 {
				launch()
			}
		case <-hedge.C:
			launch()
		case <-late.C:
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeTimeout, "no backend server answered in time"), false
		}
	}
	return a, true
}

// failed returns the answer to a read after the outcome, unless a later one is
// better.
func (o outcome) failed(before daisystatement.Answer) daisystatement.Answer {
	if o.err == nil {
		o.answer.State = daisystatement.StateIdle
		return o.answer
	}
	if before.Failure != nil {
		return before
	}
	return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeBusy, "%v", o.err)
}

// tryRead runs the read on one server. If another answers first, this answer is
// still awaited, so that its connection can be used again.
func (s *Session) tryRead(p daisyspec.Profile, server string, st daisystatement.Statement, hold, limit time.Time) outcome {
	e := s.errand(p, st, hold, limit)
	e.Server = server
	a, _, err := s.carry(e)
	if err == nil && a.Failure != nil && a.Failure.Code == daisystatement.CodeLagging {
		s.desk.Router.Lagged(server, st.MinPosition)
	}
	return outcome{server: server, answer: a, err: err}
}
