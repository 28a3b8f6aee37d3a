package daisycontroller

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
)

// Times of the control protocol.
const (
	// BeatInterval is the time between two heartbeats of a host.
	BeatInterval = 500 * time.Millisecond
	// LeaseDuration is how long a lease lasts from the sending of the heartbeat.
	LeaseDuration = 2 * time.Second
	// DriftMargin is what clocks may gain on each other during a lease.
	DriftMargin = 200 * time.Millisecond
	// sightLife is how long a host's report of a primary counts.
	sightLife = 1200 * time.Millisecond
	// announcementLife is how long a backend server lives without announcing.
	announcementLife = 10 * time.Second
)

// record is what the leader knows of a host's process beyond the state.
type record struct {
	beat      daisyheartbeat.Heartbeat
	heard     time.Time // The last heartbeat; no lease began later.
	condemned bool      // Given up; gets no lease until the log has decided.
}

// sight is a host's report of what it sees of a primary.
type sight struct {
	daisyheartbeat.Observation
	domain string
	seen   time.Time
}

// announced is a backend server's last announcement.
type announced struct {
	daisyheartbeat.Announcement
	seen time.Time
}

// process identifies one start of a host.
type process struct {
	host        string
	incarnation uint64
}

// LeaseOptions are how leases are given.
type LeaseOptions struct {
	Lease time.Duration
	// Successive tells that a host's processes follow each other: one that
	// starts proves that the one before it has ended, lease and all.
	Successive bool
}

// Leader decides while this control host leads. It is not safe for concurrent
// use. A new one is made for each term of leadership.
type Leader struct {
	began     time.Time
	terms     LeaseOptions
	records   map[process]*record
	sights    map[string]map[string]sight // By database, then host.
	announced map[string]announced        // By member object name.
}

// NewLeader returns the decisions of a leadership that began at the time.
func NewLeader(began time.Time) *Leader {
	return NewLeaderOn(began, LeaseOptions{Lease: LeaseDuration})
}

// NewLeaderOn returns the decisions of a leadership that gives leases on the terms.
func NewLeaderOn(began time.Time, t LeaseOptions) *Leader {
	return &Leader{
		began:     began,
		terms:     t,
		records:   make(map[process]*record),
		sights:    make(map[string]map[string]sight),
		announced: make(map[string]announced),
	}
}

// Beat notes a heartbeat and returns the lease that it earns: none for a
// process that is not the one the state calls up.
func (l *Leader) Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration {
	p := process{host: b.Host, incarnation: b.Incarnation}
	r := l.records[p]
	if r == nil {
		if l.terms.Successive {
			l.succeed(b.Host)
		}
		r = &record{heard: l.began}
		l.records[p] = r
	}
	r.beat = b
	for _, seen := range b.Observations {
		l.note(now, b, seen)
	}
	for _, a := range b.Announcements {
		name := daisyfleet.MemberName(a.Value.Database, a.Member)
		if seen := now.Add(-a.Age); seen.After(l.announced[name].seen) {
			l.announced[name] = announced{Announcement: a, seen: seen}
		}
	}
	if r.condemned {
		return 0
	}
	// Noted also without a lease, so that a process that is declared up has a
	// whole lease's time before it is found missing.
	r.heard = now
	host, ok := lookupHost(s, b.Host)
	if !ok || !host.Up || host.Incarnation != b.Incarnation {
		return 0
	}
	return l.terms.Lease
}

// succeed forgets the earlier processes of a host, one of which has just started.
func (l *Leader) succeed(host string) {
	for p := range l.records {
		if p.host == host {
			delete(l.records, p)
		}
	}
}

func (l *Leader) note(now time.Time, b daisyheartbeat.Heartbeat, s daisyheartbeat.Observation) {
	seen := l.sights[s.Database]
	if seen == nil {
		seen = make(map[string]sight)
		l.sights[s.Database] = seen
	}
	seen[b.Host] = sight{Observation: s, domain: b.FailureDomain, seen: now}
}

// expired reports whether every lease of the process has run out.
func (l *Leader) expired(now time.Time, p process) bool {
	heard := l.began
	if r := l.records[p]; r != nil {
		heard = r.heard
	}
	return now.Sub(heard) > l.terms.Lease+DriftMargin
}

