package daisypromotion

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// unreachableShareWithProbe is the share of observers that must fail to reach a
	// primary that the control leader cannot reach either.
	unreachableShareWithProbe = 0.4
	// unreachableShareAlone is the share of observers that must fail to reach a primary
	// that the control leader can reach; below it, clients reach the primary
	// through other hosts.
	unreachableShareAlone = 0.7
	// probeFailureLimit is the number of consecutive failed probes after which a
	// primary that no longer announces itself is replaced without reports of hosts.
	probeFailureLimit = 2
	// gatherTimeout is how long the leader waits for the log positions of all
	// servers once the old state is recalled and all were asked.
	gatherTimeout = 600 * time.Millisecond
	// catchUpTimeout is how long a succession whose previous primary still answers
	// waits for a replica to receive all that the primary has.
	catchUpTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long a promoted server may take to become primary:
	// twice the longest promotion time that users state (1 s).
	confirmTimeout = 2 * time.Second
	// refusalTTL is how long a server that refused its promotion is not
	// promoted again.
	refusalTTL = time.Second
	// unknownOutcomeRetry is the pause before a promotion of unknown outcome is
	// ordered again.
	unknownOutcomeRetry = 100 * time.Millisecond
)

// succession is the progress of one epoch that has no primary yet.
type succession struct {
	epoch      uint64
	recalledAt time.Time            // When no host could act on the old state any more; zero before.
	askedAt    time.Time            // When all servers had been probed since then; zero before.
	proposed   string               // The server that this leader last proposed to promote; empty if none.
	order      *promotionOrder      // Of the server that the log names; nil until one is looked up.
	refusedAt  map[string]time.Time // When a server's promotion was refused, by server.
}

// dueLeaderships returns the changes that start and end successions.
func (l *Leader) dueLeaderships(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	for _, service := range l.services(s) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
		leadership, _ := o.Value.(daisyfleet.Leadership)
		var next daisyfleet.Leadership
		var reason string
		switch {
		case !ok:
			o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service}}
			next, reason = l.firstLeadership(now, s, service)
		case leadership.Server != "":
			next, reason = l.endLeadership(now, s, service, leadership)
		default:
			next, reason = l.confirmLeadership(now, s, service, leadership)
		}
		if reason != "" {
			changes = append(changes, replaceValue(o, next, reason))
			continue
		}
		if ok && leadership.Server == "" {
			if o, next, reason := l.duePromotion(now, s, service, leadership); reason != "" {
				changes = append(changes, replaceValue(o, next, reason))
			}
		}
	}
	return changes
}

// services returns the services that have servers or a leadership, sorted by
// name.
func (l *Leader) services(s *daisyfleet.State) []string {
	names := s.Services()
	s.Each(daisyfleet.KindLeadership, func(o daisyfleet.Object) { names = append(names, o.Name) })
	slices.Sort(names)
	return slices.Compact(names)
}

// firstLeadership returns the leadership of a service that has none yet: that of
// the server that reports to be primary, or one without a server if announcements
// have been collected for announcementTTL and no answering server is primary. The
// reason is empty if neither holds.
func (l *Leader) firstLeadership(now time.Time, s *daisyfleet.State, service string) (daisyfleet.Leadership, string) {
	if server, status, ok := l.reportedPrimary(now, s, service, 0); ok {
		leadership := daisyfleet.Leadership{Epoch: 1, Server: server, Term: status.Term}
		return leadership, fmt.Sprintf("%s leads %s in term %d", server, service, status.Term)
	}
	if now.Sub(l.leadingSince) > announcementTTL && l.anyAnswers(now, s, service) {
		return daisyfleet.Leadership{Epoch: 1}, "no server leads " + service
	}
	return daisyfleet.Leadership{}, ""
}

// anyAnswers reports whether a server of the service answers probes.
func (l *Leader) anyAnswers(now time.Time, s *daisyfleet.State, service string) bool {
	return slices.ContainsFunc(members(s, service), func(m member) bool {
		_, ok := l.statusOf(now, m.name)
		return ok
	})
}

// reportedPrimary returns the server that reports to be primary in the latest term
// above the given one.
func (l *Leader) reportedPrimary(now time.Time, s *daisyfleet.State, service string, above uint64) (name string, best Status, found bool) {
	for _, m := range members(s, service) {
		status, ok := l.statusOf(now, m.name)
		if ok && status.Role == RolePrimary && status.Term > above && (!found || status.Term > best.Term) {
			name, best, found = m.name, status, true
		}
	}
	return name, best, found
}

