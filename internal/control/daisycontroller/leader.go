package daisycontroller

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

// Timing of the control protocol.
const (
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval = 500 * time.Millisecond
	// LeaseDuration is how long a lease lasts from the sending of the heartbeat.
	LeaseDuration = 2 * time.Second
	// DriftMargin bounds the drift between two hosts' clocks during a lease.
	DriftMargin = 200 * time.Millisecond
	// observationTTL is how long a host's observation of a primary counts.
	observationTTL = 1200 * time.Millisecond
	// announcementTTL is how long a backend server is kept after its last
	// announcement.
	announcementTTL = 10 * time.Second
)

// record is what the leader knows of a host's process besides the state.
type record struct {
	heartbeat    daisyheartbeat.Heartbeat // The last one.
	lastHeard    time.Time                // When it arrived; no lease began later.
	downProposed bool                     // Declaring the host down is proposed; it gets no lease until the outcome is known.
}

// observation is a host's observation of a primary.
type observation struct {
	daisyheartbeat.Observation
	domain     string // The failure domain of the host.
	receivedAt time.Time
}

// announcement is a backend server's last announcement.
type announcement struct {
	daisyheartbeat.Announcement
	receivedAt time.Time // When a host received it.
}

// process identifies a process of a host, which has a new incarnation at each start.
type process struct {
	host        string
	incarnation uint64
}

// LeaseOptions configure how leases are granted.
type LeaseOptions struct {
	Duration time.Duration
	// SequentialProcesses says that a host's processes never run at the same time: a
	// new one proves that the previous one and its lease have ended.
	SequentialProcesses bool
}

// Leader makes the decisions while this control host leads. It is not safe for
// concurrent use. A new one is made for each term in which the host leads.
type Leader struct {
	started       time.Time // When this host became the control leader.
	leaseOptions  LeaseOptions
	records       map[process]*record
	observations  map[string]map[string]observation // By database, then host.
	announcements map[string]announcement           // By member object name.
}

// NewLeader returns a Leader whose term as leader began at the given time.
func NewLeader(started time.Time) *Leader {
	return NewLeaderWithOptions(started, LeaseOptions{Duration: LeaseDuration})
}

// NewLeaderWithOptions is NewLeader with options for the leases.
func NewLeaderWithOptions(started time.Time, o LeaseOptions) *Leader {
	return &Leader{
		started:       started,
		leaseOptions:  o,
		records:       make(map[process]*record),
		observations:  make(map[string]map[string]observation),
		announcements: make(map[string]announcement),
	}
}

// Heartbeat records a heartbeat and returns the duration of the lease that it
// renews: 0 for a process other than the one that the state declares up, and while
// declaring the host down is proposed.
func (l *Leader) Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration {
	p := process{host: b.Host, incarnation: b.Incarnation}
	r := l.records[p]
	if r == nil {
		if l.leaseOptions.SequentialProcesses {
			l.removeProcesses(b.Host)
		}
		r = &record{lastHeard: l.started}
		l.records[p] = r
	}
	r.heartbeat = b
	for _, o := range b.Observations {
		l.recordObservation(now, b, o)
	}
	for _, a := range b.Announcements {
		name := daisyfleet.MemberName(a.Value.Database, a.Member)
		if receivedAt := now.Add(-a.Age); receivedAt.After(l.announcements[name].receivedAt) {
			l.announcements[name] = announcement{Announcement: a, receivedAt: receivedAt}
		}
	}
	if r.downProposed {
		return 0
	}
	// Recorded also if no lease is granted, so that a process that is then declared
	// up is not considered missing before a full lease duration has passed.
	r.lastHeard = now
	host, ok := lookupHost(s, b.Host)
	if !ok || !host.Up || host.Incarnation != b.Incarnation {
		return 0
	}
	return l.leaseOptions.Duration
}

// removeProcesses removes the records of a host's earlier processes when a new one
// has started.
func (l *Leader) removeProcesses(host string) {
	for p := range l.records {
		if p.host == host {
			delete(l.records, p)
		}
	}
}

func (l *Leader) recordObservation(now time.Time, b daisyheartbeat.Heartbeat, o daisyheartbeat.Observation) {
	byHost := l.observations[o.Database]
	if byHost == nil {
		byHost = make(map[string]observation)
		l.observations[o.Database] = byHost
	}
	byHost[b.Host] = observation{Observation: o, domain: b.FailureDomain, receivedAt: now}
}

// expired reports whether every lease of the process has expired.
func (l *Leader) expired(now time.Time, p process) bool {
	lastHeard := l.started
	if r := l.records[p]; r != nil {
		lastHeard = r.lastHeard
	}
	return now.Sub(lastHeard) > l.leaseOptions.Duration+DriftMargin
}

