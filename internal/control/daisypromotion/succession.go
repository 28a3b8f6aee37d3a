package daisypromotion

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

const (
	// silentWithProbe is the share of hosts that must miss a primary which does
	// not answer the leader either.
	silentWithProbe = 0.4
	// silentAlone is the share of hosts that must miss a primary which answers
	// the leader; below it, callers reach it through other hosts.
	silentAlone = 0.7
	// quietFailures is how many probes in a row do not reach a primary that is
	// given up without a host's complaint.
	quietFailures = 2
	// gatherLimit is how long the leader waits for the positions of all servers
	// once the old state is recalled.
	gatherLimit = 600 * time.Millisecond
	// catchUpLimit is how long a planned succession waits until a replica has
	// received all that the primary has.
	catchUpLimit = 1500 * time.Millisecond
	// confirmLimit is how long a promoted server may take to lead, twice the
	// longest promotion that users state (1 s).
	confirmLimit = 2 * time.Second
	// avoidLife is how long a server that could not be promoted is passed over.
	avoidLife = time.Second
	// retryUnknown is the pause before a promotion of unknown outcome is ordered
	// again.
	retryUnknown = 100 * time.Millisecond
)

// succession is the progress of one round without a server.
type succession struct {
	round     uint64
	recalled  time.Time // When no host could act on the old state any more.
	candidate string
	ordered   time.Time // When its promotion was ordered last.
	pending   bool      // The order is under way.
	taken     bool      // The promotion was taken.
	avoid     map[string]time.Time
}

// duePrimacies starts and ends successions.
func (l *Leader) duePrimacies(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	for _, service := range l.services(s) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
		p, _ := o.Value.(daisyfleet.Leadership)
		var next daisyfleet.Leadership
		var reason string
		switch {
		case !ok:
			o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service}}
			next, reason = l.first(now, s, service)
		case p.Server != "":
			next, reason = l.ending(now, s, service, p)
		default:
			next, reason = l.confirmed(now, s, service, p)
		}
		if reason != "" {
			changes = append(changes, put(o, next, reason))
		}
	}
	return changes
}

// services returns the services that have servers, in the order of names.
func (l *Leader) services(s *daisyfleet.State) []string {
	var names []string
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if v, ok := o.Value.(daisyfleet.Server); ok {
			names = append(names, v.Service)
		}
	})
	s.Each(daisyfleet.KindLeadership, func(o daisyfleet.Object) { names = append(names, o.Name) })
	slices.Sort(names)
	return slices.Compact(names)
}

// first returns the primacy of a service that has none yet: of the server that
// says that it leads.
func (l *Leader) first(now time.Time, s *daisyfleet.State, service string) (daisyfleet.Leadership, string) {
	if server, status, ok := l.claimant(now, s, service, 0); ok {
		p := daisyfleet.Leadership{Epoch: 1, Server: server, Term: status.Term}
		return p, fmt.Sprintf("%s leads %s in term %d", server, service, status.Term)
	}
	if now.Sub(l.began) > announcementLife && l.started(now, s, service) {
		return daisyfleet.Leadership{Epoch: 1}, "no server leads " + service
	}
	return daisyfleet.Leadership{}, ""
}

// started reports whether a server of the service answers probes.
func (l *Leader) started(now time.Time, s *daisyfleet.State, service string) bool {
	return slices.ContainsFunc(members(s, service), func(m member) bool {
		_, ok := l.statusOf(now, m.name)
		return ok
	})
}

// claimant returns a server that says that it leads a term above the given one.
func (l *Leader) claimant(now time.Time, s *daisyfleet.State, service string, above uint64) (name string, best Status, found bool) {
	for _, m := range members(s, service) {
		status, ok := l.statusOf(now, m.name)
		if ok && status.Role == RolePrimary && status.Term > above && (!found || status.Term > best.Term) {
			name, best, found = m.name, status, true
		}
	}
	return name, best, found
}

// ending returns the round that ends the present primacy, if it must end.
func (l *Leader) ending(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) (daisyfleet.Leadership, string) {
	next := daisyfleet.Leadership{Epoch: p.Epoch + 1, Term: p.Term, Previous: p.Server}
	server, listed := lookup(s, p.Server)
	if other, status, ok := l.claimant(now, s, service, p.Term); ok && other != p.Server {
		return next, fmt.Sprintf("%s leads %s in the later term %d", other, service, status.Term)
	}
	if listed && server.Leaving && l.replaceable(now, s, service, p.Server) {
		return next, fmt.Sprintf("primary %s of %s is leaving", p.Server, service)
	}
	if why := l.lost(now, s, service, p, listed); why != "" {
		return next, fmt.Sprintf("primary %s of %s is lost: %s", p.Server, service, why)
	}
	return daisyfleet.Leadership{}, ""
}

// replaceable reports whether another server that is not leaving is known.
func (l *Leader) replaceable(now time.Time, s *daisyfleet.State, service, primary string) bool {
	return slices.ContainsFunc(members(s, service), func(m member) bool {
		k, ok := l.servers[m.name]
		return m.name != primary && !m.server.Leaving && ok && now.Sub(k.seen) < quietLimit
	})
}

// lost returns why the primary is given up, or nothing.
func (l *Leader) lost(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership, listed bool) string {
	if !listed {
		return "it is not announced"
	}
	silent, up := l.missing(now, s, service, p)
	probed := l.probes[p.Server]
	failures := 0
	if probed != nil {
		failures = probed.failures
	}
	switch {
	case failures > 0 && silent > 0 && float64(silent) >= silentWithProbe*float64(up):
		return fmt.Sprintf("%d of %d hosts and the control leader cannot reach it", silent, up)
	case failures >= quietFailures && l.quiet(now, p.Server):
		return "it announces nothing and the control leader cannot reach it"
	case silent > 0 && float64(silent) >= silentAlone*float64(up):
		return fmt.Sprintf("%d of %d hosts cannot reach it", silent, up)
	}
	return ""
}

