package daisypromotion

import (
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// coverageInterval is how often all servers of a service are probed while its replicas have
// to catch up.
const coverageInterval = 500 * time.Millisecond

// coverage tells why too few of a service's listed replicas may have an acknowledged write:
// replicas that had received it are gone, or it was acknowledged when there were fewer
// synchronous replicas. Either reason ends once as many replicas as are synchronous have
// received what the primary has had since.
type coverage struct {
	absent   map[string]*absence // By server.
	before   int                 // The synchronous replicas before their number was raised; 0 if it was not.
	raisedAt time.Time
	probedAt time.Time // When all servers were last probed for it.
}

// absence is that of a replica which is gone, or has been silent for announcementTTL. It counts
// as a replica that does not answer.
type absence struct {
	server daisyfleet.Server
	since  time.Time
	ended  bool // Enough others have received what it may have.
}

// open reports whether replicas have to catch up.
func (c *coverage) open() bool {
	if c == nil {
		return false
	}
	for _, a := range c.absent {
		if !a.ended {
			return true
		}
	}
	return c.before > 0
}

func (l *Leader) coverageOf(service string) *coverage {
	c := l.coverages[service]
	if c == nil {
		c = &coverage{absent: make(map[string]*absence)}
		l.coverages[service] = c
	}
	return c
}

// noteAbsence records that a server is gone or silent. It returns true if the server may be
// forgotten: its service has no synchronous replicas, it is the primary, or enough others have
// received what it may have.
func (l *Leader) noteAbsence(now time.Time, s *daisyfleet.State, id string, v daisyfleet.Server) (ended bool) {
	if l.syncReplicas[v.Service] == 0 {
		return true
	}
	leadership := leadershipOf(s, v.Service)
	if id == leadership.Server || id == leadership.Previous && leadership.Server == "" {
		return true
	}
	c := l.coverageOf(v.Service)
	if c.absent[id] == nil {
		c.absent[id] = &absence{server: v, since: now}
	}
	return c.absent[id].ended
}

// dropAbsences drops the absences that have ended, of servers that are no longer listed,
// announce themselves again or have handed their logs over.
func (l *Leader) dropAbsences(now time.Time, s *daisyfleet.State) {
	for service, c := range l.coverages {
		for id, a := range c.absent {
			_, listed := lookupServer(s, id)
			if l.servers[id] != nil || a.ended && !listed || l.syncReplicas[service] == 0 || l.isSucceeded(now, s, a.server) {
				delete(c.absent, id)
			}
		}
	}
}

// isSucceeded reports whether the server was leaving and another one has its log: the one
// that has started at its address.
func (l *Leader) isSucceeded(now time.Time, s *daisyfleet.State, v daisyfleet.Server) bool {
	id, _ := l.announcedAt(v.Address)
	successor, listed := lookupServer(s, id)
	status, answers := l.statusOf(now, id)
	return v.Leaving && listed && successor.Service == v.Service && answers && !status.Received.IsZero()
}

// noteSyncReplicas records that the numbers of synchronous replicas change.
func (l *Leader) noteSyncReplicas(now time.Time, next map[string]int) {
	for service, n := range next {
		before, known := l.syncReplicas[service]
		if before = max(before, 1); known && n > before {
			c := l.coverageOf(service)
			if c.before == 0 || before < c.before {
				c.before = before
			}
			c.raisedAt = now
		}
	}
}

// syncReplicasOf returns how many replicas have received each acknowledged write at least.
func (l *Leader) syncReplicasOf(service string) int {
	n := l.syncReplicas[service]
	if c := l.coverages[service]; c != nil && c.before > 0 {
		n = min(n, c.before)
	}
	return n
}

// probeForCoverage orders probes of all servers if replicas have to catch up.
func (l *Leader) probeForCoverage(now time.Time, s *daisyfleet.State, service string) []Order {
	c := l.coverages[service]
	if !c.open() || now.Sub(c.probedAt) < coverageInterval {
		return nil
	}
	c.probedAt = now
	return l.probeAll(now, s, service)
}

// updateCoverage ends what enough replicas that are present have received.
func (l *Leader) updateCoverage(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) {
	c := l.coverages[service]
	if !c.open() {
		return
	}
	replicas, at := l.caughtUp(now, s, service, leadership)
	replicas = slices.DeleteFunc(replicas, func(m member) bool { return c.absent[m.name] != nil })
	if len(replicas) < l.syncReplicas[service] {
		return
	}
	for _, a := range c.absent {
		a.ended = a.ended || at.After(a.since)
	}
	if at.After(c.raisedAt) {
		c.before = 0
	}
}

// countAbsent returns how many replicas are absent and not among the listed ones.
func (l *Leader) countAbsent(service string, listed []member) (n int) {
	c := l.coverages[service]
	if c == nil {
		return 0
	}
	for id, a := range c.absent {
		if !a.ended && !slices.ContainsFunc(listed, func(m member) bool { return m.name == id }) {
			n++
		}
	}
	return n
}

// hasLostLog reports whether the server has started again since it was first seen and has
// received nothing: it may have had any write before.
func (l *Leader) hasLostLog(id string, status Status) bool {
	return l.restarted[id] && status.Received.IsZero()
}
