package daisypromotion_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	lease   = 4 * time.Second
	service = "baskets"
	step    = 50 * time.Millisecond
)

// server is a simulated backend server.
type server struct {
	id      string
	role    daisypromotion.Role
	term    uint64
	number  uint64 // Index of the last log entry received.
	logTerm uint64 // Term of that entry.
	down    bool
	leaving bool
	domain  string // Failure domain.
	refuses bool   // Promotions are refused.
	cut     bool   // The control leader cannot reach it, and its announcements are lost.
	started int64  // Unix seconds.
}

// takeover is a promotion that the platform has received and that takes effect later.
type takeover struct {
	at     time.Time
	server *server
}

// host is a simulated entry host.
type host struct {
	name               string
	incarnation        uint64
	down               bool   // Sends no heartbeats.
	primaryUnreachable bool   // Cannot reach the primary m1.
	held               uint64 // Revision of the control state that it holds.
}

// world simulates the servers, the hosts and the control log around one Leader.
type world struct {
	t        *testing.T
	now      time.Time
	state    daisyfleet.State
	index    uint64
	leader   *daisypromotion.Leader
	servers  []*server
	hosts    []*host
	sequence uint64
	promoted []string // Servers, in the order of accepted promotions.
	pending  []daisypromotion.Result

	promotionTime time.Duration // From the platform's receipt of a promotion to its effect.
	callDelay     time.Duration // How late the platform receives a promotion. Its answers are lost then.
	unreachable   bool          // The platform cannot be called.
	takeovers     []takeover
	late          []string // Servers that took over after the leadership of another was confirmed.
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0)}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("m%d", i+1), role: daisypromotion.RoleReplica, term: 1, number: 10, logTerm: 1, started: 900}
		w.servers = append(w.servers, s)
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("h%d", i+1), incarnation: uint64(i + 1)})
	}
	w.servers[0].role = daisypromotion.RolePrimary
	w.lead()
	return w
}

// lead starts a new control leader, as after the loss of the previous one.
func (w *world) lead() {
	w.leader = daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: w.now, LeaseDuration: lease})
	w.pending = nil
}

func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.takeOver()
		w.announce()
		w.heartbeat()
		for _, c := range w.leader.Due(w.now, &w.state) {
			w.index++
			w.state.Apply(w.index, c)
		}
		w.leader.Decided()
		results := w.pending
		w.pending = nil
		for _, r := range results {
			w.leader.RecordResult(w.now, r)
		}
		for _, o := range w.leader.Orders(w.now, &w.state) {
			w.pending = append(w.pending, w.carryOut(o))
		}
	}
}

func (w *world) announce() {
	w.sequence++
	for i, s := range w.servers {
		if s.down || s.cut {
			continue
		}
		w.leader.Announce(w.now, daisypromotion.Announcement{
			ID: s.id, Service: service, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)),
			Started: time.Unix(s.started, 0), Sequence: w.sequence, Leaving: s.leaving, Role: s.role, FailureDomain: s.domain,
		})
	}
}

func (w *world) heartbeat() {
	leadership := w.leadership()
	for _, h := range w.hosts {
		if h.down {
			continue
		}
		b := daisyheartbeat.Heartbeat{
			Host: h.name, Incarnation: h.incarnation, Address: netip.MustParseAddrPort("10.0.1.1:1"), Revision: h.held,
		}
		if h.primaryUnreachable && leadership.Server == w.servers[0].id {
			b.Observations = []daisyheartbeat.Observation{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: service, Term: leadership.Epoch}, Member: leadership.Server}}
		}
		w.leader.Heartbeat(w.now, &w.state, b)
		h.held = w.state.Revision()
	}
}