// missing returns how many hosts miss the primary, and how many are up.
func (l *Leader) missing(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) (silent, up int) {
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		h, ok := o.Value.(daisyfleet.Host)
		if !ok || !h.Up {
			return
		}
		up++
		seen := l.sights[service][o.Name]
		if seen.silent && seen.round == p.Epoch && seen.server == p.Server && now.Sub(seen.seen) < sightLife {
			silent++
		}
	})
	return silent, up
}

// quiet reports whether the server has missed its announcements.
func (l *Leader) quiet(now time.Time, server string) bool {
	seen := l.began
	if k, ok := l.servers[server]; ok {
		seen = k.seen
	}
	return now.Sub(seen) > quietLimit
}

// progress returns the succession of the round.
func (l *Leader) progress(service string, round uint64) *succession {
	u := l.successions[service]
	if u == nil || u.round != round {
		u = &succession{round: round, avoid: make(map[string]time.Time)}
		l.successions[service] = u
	}
	return u
}

// confirmed returns the primacy of the server that has taken over.
func (l *Leader) confirmed(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) (daisyfleet.Leadership, string) {
	if !l.recalled(now, s, service, p) {
		return daisyfleet.Leadership{}, ""
	}
	server, status, ok := l.claimant(now, s, service, p.Term)
	if u := l.progress(service, p.Epoch); !ok && u.taken && u.candidate == p.Previous {
		// Nothing changed by the promotion of a server that still leads.
		server = p.Previous
		status, ok = l.statusOf(now, server)
		ok = ok && status.Role == RolePrimary
	}
	if !ok {
		return daisyfleet.Leadership{}, ""
	}
	next := daisyfleet.Leadership{Epoch: p.Epoch, Server: server, Term: status.Term, Previous: p.Previous}
	return next, fmt.Sprintf("%s leads %s in term %d", server, service, status.Term)
}

// recalled reports whether no host can act on the state before the round.
func (l *Leader) recalled(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) bool {
	u := l.progress(service, p.Epoch)
	if !u.recalled.IsZero() {
		return true
	}
	o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
	held := true
	s.Each(daisyfleet.KindHost, func(h daisyfleet.Object) {
		v, ok := h.Value.(daisyfleet.Host)
		if ok && v.Up && l.HeldRevision(h.Name, v.Incarnation) < o.Revision {
			held = false
		}
	})
	if held {
		u.recalled = now
		l.probeAnew(s, service)
	}
	return held
}

// candidate returns the server to promote, or false if it is to be waited.
func (l *Leader) candidate(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership, u *succession) (member, bool) {
	all := members(s, service)
	var able []member
	unheard, unheardReplicas := 0, 0
	for _, m := range all {
		status, ok := l.statusSince(now, m.name, u.recalled)
		if !ok {
			if p := l.probes[m.name]; p == nil || p.failures == 0 {
				unheard++
			}
			if m.name != p.Previous {
				unheardReplicas++
			}
			continue
		}
		if now.Sub(u.avoid[m.name]) > avoidLife {
			m.received = status.Received
			able = append(able, m)
		}
	}
	waited := now.Sub(u.recalled)
	if len(able) == 0 || unheard > 0 && waited < gatherLimit {
		return member{}, false
	}
	if n := l.syncReplicas[service]; n > 0 && unheardReplicas >= n {
		return member{}, false // An acknowledged write may be on those alone.
	}
	slices.SortFunc(able, func(a, b member) int { return compareCandidates(a, b, p.Previous) })
	best := able[0]
	if old, ok := l.statusSince(now, p.Previous, u.recalled); ok && best.name != p.Previous && best.received < old.Received && waited < catchUpLimit {
		return member{}, false
	}
	return best, true
}

// compareCandidates orders servers by how well they may take over: others
// before the previous primary, staying before leaving ones, then by what they
// have received.
func compareCandidates(a, b member, previous string) int {
	return cmp.Or(
		cmp.Compare(rank(a, previous), rank(b, previous)),
		cmp.Compare(b.received, a.received),
		cmp.Compare(a.name, b.name),
	)
}

func rank(m member, previous string) int {
	r := 0
	if m.server.Leaving {
		r++
	}
	if m.name == previous {
		r += 2
	}
	return r
}

// member is a server of a service with its name.
type member struct {
	name     string
	server   daisyfleet.Server
	received uint64
}

// members returns the servers of the service in the order of names.
func members(s *daisyfleet.State, service string) []member {
	var all []member
	s.EachSorted(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if v, ok := o.Value.(daisyfleet.Server); ok && v.Service == service {
			all = append(all, member{name: o.Name, server: v})
		}
	})
	return all
}

func lookup(s *daisyfleet.State, server string) (daisyfleet.Server, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindServer, Name: server})
	v, _ := o.Value.(daisyfleet.Server)
	return v, ok
}

// statusSince returns the status of a server that was asked since the time, and
// so tells all that it received before.
func (l *Leader) statusSince(now time.Time, server string, since time.Time) (Status, bool) {
	status, ok := l.statusOf(now, server)
	return status, ok && !l.probes[server].answered.Before(since)
}

// statusOf returns the status of a server if it is recent.
func (l *Leader) statusOf(now time.Time, server string) (Status, bool) {
	p := l.probes[server]
	if p == nil || p.answered.IsZero() || now.Sub(p.answered) > statusLife {
		return Status{}, false
	}
	return p.status, true
}
