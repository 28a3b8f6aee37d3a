package daisysession

import (
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

const (
	// readAttempts is the maximum number of servers that one read is tried on.
	readAttempts = 4
	// hedgeMin is the minimum time without an answer after which a read is also
	// sent to another server. Nearly all statements run for less.
	hedgeMin = 250 * time.Millisecond
	// hedgeFactor is the hedge delay as a multiple of the expected latency.
	hedgeFactor = 4
)

// outcome is the outcome of a read on one server.
type outcome struct {
	server string
	answer daisystatement.Answer
	err    error
}

// read runs a read that a replica may serve.
func (s *Session) read(p daisyspec.Profile, st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	sendBy := queueDeadline(p, arrived)
	last := daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeBusy, "no backend server is fresh enough and reachable")
	var retrying retrier
	for {
		retrying.begin(s)
		if refused, ok := s.refuseUnservable(p.Service, false, daisystatement.StateIdle); ok {
			return refused
		}
		if refused, ok := s.checkHome(p, false); !ok {
			return refused
		}
		minPosition, known := s.minPosition(p, arrived)
		st.MinPosition = minPosition
		a, retry, err := s.race(p, st, s.freshness(p, known), arrived)
		if errors.Is(err, daisyrequest.ErrNoPosition) {
			var overloaded bool
			if a, overloaded = s.direct(p, st, arrived); !overloaded {
				return a
			}
			// The refusal may have brought a sample, so that replicas may serve.
			if _, known = s.minPosition(p, arrived); !known && !s.awaitsPosition(p) {
				return a
			}
			retry = true
		}
		if !retry {
			return a
		}
		if a.Failure != nil {
			last = a
		}
		if refused, ok := s.checkHome(p, true); !ok {
			return refused
		}
		if !retrying.wait(sendBy) {
			if s.env.controlLost() {
				last.Failure = lostControlFailure()
			}
			return last
		}
	}
}

// unknownPosition is the Freshness of a read for which neither this host nor a gateway
// may find a position.
var unknownPosition = daisyrequest.Freshness{MaxAge: -1}

// freshness returns what a read asks of the gateway of a replica: nothing if this host
// knows the position that the read needs. It must be called after minPosition, which
// leaves a write of an earlier epoch to the samples of the present one.
func (s *Session) freshness(p daisyspec.Profile, known bool) daisyrequest.Freshness {
	switch {
	case known:
		return daisyrequest.Freshness{}
	case p.MaxAge <= 0:
		return unknownPosition
	}
	return daisyrequest.Freshness{Epoch: s.env.Router.Epoch(p.Service), MaxAge: p.MaxAge}
}

// minPosition returns the minimum log position that the session's reads need. It
// returns false if no sample of the primary's position is recent enough; then the
// position covers the session's last write on the service only.
func (s *Session) minPosition(p daisyspec.Profile, arrived time.Time) (minPosition daisystatement.Position, ok bool) {
	epoch := s.env.Router.Epoch(p.Service)
	minPosition, ok = s.env.Router.MinPosition(p.Service, epoch, arrived, p.MaxAge)
	if p.Freshness == daisyspec.FreshSession {
		minPosition = s.lastWrites[p.Service].MinPosition(epoch, minPosition)
	}
	return minPosition, ok
}

// race sends the read to the best server and, when the answer is late, also to
// the next best (hedging). It returns retry if no server ran the read and it may
// be tried again; if one of them is overloaded, it may not. The error is ErrNoPosition
// if the read was not sent for want of a position of the primary.
func (s *Session) race(p daisyspec.Profile, st daisystatement.Statement, freshness daisyrequest.Freshness, arrived time.Time) (a daisystatement.Answer, retry bool, err error) {
	if freshness == unknownPosition {
		return a, false, daisyrequest.ErrNoPosition
	}
	sendBy, deadline := queueDeadline(p, arrived), arrived.Add(p.Timeout)
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	outcomes := make(chan outcome, readAttempts)
	sessionCopy := *s // The session may change while a slower attempt is still running.
	var tried []string
	inFlight, overloaded := 0, false
	launch := func() time.Duration {
		server, ok := s.env.Router.Choose(daisyrouter.Query{Profile: p, Workspace: s.workspace, MinPosition: st.MinPosition, Exclude: tried, Home: s.home(p)})
		if !ok || len(tried) == readAttempts {
			return 0
		}
		tried = append(tried, server)
		if len(tried) > 1 {
			s.logger(st).WithFields(log.Fields{"Next": server, "Tried": len(tried) - 1, "After": st.MinPosition.String(), "Underway": inFlight}).
				Info("session: read sent to another server")
		}
		inFlight++
		go func() { outcomes <- sessionCopy.tryRead(p, server, st, freshness, sendBy, deadline) }()
		return max(hedgeMin, hedgeFactor*s.env.Router.ExpectedLatency(server))
	}
	hedge := time.NewTimer(launch())
	defer hedge.Stop()
	for inFlight > 0 {
		select {
		case o := <-outcomes:
			inFlight--
			if o.err == nil && (o.answer.Failure == nil || !o.answer.Failure.Code.NotRun()) {
				return o.answer, false, nil
			}
			if errors.Is(o.err, daisyrequest.ErrNoPosition) {
				err = o.err
				continue // Attempts in flight may still be answered.
			}
			if refused, ok := refusal(daisystatement.StateIdle, o.err); ok {
				a, overloaded = refused, true
			} else if !overloaded {
				a = o.failed(a)
			}
			if inFlight == 0 && err == nil {
				launch()
			}
		case <-hedge.C:
			launch()
		case <-timeout.C:
			return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeTimeout, "no backend server answered in time"), false, nil
		}
	}
	return a, !overloaded, err
}

// failed returns the answer to the read after a failed attempt: the server's
// refusal if there is one, else the earlier failure before, else the error.
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

// tryRead runs the read on one server. It waits for the answer even if another
// server has answered first, so that the connection can be reused.
func (s *Session) tryRead(p daisyspec.Profile, server string, st daisystatement.Statement, freshness daisyrequest.Freshness, sendBy, deadline time.Time) outcome {
	req := s.statementRequest(p, st, sendBy, deadline)
	req.Server, req.Freshness = server, freshness
	a, _, err := s.forward(req)
	if err == nil && a.Failure != nil && a.Failure.Code == daisystatement.CodeLagging {
		s.env.Router.Lagged(server, st.MinPosition)
	}
	return outcome{server: server, answer: a, err: err}
}
