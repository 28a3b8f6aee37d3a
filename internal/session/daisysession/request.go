package daisysession

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// Forwarder has errands run on backend servers.
type Forwarder interface {
	// Run runs the errand. Errors are as for daisygateway.Gateway.Run.
	Run(e daisygateway.StatementRequest) (daisystatement.Answer, daisygateway.PinnedConn, error)
}

// errand returns the errand of a statement. What a session's statement executes
// goes with it, since the connection may not have it prepared.
func (s *Session) errand(p daisyspec.Profile, st daisystatement.Statement, hold, limit time.Time) daisygateway.StatementRequest {
	if st.Kind == daisystatement.KindExecute {
		held := s.prepared[st.Name]
		st.Shape, st.ReadOnly = held.shape, held.readOnly
	}
	return daisygateway.StatementRequest{
		Service: p.Service, Workspace: s.workspace, Weight: s.weight, Priority: p.Priority, Class: p.Name,
		Values: s.values, Statement: st, SendDeadline: hold, Deadline: limit,
	}
}

// carry has the errand run and notes how the server answered.
func (s *Session) carry(e daisygateway.StatementRequest) (a daisystatement.Answer, lane daisygateway.PinnedConn, err error) {
	sent := daisyclock.Now()
	s.desk.Router.Started(e.Server, s.workspace)
	a, lane, err = s.desk.Forwarder.Run(e)
	s.note(e, sent, err)
	return a, lane, err
}

// along is carry on a lane.
func (s *Session) along(lane daisygateway.PinnedConn, e daisygateway.StatementRequest) (daisystatement.Answer, error) {
	sent := daisyclock.Now()
	s.desk.Router.Started(e.Server, s.workspace)
	a, err := lane.Do(e)
	s.note(e, sent, err)
	return a, err
}

func (s *Session) note(e daisygateway.StatementRequest, sent time.Time, err error) {
	switch {
	case err == nil:
		s.desk.Router.Ended(e.Service, e.Server, sent, true)
	case errors.Is(err, daisygateway.ErrNotSent) && !errors.Is(err, daisygateway.ErrUnreachable):
		s.desk.Router.Refused(e.Server)
	default:
		s.desk.Router.Ended(e.Service, e.Server, sent, false)
	}
}
