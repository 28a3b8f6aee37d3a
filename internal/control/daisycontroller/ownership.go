package daisycontroller

import (
	"fmt"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
)

// quorumDomains is how many failure domains must report a primary silent.
const quorumDomains = 2

// observerCount is how many hosts are asked to probe a primary in doubt.
const observerCount = 2

// dueTenures assigns databases to holders, records claims and starts new terms.
func (l *Leader) dueTenures(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	d := &tenureDecision{leader: l, now: now, state: s}
	var changes []daisyfleet.Change
	s.Each(daisyfleet.KindDatabase, func(o daisyfleet.Object) {
		database, ok := o.Value.(daisyfleet.Database)
		if !ok {
			return
		}
		if c, ok := d.due(o.Name, database); ok {
			changes = append(changes, c)
		}
	})
	return changes
}

// tenureDecision holds what the decisions on all databases share. Its lists
// are made when the first database needs them, which is seldom.
type tenureDecision struct {
	leader *Leader
	now    time.Time
	state  *daisyfleet.State
	hosts  []daisyplacement.Host
}

// due returns the change that one database needs, if any.
func (d *tenureDecision) due(name string, database daisyfleet.Database) (daisyfleet.Change, bool) {
	o, ok := d.state.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name})
	if !ok {
		if countMembers(d.state, name) < database.Majority() {
			return daisyfleet.Change{}, false
		}
		o.ID = daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name}
		return d.assign(o, daisyfleet.Ownership{}, "database "+name+" has a majority of its members")
	}
	t, _ := o.Value.(daisyfleet.Ownership)
	holder, known := lookupHost(d.state, t.Holder)
	switch {
	case !known || !holder.Up || holder.Incarnation != t.Incarnation:
		return d.assign(o, t, fmt.Sprintf("holder %s of %s is gone", t.Holder, name))
	case d.leader.released(t, name):
		return d.assign(o, t, fmt.Sprintf("holder %s of %s handed it back", t.Holder, name))
	case t.Primary == "":
		return d.leader.claim(o, t, name)
	case t.Revoked:
		return daisyfleet.Change{}, false
	case lookupMember(d.state, name, t.Primary).Leaving && countMembers(d.state, name) > 1:
		return renew(o, t, fmt.Sprintf("primary %s of %s is leaving", t.Primary, name))
	}
	return d.leader.doubtful(d.now, d.state, o, t)
}

// assign starts a new term with the best holder.
func (d *tenureDecision) assign(o daisyfleet.Object, t daisyfleet.Ownership, reason string) (daisyfleet.Change, bool) {
	if d.hosts == nil {
		d.hosts = candidates(d.state)
	}
	h, ok := daisyplacement.Holder(o.Name, lookupMember(d.state, o.Name, last(t)).FailureDomain, d.hosts)
	if !ok {
		return daisyfleet.Change{}, false
	}
	for i := range d.hosts {
		if d.hosts[i].Name == h.Name {
			d.hosts[i].Load++
		}
	}
	next := daisyfleet.Ownership{Term: t.Term + 1, Holder: h.Name, Incarnation: h.Incarnation, Last: last(t), Avoid: t.Avoid}
	return put(o, next, fmt.Sprintf("%s; term %d goes to %s", reason, next.Term, h.Name)), true
}

// doubtful acts on a primary that its holder cannot reach: if hosts in other
// failure domains cannot either, the primary is given up; if they can, the
// holder is.
func (l *Leader) doubtful(now time.Time, s *daisyfleet.State, o daisyfleet.Object, t daisyfleet.Ownership) (daisyfleet.Change, bool) {
	if len(l.sights[o.Name]) == 0 {
		return daisyfleet.Change{}, false
	}
	silent, answering := l.views(now, o.Name, t)
	switch {
	case len(silent) >= min(quorumDomains, domainCount(s)):
		reason := fmt.Sprintf("primary %s of %s answers nobody in %d failure domains", t.Primary, o.Name, len(silent))
		return renew(o, t, reason)
	case len(answering) > 0 && len(silent) > 0:
		t.Revoked = true
		return put(o, t, fmt.Sprintf("holder %s cannot reach the primary of %s, others can", t.Holder, o.Name)), true
	}
	return daisyfleet.Change{}, false
}

// renew starts a new term with the same holder, so that it chooses a primary anew.
func renew(o daisyfleet.Object, t daisyfleet.Ownership, reason string) (daisyfleet.Change, bool) {
	next := daisyfleet.Ownership{Term: t.Term + 1, Holder: t.Holder, Incarnation: t.Incarnation, Last: t.Primary, Avoid: t.Primary}
	return put(o, next, fmt.Sprintf("%s; term %d chooses anew", reason, next.Term)), true
}

// last returns the primary that served most recently.
func last(t daisyfleet.Ownership) string {
	if t.Primary != "" {
		return t.Primary
	}
	return t.Last
}