// Due returns the changes that the reports and the passing of time call for.
// Each is decided against the given state; the caller proposes them and, once
// they are decided, calls Decided.
func (l *Leader) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	changes := l.DueHosts(now, s)
	changes = append(changes, l.dueMembers(now, s)...)
	return append(changes, l.dueTenures(now, s)...)
}

// Grants returns none: the holders of databases grant tokens.
func (l *Leader) Grants(time.Time, *daisyfleet.State, daisyheartbeat.Heartbeat) []daisyheartbeat.Demand {
	return nil
}

// Decided lets hosts that were given up earn leases again, now that the log
// has decided on the changes.
func (l *Leader) Decided() {
	for _, r := range l.records {
		r.condemned = false
	}
}

// Held returns the revision that the process of a host held when it last sent a
// heartbeat, or 0.
func (l *Leader) Held(host string, incarnation uint64) uint64 {
	if r := l.records[process{host: host, incarnation: incarnation}]; r != nil {
		return r.beat.Revision
	}
	return 0
}

// DueHosts declares hosts up and down.
func (l *Leader) DueHosts(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		h, ok := o.Value.(daisyfleet.Host)
		p := process{host: o.Name, incarnation: h.Incarnation}
		if !ok || !h.Up || !l.expired(now, p) {
			return
		}
		if r := l.records[p]; r != nil {
			r.condemned = true
		}
		h.Up = false
		changes = append(changes, put(o, h, "host "+o.Name+" did not renew its lease"))
	})
	for p, r := range l.records {
		if l.stale(now, p, s) {
			delete(l.records, p)
			continue
		}
		if c, ok := l.arrival(s, r.beat); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// stale reports whether the record belongs to a process that is long gone.
func (l *Leader) stale(now time.Time, p process, s *daisyfleet.State) bool {
	h, ok := lookupHost(s, p.host)
	gone := ok && (!h.Up || h.Incarnation != p.incarnation)
	return gone && l.expired(now, p)
}

// arrival returns the change that declares a process up, or false if it is up
// already or an older process of the host still may hold a lease.
func (l *Leader) arrival(s *daisyfleet.State, b daisyheartbeat.Heartbeat) (daisyfleet.Change, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindHost, Name: b.Host})
	held, _ := o.Value.(daisyfleet.Host)
	next := daisyfleet.Host{
		Incarnation: b.Incarnation, Address: b.Address, FailureDomain: b.FailureDomain,
		Region: b.Region, Up: true, Leaving: b.Leaving,
	}
	if ok && held.Up && held.Incarnation != b.Incarnation && !l.terms.Successive {
		return daisyfleet.Change{}, false
	}
	if ok && held == next {
		return daisyfleet.Change{}, false
	}
	if !ok {
		o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.KindHost, Name: b.Host}}
	}
	return put(o, next, "host "+b.Host+" reported in"), true
}

// dueMembers adds, changes and expires backend servers.
func (l *Leader) dueMembers(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	var changes []daisyfleet.Change
	for name, a := range l.announced {
		id := daisyfleet.ID{Kind: daisyfleet.KindMember, Name: name}
		o, ok := s.Get(id)
		if ok && o.Value == a.Value || now.Sub(a.seen) > announcementLife {
			continue
		}
		if _, known := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDatabase, Name: a.Value.Database}); !known {
			continue
		}
		if !ok {
			o = daisyfleet.Object{ID: id}
		}
		changes = append(changes, put(o, a.Value, "backend server "+name+" announced itself"))
	}
	s.Each(daisyfleet.KindMember, func(o daisyfleet.Object) {
		seen := l.began
		if a, ok := l.announced[o.Name]; ok {
			seen = a.seen
		}
		if now.Sub(seen) > announcementLife {
			delete(l.announced, o.Name)
			changes = append(changes, put(o, nil, "backend server "+o.Name+" stopped announcing itself"))
		}
	})
	return changes
}

func lookupHost(s *daisyfleet.State, name string) (daisyfleet.Host, bool) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindHost, Name: name})
	h, _ := o.Value.(daisyfleet.Host)
	return h, ok
}

// put returns a change that replaces the value of an object as it was seen.
func put(o daisyfleet.Object, v daisyfleet.Value, reason string) daisyfleet.Change {
	return daisyfleet.Change{Reason: reason, Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: v}}}
}
