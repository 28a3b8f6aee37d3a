package daisypromotion

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// announcementTTL is how long a server stays registered after its last
	// announcement: eight announcements at 1.2 s. It may be this long because
	// hosts on their own avoid a server that does not answer.
	announcementTTL = 10 * time.Second
	// departedTTL is how long the end of an incarnation is remembered, so that a
	// delayed announcement does not register it again.
	departedTTL = 2 * time.Minute
	// observationTTL is how long a host's report on a primary is valid; hosts
	// repeat it with each heartbeat.
	observationTTL = 1500 * time.Millisecond
	// probeInterval is the minimum time between two probes of a server.
	probeInterval = 150 * time.Millisecond
	// statusTTL is how long a server's answer to a probe is valid.
	statusTTL = 800 * time.Millisecond
	// announcementTimeout is the time without an announcement after which a
	// primary is probed even if no host reports it unreachable.
	announcementTimeout = 3 * time.Second
)

// Options configure a Leader.
type Options struct {
	LeadingSince  time.Time     // When this host became the control leader.
	LeaseDuration time.Duration // How long a host may act on the control state that it holds.
	Topology      daisyplacement.Topology
}

// announcedServer is the last announcement of a server and when it arrived.
type announcedServer struct {
	Announcement
	seenAt time.Time
}

// probeState is the result of probing a server.
type probeState struct {
	issuedAt        time.Time
	pending         bool
	status          Status
	answeredProbeAt time.Time // When the last probe that was answered was issued.
	failures        int       // Consecutive probes without a connection.
}

// unreachableReport is a host's report on whether it can reach a primary.
type unreachableReport struct {
	epoch       uint64
	server      string
	unreachable bool
	seenAt      time.Time
}

// Leader takes the decisions on servers and successions while this control host
// is the control leader. It embeds daisycontroller.Leader, which decides on the
// leases of hosts. It is not safe for concurrent use.
type Leader struct {
	*daisycontroller.Leader

	leadingSince time.Time
	topology     daisyplacement.Topology
	gateways     daisyplacement.GatewayCache
	servers      map[string]*announcedServer // By ID.
	byAddress    map[netip.AddrPort]string   // The ID of the last server that announced itself there.
	departed     map[string]announcedServer  // By ID; seenAt is when the server departed.
	probes       map[string]*probeState
	observations map[string]map[string]unreachableReport // By service, then host.
	successions  map[string]*succession
	probing      int                         // Probes under way.
	firstProbed  string                      // The service to begin the next round of probes with.
	pools        map[string]*daisyquota.Pool // By workspace.

	syncReplicas map[string]int       // By service.
	marks        map[string]mark      // By service.
	coverages    map[string]*coverage // By service.
	restarted    map[string]bool      // The servers that have started again under their IDs.
	cold         coldServers
}

// NewLeader returns a Leader for one term as control leader.
func NewLeader(o Options) *Leader {
	leases := daisycontroller.LeaseOptions{Duration: o.LeaseDuration, SequentialProcesses: true}
	return &Leader{
		Leader: daisycontroller.NewLeaderWithOptions(o.LeadingSince, leases), leadingSince: o.LeadingSince, topology: o.Topology,
		servers: make(map[string]*announcedServer), byAddress: make(map[netip.AddrPort]string), departed: make(map[string]announcedServer),
		probes: make(map[string]*probeState), observations: make(map[string]map[string]unreachableReport),
		successions: make(map[string]*succession), pools: make(map[string]*daisyquota.Pool),
		marks: make(map[string]mark), coverages: make(map[string]*coverage), restarted: make(map[string]bool),
		cold: coldServers{seen: make(map[string]time.Time)},
	}
}

// Announce records a server's announcement. It ignores one that is older than
// the last one of the same server or of another server at the same address, but for
// the news that the server is leaving. A server that started earlier at that address
// counts as departed.
func (l *Leader) Announce(now time.Time, a Announcement) {
	if departed, ok := l.departed[a.ID]; ok && !a.Started.After(departed.Started) {
		return
	}
	if known, ok := l.servers[a.ID]; ok {
		if a.Started.Before(known.Started) || a.Started.Equal(known.Started) && a.Sequence <= known.Sequence {
			// The clock of the server may have jumped back between two starts. If the
			// announcement is a delayed one, the next one corrects this.
			known.Leaving = known.Leaving || a.Leaving && a.Address == known.Address
			return
		}
	}
	if id, known := l.announcedAt(a.Address); known != nil && id != a.ID {
		if known.Started.After(a.Started) {
			return
		}
		l.markDeparted(now, id)
	}
	l.forget(a.ID)
	l.servers[a.ID] = &announcedServer{Announcement: a, seenAt: now}
	l.byAddress[a.Address] = a.ID
}