// claim records the primary that the holder chose.
func (l *Leader) claim(o daisyfleet.Object, t daisyfleet.Ownership, name string) (daisyfleet.Change, bool) {
	r := l.records[process{host: t.Holder, incarnation: t.Incarnation}]
	if r == nil {
		return daisyfleet.Change{}, false
	}
	for _, c := range r.beat.Takeovers {
		if c.OwnershipTerm == (daisyheartbeat.OwnershipTerm{Database: name, Term: t.Term}) {
			t.Primary = c.Primary
			t.Avoid = ""
			return put(o, t, fmt.Sprintf("%s serves %s as primary of term %d: %s", c.Primary, name, t.Term, c.Note)), true
		}
	}
	return outrank(o, t, r.beat.HigherTerms)
}

// outrank starts a term above the one that the members of a group are at, as
// those of a group that was led before the fleet was founded.
func outrank(o daisyfleet.Object, t daisyfleet.Ownership, outranked []daisyheartbeat.OwnershipTerm) (daisyfleet.Change, bool) {
	for _, seen := range outranked {
		if seen.Database != o.Name || seen.Term < t.Term {
			continue
		}
		reason := fmt.Sprintf("members of %s are at term %d", o.Name, seen.Term)
		t.Term = seen.Term + 1
		return put(o, t, fmt.Sprintf("%s; term %d begins", reason, t.Term)), true
	}
	return daisyfleet.Change{}, false
}

func (l *Leader) released(t daisyfleet.Ownership, name string) bool {
	r := l.records[process{host: t.Holder, incarnation: t.Incarnation}]
	if r == nil {
		return false
	}
	for _, given := range r.beat.Released {
		if given == (daisyheartbeat.OwnershipTerm{Database: name, Term: t.Term}) {
			return true
		}
	}
	return false
}

// views returns the failure domains in which the primary does not answer and
// those in which it does, as reported lately for the tenure.
func (l *Leader) views(now time.Time, name string, t daisyfleet.Ownership) (silent, answering map[string]bool) {
	silent, answering = make(map[string]bool), make(map[string]bool)
	for host, seen := range l.sights[name] {
		if seen.Term != t.Term || seen.Member != t.Primary || now.Sub(seen.seen) > sightLife {
			delete(l.sights[name], host)
			continue
		}
		if seen.Answers {
			answering[seen.domain] = true
		} else {
			silent[seen.domain] = true
		}
	}
	return silent, answering
}

// Probes returns the primaries that the host is to probe: those that their
// holder cannot reach and that the host observes.
func (l *Leader) Probes(now time.Time, s *daisyfleet.State, host string) []daisyheartbeat.Probe {
	var probes []daisyheartbeat.Probe
	for name := range l.sights {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name})
		t, _ := o.Value.(daisyfleet.Ownership)
		holder, known := lookupHost(s, t.Holder)
		if silent, _ := l.views(now, name, t); !ok || !known || len(silent) == 0 {
			continue
		}
		observers := daisyplacement.Observers(name, holder.FailureDomain, observerCount, AvailableHosts(s, nil))
		m := lookupMember(s, name, t.Primary)
		if m.Address.IsValid() && slices.Contains(observers, host) {
			tenancy := daisyheartbeat.OwnershipTerm{Database: name, Term: t.Term}
			probes = append(probes, daisyheartbeat.Probe{OwnershipTerm: tenancy, Member: t.Primary, Address: m.Address})
		}
	}
	return probes
}

// domainCount returns in how many failure domains hosts are up.
func domainCount(s *daisyfleet.State) int {
	domains := make(map[string]bool)
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok && h.Up {
			domains[h.FailureDomain] = true
		}
	})
	return max(1, len(domains))
}

// candidates returns the hosts that may hold databases, with their load.
func candidates(s *daisyfleet.State) []daisyplacement.Host {
	load := make(map[string]int)
	s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
		if t, ok := o.Value.(daisyfleet.Ownership); ok {
			load[t.Holder]++
		}
	})
	return AvailableHosts(s, load)
}

// AvailableHosts returns the hosts that are up and not leaving.
func AvailableHosts(s *daisyfleet.State, load map[string]int) []daisyplacement.Host {
	var hosts []daisyplacement.Host
	s.EachSorted(daisyfleet.KindHost, func(o daisyfleet.Object) {
		h, ok := o.Value.(daisyfleet.Host)
		if ok && h.Up && !h.Leaving {
			hosts = append(hosts, daisyplacement.Host{
				Name: o.Name, FailureDomain: h.FailureDomain, Region: h.Region,
				Incarnation: h.Incarnation, Load: load[o.Name],
			})
		}
	})
	return hosts
}

func lookupMember(s *daisyfleet.State, database, member string) daisyfleet.Member {
	o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindMember, Name: daisyfleet.MemberName(database, member)})
	m, _ := o.Value.(daisyfleet.Member)
	return m
}

func countMembers(s *daisyfleet.State, database string) int {
	n := 0
	s.Each(daisyfleet.KindMember, func(o daisyfleet.Object) {
		if m, ok := o.Value.(daisyfleet.Member); ok && m.Database == database {
			n++
		}
	})
	return n
}