func (w *world) carryOut(o daisypromotion.Order) daisypromotion.Result {
	r := daisypromotion.Result{Order: o}
	for _, s := range w.servers {
		switch {
		case s.id != o.Server:
			continue
		case o.Kind == daisypromotion.OrderPromote: // The platform is told, not the server.
		case s.down || s.cut:
			continue
		}
		switch o.Kind {
		case daisypromotion.OrderProbe:
			r.Reached, r.Status = true, &daisypromotion.Status{Role: s.role, Term: s.term, Received: daisystatement.Position{Term: s.logTerm, Number: s.number}}
		case daisypromotion.OrderPromote:
			r.Outcome = w.promote(s)
		case daisypromotion.OrderStepDown:
			if s.term < o.Term {
				s.role = daisypromotion.RoleReplica
			}
		}
	}
	return r
}

func (w *world) promote(s *server) daisypromotion.PromotionOutcome {
	if s.refuses || s.down {
		return daisypromotion.PromotionRefused
	}
	if w.unreachable {
		return daisypromotion.PromotionNotSent
	}
	w.promoted = append(w.promoted, s.id)
	if w.promotionTime > 0 {
		w.takeovers = append(w.takeovers, takeover{at: w.now.Add(w.callDelay + w.promotionTime), server: s})
		if w.callDelay > 0 {
			return daisypromotion.PromotionUnknown
		}
		return daisypromotion.PromotionAccepted
	}
	if s.role == daisypromotion.RolePrimary && s.term == w.latestTerm() {
		return daisypromotion.PromotionAccepted
	}
	s.term = w.latestTerm() + 1
	s.role = daisypromotion.RolePrimary
	return daisypromotion.PromotionAccepted
}

// takeOver carries out the promotions that take effect now.
func (w *world) takeOver() {
	w.takeovers = slices.DeleteFunc(w.takeovers, func(t takeover) bool {
		if t.at.After(w.now) {
			return false
		}
		s := t.server
		if s.down || s.role == daisypromotion.RolePrimary && s.term == w.latestTerm() {
			return true
		}
		if primary := w.leadership().Server; primary != "" && primary != s.id {
			w.late = append(w.late, s.id)
		}
		s.term, s.role = w.latestTerm()+1, daisypromotion.RolePrimary
		return true
	})
}

func (w *world) latestTerm() uint64 {
	latest := uint64(0)
	for _, s := range w.servers {
		latest = max(latest, s.term)
	}
	return latest
}

func (w *world) leadership() daisyfleet.Leadership {
	o, _ := w.state.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
	leadership, _ := o.Value.(daisyfleet.Leadership)
	return leadership
}

func TestSuccession(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(w *world)
		primary string
		within  time.Duration
	}{
		{"Nothing", func(*world) {}, "m1", time.Second},
		{"PrimaryLost", func(w *world) {
			w.servers[0].down = true
			w.servers[2].number = 12
			w.setPrimaryUnreachable(true)
		}, "m3", 2 * time.Second},
		{"OneHostCannotReachPrimary", func(w *world) { w.hosts[0].primaryUnreachable = true }, "m1", 3 * time.Second},
		{"PrimaryCutFromAllHosts", func(w *world) { w.setPrimaryUnreachable(true) }, "m2", 2 * time.Second},
		{"PrimaryCutFromLeaderOnly", func(w *world) { w.servers[0].down = true }, "m1", 2 * time.Second},
		{"PrimaryLeaves", func(w *world) { w.servers[0].leaving = true }, "m2", 2 * time.Second},
		{"BestCannotBePromoted", func(w *world) {
			w.servers[0].down = true
			w.servers[1].number, w.servers[1].refuses = 20, true
			w.setPrimaryUnreachable(true)
		}, "m3", 2 * time.Second},
		{"HostLostToo", func(w *world) {
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
			w.hosts[0].down = true
		}, "m2", lease + 2*time.Second},
		{"LeaderLostToo", func(w *world) {
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
			w.advance(300 * time.Millisecond)
			w.lead()
		}, "m2", 3 * time.Second},
		{"LeaderLostAfterPromotion", func(w *world) {
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
			for len(w.promoted) == 0 {
				w.advance(step)
			}
			w.lead()
		}, "m2", 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			w.advance(2 * time.Second)
			assert.Equal(t, w.leadership().Server, "m1")
			test.inject(w)
			w.advance(test.within)
			assert.Equal(t, w.leadership().Server, test.primary)
			assert.Assert(t, len(w.promoted) <= 2, "promoted %v", w.promoted)
		})
	}
}

