package daisycontroller

import (
	"fmt"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

// minSilentDomains is the number of failure domains that must report a primary as
// not responding before it is replaced.
const minSilentDomains = 2

// observerCount is the number of hosts that probe a primary which its holder cannot
// reach.
const observerCount = 2

// dueOwnerships returns the changes that assign databases to holders, record
// takeovers and start new terms.
func (l *Leader) dueOwnerships(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	d := &ownershipDecision{leader: l, now: now, state: s}
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

// ownershipDecision holds the data that the decisions on all databases share. hosts
// is computed for the first database that needs it, since few calls need it at all.
type ownershipDecision struct {
	leader *Leader
	now    time.Time
	state  *daisyfleet.State
	hosts  []daisyplacement.Host
}

// due returns the change that one database needs, if any.
func (d *ownershipDecision) due(name string, database daisyfleet.Database) (daisyfleet.Change, bool) {
	o, ok := d.state.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name})
	if !ok {
		if countMembers(d.state, name) < database.Majority() {
			return daisyfleet.Change{}, false
		}
		o.ID = daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name}
		return d.assign(o, daisyfleet.Ownership{}, "database "+name+" has a majority of its members")
	}
	ownership, _ := o.Value.(daisyfleet.Ownership)
	holder, known := lookupHost(d.state, ownership.Holder)
	switch {
	case !known || !holder.Up || holder.Incarnation != ownership.Incarnation:
		return d.assign(o, ownership, fmt.Sprintf("holder %s of %s is gone", ownership.Holder, name))
	case d.leader.released(ownership, name):
		return d.assign(o, ownership, fmt.Sprintf("holder %s of %s handed it back", ownership.Holder, name))
	case ownership.Primary == "":
		return d.leader.recordTakeover(o, ownership, name)
	case ownership.Revoked:
		return daisyfleet.Change{}, false
	case lookupMember(d.state, name, ownership.Primary).Leaving && countMembers(d.state, name) > 1:
		return startTerm(o, ownership, fmt.Sprintf("primary %s of %s is leaving", ownership.Primary, name))
	case movesForEvacuation(d.state, name, ownership.Primary):
		return startTerm(o, ownership, fmt.Sprintf("primary %s of %s is in an evacuated failure domain", ownership.Primary, name))
	}
	return d.leader.checkPrimary(d.now, d.state, o, ownership)
}

// assign starts a new term with the holder that daisyplacement selects.
func (d *ownershipDecision) assign(o daisyfleet.Object, ownership daisyfleet.Ownership, reason string) (daisyfleet.Change, bool) {
	if d.hosts == nil {
		d.hosts = hostsByLoad(d.state)
	}
	h, ok := daisyplacement.Holder(o.Name, lookupMember(d.state, o.Name, lastPrimary(ownership)).FailureDomain, d.hosts)
	if !ok {
		return daisyfleet.Change{}, false
	}
	for i := range d.hosts {
		if d.hosts[i].Name == h.Name {
			d.hosts[i].Load++
		}
	}
	next := daisyfleet.Ownership{Term: ownership.Term + 1, Holder: h.Name, Incarnation: h.Incarnation, Last: lastPrimary(ownership), Avoid: ownership.Avoid}
	return replaceValue(o, next, fmt.Sprintf("%s; term %d goes to %s", reason, next.Term, h.Name)), true
}

// checkPrimary handles a primary that its holder cannot reach. If hosts in other
// failure domains cannot reach it either, a new term starts in which another primary
// is chosen; if they can, the holder's ownership is revoked.
func (l *Leader) checkPrimary(now time.Time, s *daisyfleet.State, o daisyfleet.Object, ownership daisyfleet.Ownership) (daisyfleet.Change, bool) {
	if len(l.observations[o.Name]) == 0 {
		return daisyfleet.Change{}, false
	}
	silent, answering := l.silentAndAnswering(now, o.Name, ownership)
	switch {
	case len(silent) >= min(minSilentDomains, domainCount(s)):
		reason := fmt.Sprintf("primary %s of %s answers nobody in %d failure domains", ownership.Primary, o.Name, len(silent))
		return startTerm(o, ownership, reason)
	case len(answering) > 0 && len(silent) > 0:
		ownership.Revoked = true
		return replaceValue(o, ownership, fmt.Sprintf("holder %s cannot reach the primary of %s, others can", ownership.Holder, o.Name)), true
	}
	return daisyfleet.Change{}, false
}

// startTerm starts a new term with the same holder, which then chooses another
// primary.
func startTerm(o daisyfleet.Object, ownership daisyfleet.Ownership, reason string) (daisyfleet.Change, bool) {
	next := daisyfleet.Ownership{Term: ownership.Term + 1, Holder: ownership.Holder, Incarnation: ownership.Incarnation, Last: ownership.Primary, Avoid: ownership.Primary}
	return replaceValue(o, next, fmt.Sprintf("%s; term %d chooses anew", reason, next.Term)), true
}

