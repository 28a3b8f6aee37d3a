package daisypromotion

import (
	"fmt"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// isEvacuated reports whether the failure domain of the member is evacuated.
func isEvacuated(s *daisyfleet.State, m member) bool { return s.Evacuated(m.server.FailureDomain) }

// evacuationReason returns why an evacuation ends the primary's leadership, or "" if it
// does not: a server elsewhere must be fit to take over, since hosts use an evacuated
// primary no more than none, and a succession that promotes it again would repeat.
func (l *Leader) evacuationReason(now time.Time, s *daisyfleet.State, service, primary string) string {
	server, ok := lookupServer(s, primary)
	if !ok || !s.Evacuated(server.FailureDomain) || !l.fitElsewhere(now, s, service, primary) {
		return ""
	}
	return fmt.Sprintf("primary %s of %s is in the evacuated failure domain %s", primary, service, server.FailureDomain)
}

// fitElsewhere reports whether another server of the service, outside the evacuated
// failure domains, is staying, announces itself and answers probes.
func (l *Leader) fitElsewhere(now time.Time, s *daisyfleet.State, service, primary string) bool {
	return slices.ContainsFunc(members(s, service), func(m member) bool {
		_, answers := l.statusOf(now, m.name)
		return m.name != primary && !m.server.Leaving && !isEvacuated(s, m) && answers && !l.announcementsMissed(now, m.name)
	})
}

// withoutEvacuated returns the candidates outside the evacuated failure domains. It
// returns all of them if no other server of the service announces itself. If one does
// but is no candidate now, it returns none, so that the leader waits for it.
//
// A replica in an evacuated domain that has received more than all others stays a
// candidate: only it may have the last acknowledged writes. Once it leads and the others
// have caught up, it is replaced in turn. While the previous primary answers, the others
// may still catch up with it, so the leader first waits for that.
func (l *Leader) withoutEvacuated(now time.Time, s *daisyfleet.State, service, previous string, ongoing *succession, candidates []member) []member {
	alive := slices.ContainsFunc(members(s, service), func(m member) bool {
		return !isEvacuated(s, m) && !l.announcementsMissed(now, m.name)
	})
	elsewhere := slices.DeleteFunc(slices.Clone(candidates), func(m member) bool { return isEvacuated(s, m) })
	switch {
	case !alive:
		return candidates
	case len(elsewhere) == 0 || !isAhead(s, previous, candidates, elsewhere):
		return elsewhere
	}
	if _, answers := l.statusSince(now, previous, ongoing.recalledAt); answers && now.Sub(ongoing.recalledAt) < catchUpTimeout {
		return nil
	}
	return candidates
}

// isAhead reports whether an evacuated replica among the candidates has received more
// than all those elsewhere.
func isAhead(s *daisyfleet.State, previous string, candidates, elsewhere []member) bool {
	var most daisystatement.Position
	for _, m := range elsewhere {
		most = daisystatement.Max(most, m.received)
	}
	return slices.ContainsFunc(candidates, func(m member) bool {
		return m.name != previous && isEvacuated(s, m) && m.received.Compare(most) > 0
	})
}