// Due returns the changes that are due by the hosts' reports and the time. Each is
// made against the given state. The caller proposes them, awaits their outcomes and
// calls Decided.
func (l *Leader) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	changes := l.DueHostChanges(now, s)
	changes = append(changes, l.dueMembers(now, s)...)
	return append(changes, l.dueOwnerships(now, s)...)
}

// Grants returns none, because tokens are granted by the holders of the databases.
func (l *Leader) Grants(time.Time, *daisyfleet.State, daisyheartbeat.Heartbeat) []daisyheartbeat.Demand {
	return nil
}

// Decided allows leases again for hosts that were to be declared down. The caller
// has proposed the changes from Due and awaited their outcomes.
func (l *Leader) Decided() {
	for _, r := range l.records {
		r.downProposed = false
	}
}

// HeldRevision returns the revision of the state that a host's process reported in
// its last heartbeat, or 0.
func (l *Leader) HeldRevision(host string, incarnation uint64) uint64 {
	if r := l.records[process{host: host, incarnation: incarnation}]; r != nil {
		return r.heartbeat.Revision
	}
	return 0
}

// DueHostChanges returns the changes that declare hosts up or down.
func (l *Leader) DueHostChanges(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		h, ok := o.Value.(daisyfleet.Host)
		p := process{host: o.Name, incarnation: h.Incarnation}
		if !ok || !h.Up || !l.expired(now, p) {
			return
		}
		if r := l.records[p]; r != nil {
			r.downProposed = true
		}
		h.Up = false
		changes = append(changes, replaceValue(o, h, "host "+o.Name+" did not renew its lease"))
	})
	for p, r := range l.records {
		if l.stale(now, p, s) {
			delete(l.records, p)
			continue
		}
		if c, ok := l.declareUp(s, r.heartbeat); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// stale reports whether the process is no longer the host's current one, or the host
// is down, and its leases have expired.
func (l *Leader) stale(now time.Time, p process, s *daisyfleet.State) bool {
	h, ok := lookupHost(s, p.host)
	ended := ok && (!h.Up || h.Incarnation != p.incarnation)
	return ended && l.expired(now, p)
}

// declareUp returns the change that declares a process up or updates its host, or
// false if nothing changes or an older process of the host may still hold a lease.
func (l *Leader) declareUp(s *daisyfleet.State, b daisyheartbeat.Heartbeat) (daisyfleet.Change, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindHost, Name: b.Host})
	current, _ := o.Value.(daisyfleet.Host)
	next := daisyfleet.Host{
		Incarnation: b.Incarnation, Address: b.Address, FailureDomain: b.FailureDomain,
		Region: b.Region, Up: true, Leaving: b.Leaving,
	}
	if ok && current.Up && current.Incarnation != b.Incarnation && !l.leaseOptions.SequentialProcesses {
		return daisyfleet.Change{}, false
	}
	if ok && current == next {
		return daisyfleet.Change{}, false
	}
	if !ok {
		o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindHost, Name: b.Host}}
	}
	return replaceValue(o, next, "host "+b.Host+" reported in"), true
}

// dueMembers returns the changes that add, update and expire backend servers.
func (l *Leader) dueMembers(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	for name, a := range l.announcements {
		id := daisyfleet.ID{Kind: daisyfleet.KindMember, Name: name}
		o, ok := s.Get(id)
		if ok && o.Value == a.Value || now.Sub(a.receivedAt) > announcementTTL {
			continue
		}
		if _, known := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDatabase, Name: a.Value.Database}); !known {
			continue
		}
		if !ok {
			o = daisyfleet.Object{ID: id}
		}
		changes = append(changes, replaceValue(o, a.Value, "backend server "+name+" announced itself"))
	}
	s.Each(daisyfleet.KindMember, func(o daisyfleet.Object) {
		receivedAt := l.started
		if a, ok := l.announcements[o.Name]; ok {
			receivedAt = a.receivedAt
		}
		if now.Sub(receivedAt) > announcementTTL {
			delete(l.announcements, o.Name)
			changes = append(changes, replaceValue(o, nil, "backend server "+o.Name+" stopped announcing itself"))
		}
	})
	return changes
}

func lookupHost(s *daisyfleet.State, name string) (daisyfleet.Host, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindHost, Name: name})
	h, _ := o.Value.(daisyfleet.Host)
	return h, ok
}

// replaceValue returns a change that replaces the value of the object, provided
// that the object has not changed since it was read. A nil value deletes it.
func replaceValue(o daisyfleet.Object, v daisyfleet.Value, reason string) daisyfleet.Change {
	return daisyfleet.Change{Reason: reason, Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: v}}}
}
