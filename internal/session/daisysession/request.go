package daisysession

import (
	"errors"
	"math"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// Forwarder runs statement requests on backend servers.
type Forwarder interface {
	// Run runs the request. Errors are as for daisygateway.Gateway.Run.
	Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error)
}

// statementRequest returns the request for a statement. A request that executes a
// prepared statement carries its definition, since the connection may not have it
// prepared.
func (s *Session) statementRequest(p daisyspec.Profile, st daisystatement.Statement, sendBy, deadline time.Time) daisyrequest.Request {
	if st.Kind == daisystatement.KindExecute {
		definition := s.prepared[st.Name]
		st.Shape, st.ReadOnly = definition.shape, definition.readOnly
	}
	req := daisyrequest.Request{
		Service: p.Service, Workspace: s.workspace, Weight: s.weight, Priority: p.Priority, Class: p.Name,
		Values: s.values, Statement: st, SendDeadline: sendBy, Deadline: deadline, Objective: objective(p, deadline), Client: s.client,
	}
	if home := s.home(p); home.Restricted() {
		req.Home = home
	}
	return req
}

// objective returns by when a statement with the deadline should be answered; zero if the
// profile states no objective.
func objective(p daisyspec.Profile, deadline time.Time) (by time.Time) {
	if p.Latency > 0 {
		by = deadline.Add(p.Latency - p.Timeout)
	}
	return by
}

// forward runs the request through the forwarder and records whether the server
// answered. A request that the server's queue would refuse, as it has just refused
// one like it, is refused here: sending it would cost the gateway host as much as
// a request that it serves.
func (s *Session) forward(req daisyrequest.Request) (a daisystatement.Answer, conn daisyrequest.PinnedConn, err error) {
	if err := s.env.Router.CheckRequest(req); err != nil {
		return a, nil, err
	}
	class := daisyrouter.HeldClass{Server: req.Server, Workspace: s.workspace, Class: req.QueueClass(), Priority: req.Priority}
	if s.env.Router.Evacuated(req.Server) {
		return a, nil, errEvacuated
	}
	if left := s.env.Router.HeldOff(class); left > 0 {
		return a, nil, daisyrequest.NewOverloadError(spread(left, s.env.Router.HeldOffTotal()), false)
	}
	sent := daisyclock.Now()
	s.env.Router.Started(req.Server, s.workspace)
	a, conn, err = s.env.Forwarder.Run(req)
	s.recordOutcome(req, sent, err)
	if judges(req.Statement) {
		s.env.Router.Judge(req, sent, a, err)
	}
	if overload := (*daisyrequest.OverloadError)(nil); errors.As(err, &overload) {
		if !overload.OwnShare {
			class.Workspace = "" // All workspaces wait in the queue that refused.
		}
		s.env.Router.HoldOff(class, overload.RetryAfter)
	}
	return a, conn, err
}

// spread returns the time after which the client of the n-th statement that was held off is
// to return: between left and twice that. Multiples of the golden ratio spread the
// clients evenly, so that they do not return together when the hold-off ends.
func spread(left time.Duration, n uint64) time.Duration {
	_, part := math.Modf(float64(n) * math.Phi)
	return left + time.Duration(part*float64(left))
}

// judges reports whether the answer to the statement tells how well the server works. A
// write may fail for what other transactions do.
func judges(st daisystatement.Statement) bool {
	switch st.Kind {
	case daisystatement.KindRead, daisystatement.KindBegin:
		return true
	case daisystatement.KindExecute:
		return st.ReadOnly
	}
	return false
}

// forwardPinned is like forward, but runs the request on a pinned connection.
func (s *Session) forwardPinned(conn daisyrequest.PinnedConn, req daisyrequest.Request) (daisystatement.Answer, error) {
	if s.env.Router.Evacuated(req.Server) {
		return daisystatement.Answer{}, errEvacuated
	}
	sent := daisyclock.Now()
	s.env.Router.Started(req.Server, s.workspace)
	a, err := conn.Do(req)
	s.recordOutcome(req, sent, err)
	return a, err
}

func (s *Session) recordOutcome(req daisyrequest.Request, sent time.Time, err error) {
	switch {
	case err == nil:
		s.env.Router.Ended(req.Service, req.Server, sent, true)
	case errors.Is(err, daisyrequest.ErrNoPosition), errors.Is(err, daisyrequest.ErrTooLong), isHomeError(err), errors.Is(err, daisyrequest.ErrNotSent) && s.clientContext().Err() != nil:
		s.env.Router.Withdrawn(req.Server)
	case errors.Is(err, daisyrequest.ErrNotSent) && !errors.Is(err, daisyrequest.ErrUnreachable):
		s.env.Router.Refused(req.Server)
	default:
		s.env.Router.Ended(req.Service, req.Server, sent, false)
	}
}