func (w *world) setPrimaryUnreachable(primaryUnreachable bool) {
	for _, h := range w.hosts {
		h.primaryUnreachable = primaryUnreachable
	}
}

// No server is promoted while a host that is down may still hold a lease on the
// old state.
func TestPromotionWaitsForEveryHost(t *testing.T) {
	w := newWorld(t)
	w.advance(2 * time.Second)
	w.servers[0].down = true
	w.setPrimaryUnreachable(true)
	w.hosts[2].down = true
	failedAt := w.now
	for len(w.promoted) == 0 {
		w.advance(step)
	}
	assert.Assert(t, w.now.Sub(failedAt) >= lease, "promoted after %v", w.now.Sub(failedAt))
}

// A host whose process is killed and restarts does not delay the succession
// until the lease of the old process expires.
func TestRestartedHostDelaysNoSuccession(t *testing.T) {
	w := newWorld(t)
	w.advance(2 * time.Second)
	w.servers[0].down = true
	w.setPrimaryUnreachable(true)
	w.hosts[2].incarnation, w.hosts[2].held = 77, 0
	w.advance(2 * time.Second)
	assert.Equal(t, w.leadership().Server, "m2")
	// The old and the new process of the host are not declared up alternately.
	before := w.index
	w.advance(2 * time.Second)
	assert.Assert(t, w.index-before <= 1, "%d changes", w.index-before)
}

// A replaced primary that comes back is told its successor's term and steps down.
func TestReplacedPrimaryStepsDown(t *testing.T) {
	w := newWorld(t)
	w.advance(2 * time.Second)
	w.servers[0].down = true
	w.setPrimaryUnreachable(true)
	w.advance(2 * time.Second)
	w.setPrimaryUnreachable(false)
	w.servers[0].down = false
	w.advance(time.Second)
	assert.Equal(t, w.servers[0].role, daisypromotion.RoleReplica)
	assert.Equal(t, w.leadership().Server, "m2")
}

// With one synchronous replica, an acknowledged write may be on the one replica
// that does not answer, so the leader waits for it.
func TestPromotionWaitsForSyncReplica(t *testing.T) {
	w := newWorld(t)
	w.leader.SetDesired(w.now, &w.state, daisypromotion.Desired{SyncReplicas: map[string]int{service: 1}})
	w.advance(2 * time.Second)
	w.servers[0].down, w.servers[1].down = true, true
	w.servers[1].number = 11
	w.setPrimaryUnreachable(true)
	w.advance(3 * time.Second)
	assert.Equal(t, len(w.promoted), 0)
	w.servers[1].down = false
	w.advance(2 * time.Second)
	assert.Equal(t, w.leadership().Server, "m2")
}