// endLeadership returns the epoch without a server that ends the present
// leadership, and why it must end. The reason is empty if it need not end.
func (l *Leader) endLeadership(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) (daisyfleet.Leadership, string) {
	next := daisyfleet.Leadership{Epoch: leadership.Epoch + 1, Term: leadership.Term, Previous: leadership.Server}
	server, listed := lookupServer(s, leadership.Server)
	if other, status, ok := l.reportedPrimary(now, s, service, leadership.Term); ok && other != leadership.Server {
		return next, fmt.Sprintf("%s leads %s in the later term %d", other, service, status.Term)
	}
	if listed && server.Leaving && l.replaceable(now, s, service, leadership) {
		return next, fmt.Sprintf("primary %s of %s is leaving", leadership.Server, service)
	}
	if reason := l.evacuationReason(now, s, service, leadership.Server); reason != "" {
		return next, reason
	}
	if reason := l.lossReason(now, s, service, leadership, listed); reason != "" {
		return next, fmt.Sprintf("primary %s of %s is lost: %s", leadership.Server, service, reason)
	}
	return daisyfleet.Leadership{}, ""
}

// replaceable reports whether the service has another server that is neither leaving
// nor evacuated and announces itself. With synchronous replicas it must have caught up with
// the primary, if that answers: else the succession would wait, or promote the primary again.
func (l *Leader) replaceable(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) bool {
	others := members(s, service)
	if p := l.probes[leadership.Server]; l.syncReplicas[service] > 0 && (p == nil || p.failures == 0) {
		others, _ = l.caughtUp(now, s, service, leadership)
	}
	return slices.ContainsFunc(others, func(m member) bool {
		known, ok := l.servers[m.name]
		return m.name != leadership.Server && !m.server.Leaving && !isEvacuated(s, m) && ok && now.Sub(known.seenAt) < announcementTimeout
	})
}

// lossReason returns why the primary counts as lost, or "" if it does not.
func (l *Leader) lossReason(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership, listed bool) string {
	if !listed {
		return "it is not announced"
	}
	unreachable, observers := l.countUnreachable(now, s, service, leadership)
	probed := l.probes[leadership.Server]
	failures := 0
	if probed != nil {
		failures = probed.failures
	}
	switch {
	case failures > 0 && unreachable > 0 && float64(unreachable) >= unreachableShareWithProbe*float64(observers):
		return fmt.Sprintf("%d of %d observers and the control leader cannot reach it", unreachable, observers)
	case failures >= probeFailureLimit && l.announcementsMissed(now, leadership.Server):
		return "it announces nothing and the control leader cannot reach it"
	case unreachable > 0 && float64(unreachable) >= unreachableShareAlone*float64(observers):
		return fmt.Sprintf("%d of %d observers cannot reach it", unreachable, observers)
	}
	return ""
}

// countUnreachable returns how many observers of the service report that they cannot
// reach the primary, and how many observers there are. Other hosts do not count: their
// number says where clients are, not which way is cut.
func (l *Leader) countUnreachable(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) (unreachable, observers int) {
	if !slices.ContainsFunc(slices.Collect(maps.Values(l.observations[service])), func(seen unreachableReport) bool { return seen.counts(now, leadership) }) {
		return 0, 0
	}
	hosts := daisyplacement.ServiceObservers(l.gateways.Gateways(l.topology, s), s, service)
	for host := range hosts {
		if l.observations[service][host].counts(now, leadership) {
			unreachable++
		}
	}
	return unreachable, len(hosts)
}

// counts reports whether the report says that the primary cannot be reached now.
func (r unreachableReport) counts(now time.Time, leadership daisyfleet.Leadership) bool {
	return r.unreachable && r.epoch == leadership.Epoch && r.server == leadership.Server && now.Sub(r.seenAt) < observationTTL
}

// announcementsMissed reports whether the server has sent no announcement within
// announcementTimeout.
func (l *Leader) announcementsMissed(now time.Time, server string) bool {
	seen := l.leadingSince
	if known, ok := l.servers[server]; ok {
		seen = known.seenAt
	}
	return now.Sub(seen) > announcementTimeout
}