// lastPrimary returns the current primary or, if there is none, the previous one.
func lastPrimary(ownership daisyfleet.Ownership) string {
	if ownership.Primary != "" {
		return ownership.Primary
	}
	return ownership.Last
}

// recordTakeover records the primary that the holder reported as chosen.
func (l *Leader) recordTakeover(o daisyfleet.Object, ownership daisyfleet.Ownership, name string) (daisyfleet.Change, bool) {
	r := l.records[process{host: ownership.Holder, incarnation: ownership.Incarnation}]
	if r == nil {
		return daisyfleet.Change{}, false
	}
	for _, takeover := range r.heartbeat.Takeovers {
		if takeover.OwnershipTerm == (daisyheartbeat.OwnershipTerm{Database: name, Term: ownership.Term}) {
			ownership.Primary = takeover.Primary
			ownership.Avoid = ""
			return replaceValue(o, ownership, fmt.Sprintf("%s serves %s as primary of term %d: %s", takeover.Primary, name, ownership.Term, takeover.Note)), true
		}
	}
	return raiseTerm(o, ownership, r.heartbeat.HigherTerms)
}

// raiseTerm starts a term above the higher one that the members of a group are at,
// for example because the group was used before the fleet was bootstrapped.
func raiseTerm(o daisyfleet.Object, ownership daisyfleet.Ownership, higher []daisyheartbeat.OwnershipTerm) (daisyfleet.Change, bool) {
	for _, reported := range higher {
		if reported.Database != o.Name || reported.Term < ownership.Term {
			continue
		}
		reason := fmt.Sprintf("members of %s are at term %d", o.Name, reported.Term)
		ownership.Term = reported.Term + 1
		return replaceValue(o, ownership, fmt.Sprintf("%s; term %d begins", reason, ownership.Term)), true
	}
	return daisyfleet.Change{}, false
}

// released reports whether the holder has released the database in this term.
func (l *Leader) released(ownership daisyfleet.Ownership, name string) bool {
	r := l.records[process{host: ownership.Holder, incarnation: ownership.Incarnation}]
	if r == nil {
		return false
	}
	for _, released := range r.heartbeat.Released {
		if released == (daisyheartbeat.OwnershipTerm{Database: name, Term: ownership.Term}) {
			return true
		}
	}
	return false
}

// silentAndAnswering returns the failure domains in which the primary does not answer
// and those in which it does, by recent observations of this term. It removes
// observations that are too old or of another term.
func (l *Leader) silentAndAnswering(now time.Time, name string, ownership daisyfleet.Ownership) (silent, answering map[string]bool) {
	silent, answering = make(map[string]bool), make(map[string]bool)
	for host, o := range l.observations[name] {
		if o.Term != ownership.Term || o.Member != ownership.Primary || now.Sub(o.receivedAt) > observationTTL {
			delete(l.observations[name], host)
			continue
		}
		if o.Answers {
			answering[o.domain] = true
		} else {
			silent[o.domain] = true
		}
	}
	return silent, answering
}

// Probes returns the primaries that the host must probe: those that were reported
// as not responding and that the host is selected to observe.
func (l *Leader) Probes(now time.Time, s *daisyfleet.State, host string) []daisyheartbeat.Probe {
	var probes []daisyheartbeat.Probe
	for name := range l.observations {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: name})
		ownership, _ := o.Value.(daisyfleet.Ownership)
		holder, known := lookupHost(s, ownership.Holder)
		if silent, _ := l.silentAndAnswering(now, name, ownership); !ok || !known || len(silent) == 0 {
			continue
		}
		observers := daisyplacement.Observers(name, holder.FailureDomain, observerCount, AvailableHosts(s, nil))
		m := lookupMember(s, name, ownership.Primary)
		if m.Address.IsValid() && slices.Contains(observers, host) {
			term := daisyheartbeat.OwnershipTerm{Database: name, Term: ownership.Term}
			probes = append(probes, daisyheartbeat.Probe{OwnershipTerm: term, Member: ownership.Primary, Address: m.Address})
		}
	}
	return probes
}

// domainCount returns the number of failure domains with a host that is up, at least 1.
func domainCount(s *daisyfleet.State) int {
	domains := make(map[string]bool)
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok && h.Up {
			domains[h.FailureDomain] = true
		}
	})
	return max(1, len(domains))
}

// hostsByLoad returns the available hosts with the number of databases that each
// holds.
func hostsByLoad(s *daisyfleet.State) []daisyplacement.Host {
	load := make(map[string]int)
	s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
		if ownership, ok := o.Value.(daisyfleet.Ownership); ok {
			load[ownership.Holder]++
		}
	})
	return AvailableHosts(s, load)
}

// AvailableHosts returns the hosts that are up and not leaving, with the given load by
// host name.
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
