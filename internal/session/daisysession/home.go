package daisysession

import (
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// home returns the home regions of the session's statements as the current desired state
// has them. A profile or a key that was withdrawn keeps its last ones, for the statements
// that are still under way.
func (s *Session) home(p daisyspec.Profile) daisyspec.Home {
	h := daisyspec.Home{Profile: p.Regions, Workspace: s.homeRegions}
	index := s.env.Index()
	if index == nil {
		return h
	}
	if current, ok := index.Profile(s.database); ok {
		h.Profile = current.Regions
	}
	if w, ok := index.Owner(s.key); ok {
		h.Workspace = w.Regions
	}
	return h
}

// checkHome returns the refusal of a read if no server in its home regions can serve it.
// With tried, a server that has just failed counts as down.
func (s *Session) checkHome(p daisyspec.Profile, tried bool) (refused daisystatement.Answer, ok bool) {
	err := s.env.Router.CheckServers(p.Service, s.home(p), tried)
	if err == nil {
		return refused, true
	}
	refused, _ = refusal(daisystatement.StateIdle, err)
	return refused, false
}

// awaitsPosition reports whether a read for which no position is known has to wait for
// one, since the primary is outside the home regions. It has the position asked for.
func (s *Session) awaitsPosition(p daisyspec.Profile) bool {
	l, ok := s.env.Router.Leader(p.Service)
	if !ok || p.MaxAge <= 0 || s.env.Router.CheckServer(p.Service, l.Server, s.home(p)) == nil {
		return false
	}
	s.env.Router.NeedPosition(p.Service, s.workspace)
	return true
}