// successionOf returns the service's succession in the epoch and begins it if
// there is none.
func (l *Leader) successionOf(service string, epoch uint64) *succession {
	ongoing := l.successions[service]
	if ongoing == nil || ongoing.epoch != epoch {
		ongoing = &succession{epoch: epoch, refusedAt: make(map[string]time.Time)}
		l.successions[service] = ongoing
	}
	return ongoing
}

// confirmLeadership returns the leadership of the server that has become primary.
// The reason is empty if none has, or if the promotion of another may still take effect.
func (l *Leader) confirmLeadership(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) (daisyfleet.Leadership, string) {
	if !l.oldStateRecalled(now, s, service, leadership) {
		return daisyfleet.Leadership{}, ""
	}
	server, status, ok := l.reportedPrimary(now, s, service, leadership.Term)
	ongoing := l.successionOf(service, leadership.Epoch)
	_, promotion, named := promotionOf(s, service, leadership.Epoch)
	if named && (ok && server != promotion.Server || !ongoing.proposesOnly(promotion.Server)) {
		return daisyfleet.Leadership{}, ""
	}
	if !ok && named && promotion.Server == leadership.Previous && l.orderOf(ongoing, promotion.Server).accepted {
		// Promoting the server that was still primary did not change its term.
		server = leadership.Previous
		status, ok = l.statusOf(now, server)
		ok = ok && status.Role == RolePrimary
	}
	if !ok {
		return daisyfleet.Leadership{}, ""
	}
	next := daisyfleet.Leadership{Epoch: leadership.Epoch, Server: server, Term: status.Term, Previous: leadership.Previous}
	return next, fmt.Sprintf("%s leads %s in term %d", server, service, status.Term)
}

// oldStateRecalled reports whether no host can act any more on a state before
// this epoch: every host that is up holds the state of the epoch.
func (l *Leader) oldStateRecalled(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) bool {
	ongoing := l.successionOf(service, leadership.Epoch)
	if !ongoing.recalledAt.IsZero() {
		return true
	}
	o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
	recalled := true
	s.Each(daisyfleet.KindHost, func(h daisyfleet.Object) {
		v, ok := h.Value.(daisyfleet.Host)
		if ok && v.Up && l.HeldRevision(h.Name, v.Incarnation) < o.Revision {
			recalled = false
		}
	})
	if recalled {
		ongoing.recalledAt = now
		l.resetProbes(s, service)
	}
	return recalled
}

// allAsked reports whether each server was probed since the old state was recalled. With
// many successions at once probes wait for others.
func (l *Leader) allAsked(all []member, ongoing *succession) bool {
	return !ongoing.askedAt.IsZero() || !slices.ContainsFunc(all, func(m member) bool {
		p := l.probes[m.name]
		return p == nil || p.issuedAt.Before(ongoing.recalledAt)
	})
}

// leadershipOf returns the leadership of the service, or the zero value if it has none.
func leadershipOf(s *daisyfleet.State, service string) daisyfleet.Leadership {
	o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
	leadership, _ := o.Value.(daisyfleet.Leadership)
	return leadership
}

// member is a server of a service with its name. The field received is set during
// the choice of a candidate only.
type member struct {
	name     string
	server   daisyfleet.Server
	received daisystatement.Position
}

// members returns the servers of the service, sorted by name.
func members(s *daisyfleet.State, service string) []member {
	var all []member
	s.EachServer(service, func(name string, v daisyfleet.Server) {
		all = append(all, member{name: name, server: v})
	})
	return all
}

func lookupServer(s *daisyfleet.State, server string) (daisyfleet.Server, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindServer, Name: server})
	v, _ := o.Value.(daisyfleet.Server)
	return v, ok
}

// statusSince returns the status of a server if it answers a probe issued at or
// after the given time, so that it covers all that the server received before.
func (l *Leader) statusSince(now time.Time, server string, since time.Time) (Status, bool) {
	status, ok := l.statusOf(now, server)
	return status, ok && !l.probes[server].answeredProbeAt.Before(since)
}

// statusOf returns the status of a server if it is not older than statusTTL.
func (l *Leader) statusOf(now time.Time, server string) (Status, bool) {
	p := l.probes[server]
	if p == nil || p.answeredProbeAt.IsZero() || now.Sub(p.answeredProbeAt) > statusTTL {
		return Status{}, false
	}
	return p.status, true
}