// forget drops the last announcement of a server.
func (l *Leader) forget(id string) {
	if known := l.servers[id]; known != nil && l.byAddress[known.Address] == id {
		delete(l.byAddress, known.Address)
	}
	delete(l.servers, id)
}

// announcedAt returns the server that announced itself at the address, or nil. At most
// one does: a later one counts the earlier as departed.
func (l *Leader) announcedAt(addr netip.AddrPort) (id string, known *announcedServer) {
	id = l.byAddress[addr]
	return id, l.servers[id]
}

// Leave records that the incarnation of a server has ended.
func (l *Leader) Leave(now time.Time, id string) {
	if _, ok := l.servers[id]; ok {
		l.markDeparted(now, id)
		return
	}
	l.departed[id] = announcedServer{Announcement: Announcement{ID: id, Started: now}, seenAt: now}
}

func (l *Leader) markDeparted(now time.Time, id string) {
	departed := *l.servers[id]
	departed.seenAt = now
	l.departed[id] = departed
	l.forget(id)
}

// Heartbeat implements daisycoordinator.Decider. It also records the host's
// observations of primaries, in which Database is a service and Term an epoch.
func (l *Leader) Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration {
	for _, seen := range b.Observations {
		byHost := l.observations[seen.Database]
		if byHost == nil {
			byHost = make(map[string]unreachableReport)
			l.observations[seen.Database] = byHost
		}
		byHost[b.Host] = unreachableReport{epoch: seen.Term, server: seen.Member, unreachable: !seen.Answers, seenAt: now}
	}
	return l.Leader.Heartbeat(now, s, b)
}

// Probes implements daisycoordinator.Decider. It returns none, since hosts report
// their observations without being asked.
func (l *Leader) Probes(time.Time, *daisyfleet.State, string) []daisyheartbeat.Probe { return nil }

// Due implements daisycoordinator.Decider.
func (l *Leader) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	changes := l.DueHostChanges(now, s)
	changes = append(changes, l.dueServers(now, s)...)
	return append(changes, l.dueLeaderships(now, s)...)
}

// dueServers returns the changes that make the servers in the control state match
// their announcements.
func (l *Leader) dueServers(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	l.cold.observe(now, s)
	for id, known := range l.servers {
		if now.Sub(known.seenAt) > announcementTTL {
			l.forget(id)
			continue
		}
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindServer, Name: id})
		stored, _ := o.Value.(daisyfleet.Server)
		next := daisyfleet.Server{
			Service: known.Service, Address: known.Address, FailureDomain: known.FailureDomain,
			Started: known.Started, Leaving: known.Leaving, Slots: known.Slots,
			Cold: l.cold.isCold(known, ok && stored.Cold),
		}
		if ok && stored == next {
			continue
		}
		if !ok && replacedAtAddress(s, known.Announcement) {
			l.forget(id)
			continue
		}
		if !ok {
			o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: id}}
		}
		if ok && stored.Started.Before(known.Started) {
			l.restarted[id] = true
		}
		changes = append(changes, replaceValue(o, next, "backend server "+id+" announced itself"))
	}
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if _, ok := l.servers[o.Name]; ok {
			return
		}
		v, _ := o.Value.(daisyfleet.Server)
		_, departed := l.departed[o.Name]
		if !departed && now.Sub(l.leadingSince) <= announcementTTL {
			return
		}
		// Hosts must not use the address of a server that has ended. One that is only
		// silent may still come back with its log.
		if mayForget := l.noteAbsence(now, s, o.Name, v); mayForget || departed {
			delete(l.restarted, o.Name)
			changes = append(changes, replaceValue(o, nil, "backend server "+o.Name+" is gone"))
		}
	})
	l.dropAbsences(now, s)
	for id, departed := range l.departed {
		if now.Sub(departed.seenAt) > departedTTL {
			delete(l.departed, id)
		}
	}
	return changes
}

// replacedAtAddress reports whether the state has another server at the address that
// started later. A new leader learns from nothing else that the announcement is delayed.
func replacedAtAddress(s *daisyfleet.State, a Announcement) (replaced bool) {
	s.EachServerAt(a.Address, func(name string, v daisyfleet.Server) {
		replaced = replaced || name != a.ID && v.Started.After(a.Started)
	})
	return replaced
}

// replaceValue returns a change that replaces the value of the object, provided
// that the object has not changed since it was read. A nil value deletes it.
func replaceValue(o daisyfleet.Object, v daisyfleet.Value, reason string) daisyfleet.Change {
	return daisyfleet.Change{Reason: reason, Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: v}}}
}