func TestAnnouncements(t *testing.T) {
	addr, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	a := func(id string, at netip.AddrPort, started, sequence int64, leaving bool) daisypromotion.Announcement {
		return daisypromotion.Announcement{
			ID: id, Service: service, Address: at, Started: time.Unix(started, 0), Sequence: uint64(sequence), Leaving: leaving,
		}
	}
	tests := []struct {
		name  string
		sent  []daisypromotion.Announcement
		leave string
		want  map[string]bool // By server name: whether it is leaving.
	}{
		{"Two", []daisypromotion.Announcement{a("x", addr, 1, 1, false), a("y", other, 1, 1, false)}, "", map[string]bool{"x": false, "y": false}},
		{"DelayedAnnouncement", []daisypromotion.Announcement{a("x", addr, 1, 2, true), a("x", addr, 1, 1, false)}, "", map[string]bool{"x": true}},
		{"Restarted", []daisypromotion.Announcement{a("x", addr, 1, 9, true), a("x", addr, 2, 1, false)}, "", map[string]bool{"x": false}},
		{"AddressReused", []daisypromotion.Announcement{a("x", addr, 1, 1, false), a("y", addr, 2, 1, false)}, "", map[string]bool{"y": false}},
		{"DelayedAnnouncementOfReplacedServer", []daisypromotion.Announcement{a("y", addr, 2, 1, false), a("x", addr, 1, 1, false)}, "", map[string]bool{"y": false}},
		{"LeavingAfterClockJumpedBack", []daisypromotion.Announcement{a("x", addr, 2, 1, false), a("x", addr, 1, 1, true)}, "", map[string]bool{"x": true}},
		{"DelayedLeavingOfEarlierProcess", []daisypromotion.Announcement{a("x", addr, 2, 1, false), a("x", addr, 1, 9, true), a("x", addr, 2, 2, false)}, "", map[string]bool{"x": false}},
		{"LeavingOfEarlierProcessElsewhere", []daisypromotion.Announcement{a("x", addr, 2, 1, false), a("x", other, 1, 9, true)}, "", map[string]bool{"x": false}},
		{"Left", []daisypromotion.Announcement{a("x", addr, 1, 1, true)}, "x", map[string]bool{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: now, LeaseDuration: lease})
			var s daisyfleet.State
			index := uint64(0)
			apply := func() {
				for _, c := range l.Due(now, &s) {
					index++
					s.Apply(index, c)
				}
			}
			for _, a := range test.sent {
				l.Announce(now, a)
				apply()
			}
			if test.leave != "" {
				l.Leave(now, test.leave)
				apply()
				l.Announce(now, test.sent[0]) // Delayed.
				apply()
			}
			got := make(map[string]bool)
			s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
				v, _ := o.Value.(daisyfleet.Server)
				got[o.Name] = v.Leaving
			})
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// The tokens that hosts take in any window stay within the limit while demand
// moves between hosts and hosts restart.
func TestTokensStayWithinTheLimit(t *testing.T) {
	const hosts, window = 6, 5 * time.Second
	limit := daisyquota.WorkspaceLimit{Workspace: "w", Rate: 100, Burst: 100}
	now := time.Unix(1000, 0)
	pool := daisyquota.NewPool(now, limit, hosts)
	buckets := make([]*daisyquota.HostBucket, hosts)
	for i := range buckets {
		buckets[i] = daisyquota.NewHostBucket(now, limit, hosts)
	}
	var taken []time.Time
	for tick := range 6000 {
		now = now.Add(10 * time.Millisecond)
		busy := buckets[tick/500%hosts] // All demand is on one host for 5 s.
		short := false
		for range 5 {
			ok, _ := busy.Take(now)
			if ok {
				taken = append(taken, now)
			}
			short = short || !ok
		}
		if short && tick%6 == 0 { // A host that lacks tokens requests them at once, at most every 60 ms.
			busy.Add(now, pool.Draw(now, busy.Wanted(now, 0)), 0)
		}
		if tick%50 == 0 {
			for _, b := range buckets {
				b.Add(now, pool.Draw(now, b.Wanted(now, 0)), 0)
			}
		}
		if tick%700 == 0 {
			buckets[tick/700%hosts] = daisyquota.NewHostBucket(now, limit, hosts)
		}
	}
	most := (limit.Rate*window.Seconds() + limit.Burst) * 1.1 // 660; the bound in the comment of daisyquota is 640.
	for first, last := 0, 0; last < len(taken); last++ {
		for taken[last].Sub(taken[first]) > window {
			first++
		}
		assert.Assert(t, float64(last-first+1) <= most, "%d in a window, at most %v", last-first+1, most)
	}
	assert.Assert(t, float64(len(taken)) > 0.5*limit.Rate*60, "%d taken", len(taken))
}
