package daisypromotion

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// announcementLife is how long a server that has stopped announcing itself
	// stays known: eight announcements at 1.2 s, since hosts avoid a server that
	// does not answer by themselves.
	announcementLife = 10 * time.Second
	// goneLife is how long the end of an incarnation is remembered, so that a
	// delayed announcement does not bring it back.
	goneLife = 2 * time.Minute
	// sightLife is how long a host's report of a primary counts; hosts repeat it
	// with each heartbeat.
	sightLife = 1500 * time.Millisecond
	// probeInterval is the least time between two probes of a server.
	probeInterval = 150 * time.Millisecond
	// statusLife is how long a server's status counts during a succession.
	statusLife = 800 * time.Millisecond
	// quietLimit is how long a primary may miss its announcements before it is
	// probed without any host's complaint.
	quietLimit = 3 * time.Second
)

// Options configure a Leader.
type Options struct {
	LeadingSince time.Time
	Lease        time.Duration // How long a host may act on a state.
}

// known is what the leader knows of an announced server.
type known struct {
	Announcement
	seen time.Time
}

// probe is what the leader knows from probing a server.
type probe struct {
	ordered  time.Time
	pending  bool
	status   Status
	answered time.Time // When the probe that was answered last was ordered.
	failures int       // In a row without a connection.
}

// sight is a host's report that a primary does not answer it.
type sight struct {
	round  uint64
	server string
	silent bool
	seen   time.Time
}

// Leader decides while this control host leads. It is not safe for concurrent
// use. It embeds the decisions on the leases of hosts.
type Leader struct {
	*daisycontroller.Leader

	began       time.Time
	servers     map[string]*known
	gone        map[string]known
	probes      map[string]*probe
	sights      map[string]map[string]sight // By service, then host.
	successions map[string]*succession
	pools       map[string]*daisyquota.Pool // By workspace.

	syncReplicas map[string]int // By service.
}

// NewLeader returns the decisions of a leadership.
func NewLeader(o Options) *Leader {
	terms := daisycontroller.LeaseOptions{Lease: o.Lease, Successive: true}
	return &Leader{
		Leader: daisycontroller.NewLeaderOn(o.LeadingSince, terms), began: o.LeadingSince,
		servers: make(map[string]*known), gone: make(map[string]known),
		probes: make(map[string]*probe), sights: make(map[string]map[string]sight),
		successions: make(map[string]*succession), pools: make(map[string]*daisyquota.Pool),
	}
}

// Announce notes a server's announcement. One that is older than what is known
// of the server or of its address is ignored.
func (l *Leader) Announce(now time.Time, a Announcement) {
	if g, ok := l.gone[a.ID]; ok && !a.Started.After(g.Started) {
		return
	}
	if k, ok := l.servers[a.ID]; ok {
		if a.Started.Before(k.Started) || a.Started.Equal(k.Started) && a.Sequence <= k.Sequence {
			return
		}
	}
	for id, k := range l.servers {
		if id == a.ID || k.Address != a.Address {
			continue
		}
		if k.Started.After(a.Started) {
			return
		}
		l.forget(now, id)
	}
	l.servers[a.ID] = &known{Announcement: a, seen: now}
}

// Leave notes that the incarnation of a server has ended.
func (l *Leader) Leave(now time.Time, id string) {
	if _, ok := l.servers[id]; ok {
		l.forget(now, id)
		return
	}
	l.gone[id] = known{Announcement: Announcement{ID: id, Started: now}, seen: now}
}

func (l *Leader) forget(now time.Time, id string) {
	k := *l.servers[id]
	k.seen = now
	l.gone[id] = k
	delete(l.servers, id)
}

// Beat implements daisycoordinator.Decider.
func (l *Leader) Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration {
	for _, seen := range b.Observations {
		bySight := l.sights[seen.Database]
		if bySight == nil {
			bySight = make(map[string]sight)
			l.sights[seen.Database] = bySight
		}
		bySight[b.Host] = sight{round: seen.Term, server: seen.Member, silent: !seen.Answers, seen: now}
	}
	return l.Leader.Heartbeat(now, s, b)
}

// Probes implements daisycoordinator.Decider: hosts report what they see unasked.
func (l *Leader) Probes(time.Time, *daisyfleet.State, string) []daisyheartbeat.Probe { return nil }

// Due implements daisycoordinator.Decider.
func (l *Leader) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	changes := l.DueHosts(now, s)
	changes = append(changes, l.dueServers(now, s)...)
	return append(changes, l.duePrimacies(now, s)...)
}

// dueServers brings the servers in the log up to what they announce.
func (l *Leader) dueServers(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	for id, k := range l.servers {
		if now.Sub(k.seen) > announcementLife {
			delete(l.servers, id)
			continue
		}
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindServer, Name: id})
		held, _ := o.Value.(daisyfleet.Server)
		next := daisyfleet.Server{
			Service: k.Service, Address: k.Address, FailureDomain: k.FailureDomain,
			Started: k.Started, Leaving: k.Leaving, Slots: k.Slots,
		}
		if ok && held == next {
			continue
		}
		if !ok {
			o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: id}}
		}
		changes = append(changes, put(o, next, "backend server "+id+" announced itself"))
	}
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if _, ok := l.servers[o.Name]; ok {
			return
		}
		if _, ended := l.gone[o.Name]; ended || now.Sub(l.began) > announcementLife {
			changes = append(changes, put(o, nil, "backend server "+o.Name+" is gone"))
		}
	})
	for id, g := range l.gone {
		if now.Sub(g.seen) > goneLife {
			delete(l.gone, id)
		}
	}
	return changes
}

// put returns a change that replaces the value of an object as it was seen.
func put(o daisyfleet.Object, v daisyfleet.Value, reason string) daisyfleet.Change {
	return daisyfleet.Change{Reason: reason, Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: v}}}
}
