// Package daisyrouter selects, on one host, the backend server for a statement. It
// tracks which servers a service has, which of them is the leader, how fast and
// how reliably each answers, and the log position of the leader.
package daisyrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
	"github.com/daisyglade/daisyglade/internal/session/daisyselector"
)

const (
	// regionRoundTrip and remoteRoundTrip are the round trips assumed to another
	// failure domain of the same region and to another region.
	regionRoundTrip = 2 * time.Millisecond
	remoteRoundTrip = 25 * time.Millisecond
)

// roundTrips are the round trips assumed, by distance.
var roundTrips = []time.Duration{0, regionRoundTrip, remoteRoundTrip}

// Lease reports whether the host's lease is valid, so that it may act on its copy
// of the fleet's state.
type Lease interface {
	Valid() bool
}

// Forwarder runs statement requests on backend servers.
type Forwarder interface {
	Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error)
}

// Location is where a host or a server runs.
type Location struct {
	FailureDomain string
	Region        string
}

// Options configure a Router.
type Options struct {
	View           *daisyfleet.View
	Lease          Lease
	Forwarder      Forwarder                                      // Runs the requests that sample positions.
	Reach          func(ctx context.Context, server string) error // Returns an error if no connection to the server can be opened.
	GatewayRank    func(server string) int                        // The rank of this host among the server's gateways; -1 if it is none.
	Location       Location
	Regions        map[string]string       // The region of each failure domain.
	OnUnresponsive func()                  // Called when a primary can no longer be reached.
	Costs          daisybalance.Costs      // What it costs to send a read to a server farther away.
	Rand           daisybalance.Rand       // Source of the choices by share; nil for a random one.
	Index          func() *daisyspec.Index // Returns the index of the current desired state, nil before the first; may be nil.
	// Delayed reports whether messages of this host are held up, so that it says nothing
	// about a primary if this host cannot reach it; may be nil.
	Delayed func() bool
}

// Leader identifies the leader of a service: its primary server and the epoch of
// its leadership.
type Leader struct {
	Epoch  uint64
	Server string
}

// Group is a service's servers.
type Group struct {
	Servers []Server
}

// Server is a backend server of a service.
type Server struct {
	Name      string
	Leaving   bool
	Distance  daisybalance.Distance
	RoundTrip time.Duration // Assumed round trip to the server.
	Region    string
	Cold      bool // The control state says that its caches are empty.
}

// service is the router's state of one service.
type service struct {
	tracker     daisyfreshness.Tracker
	used        time.Time // Time of the last use by a session.
	unreachable bool      // The primary of epoch could not be reached at the last attempt.
	epoch       uint64    // The epoch that unreachable refers to.
	sampling    bool
	checking    bool
	checked     time.Time // When the primary was last checked.
	reached     int       // Checks in a row that reached the primary.
}

// Router selects backend servers for the statements of one host. It is safe for
// concurrent use.
type Router struct {
	options   Options
	groups    atomic.Pointer[map[string]Group]
	checks    atomic.Uint64
	unsampled atomic.Uint64
	heldOff   atomic.Uint64
	notAtHome atomic.Uint64

	wake chan struct{} // Receives when a service is to be sampled at once.

	mu             sync.Mutex
	services       map[string]*service
	servers        map[string]*daisyselector.Server
	lastWorkspaces map[string]string       // By server, the workspace that used it last.
	holdOffs       map[HeldClass]time.Time // The ends of the hold-offs.
	balancers      map[balancedClass]*daisybalance.Balancer
	chosen         Chosen
	evacuations    evacuations
	coldReports    map[string]coldReport // By server.
}

// New returns a router of an empty fleet.
func New(o Options) *Router {
	r := &Router{
		options: o, services: make(map[string]*service),
		servers: make(map[string]*daisyselector.Server), lastWorkspaces: make(map[string]string),
		holdOffs: make(map[HeldClass]time.Time), wake: make(chan struct{}, 1), evacuations: newEvacuations(),
		coldReports: make(map[string]coldReport), balancers: make(map[balancedClass]*daisybalance.Balancer),
	}
	if o.Rand == nil {
		r.options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	r.groups.Store(&map[string]Group{})
	return r
}

// Refresh updates the servers from the fleet's state.
func (r *Router) Refresh() {
	groups := make(map[string]Group)
	known := make(map[string]bool) // By server, whether its failure domain is evacuated.
	r.options.View.Read(func(s *daisyfleet.State) {
		s.EachSorted(daisyfleet.KindServer, func(o daisyfleet.Object) {
			v, ok := o.Value.(daisyfleet.Server)
			if !ok {
				return
			}
			known[o.Name] = s.Evacuated(v.FailureDomain)
			g := groups[v.Service]
			d := r.distance(v.FailureDomain)
			g.Servers = append(g.Servers, Server{
				Name: o.Name, Leaving: v.Leaving, Distance: d, RoundTrip: roundTrips[d], Region: r.options.Regions[v.FailureDomain],
				Cold: v.Cold,
			})
			groups[v.Service] = g
		})
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations.update(daisyclock.Now(), known)
	r.groups.Store(&groups)
	for name := range r.servers {
		if _, ok := known[name]; !ok {
			delete(r.servers, name)
			delete(r.lastWorkspaces, name)
			delete(r.coldReports, name)
		}
	}
}

// distance returns how far the failure domain is.
func (r *Router) distance(domain string) daisybalance.Distance {
	switch {
	case domain == r.options.Location.FailureDomain:
		return daisybalance.SameDomain
	case r.options.Regions[domain] == r.options.Location.Region:
		return daisybalance.SameRegion
	}
	return daisybalance.OtherRegion
}

// Group returns the servers of a service.
func (r *Router) Group(name string) Group { return (*r.groups.Load())[name] }

// Leader returns the leader of the service. It returns false if there is none or
// the host's lease is not valid.
func (r *Router) Leader(name string) (Leader, bool) {
	leadership, ok := r.options.View.Leadership(name)
	l := Leader{Epoch: leadership.Epoch, Server: leadership.Server}
	return l, ok && leadership.Server != "" && r.options.Lease.Valid()
}

// Leads reports whether l is still the leader of the service and the host's lease
// is valid.
func (r *Router) Leads(name string, l Leader) bool {
	current, ok := r.Leader(name)
	return ok && current == l
}

// LeadingEpoch returns the epoch in which the server leads the service, or 0 if it
// does not or the host's lease is not valid.
func (r *Router) LeadingEpoch(name, server string) uint64 {
	if l, ok := r.Leader(name); ok && l.Server == server {
		return l.Epoch
	}
	return 0
}

// Epoch returns the epoch of the service's leadership, even while it has no leader.
func (r *Router) Epoch(name string) uint64 {
	leadership, _ := r.options.View.Leadership(name)
	return leadership.Epoch
}

// Changed returns a channel that is closed when the host's view of the fleet
// changes.
func (r *Router) Changed() <-chan struct{} { return r.options.View.Changed() }

func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	return s
}

func (r *Router) server(name string) *daisyselector.Server {
	s := r.servers[name]
	if s == nil {
		s = &daisyselector.Server{}
		r.servers[name] = s
	}
	return s
}

// MinPosition returns the minimum log position of a server for a read that arrived
// at the given time and may be stale by at most age. It returns false if no sample
// is recent enough.
func (r *Router) MinPosition(name string, epoch uint64, arrived time.Time, age time.Duration) (daisystatement.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.used = daisyclock.Now()
	p, ok := s.tracker.MinPosition(epoch, arrived, age)
	if !ok {
		r.unsampled.Add(1)
	}
	return p, ok
}

// NeedPosition makes the sampler ask the service's primary for its position, if the
// latest sample is too old, for a read of the workspace at another host. It asks over a
// connection of a workspace.
func (r *Router) NeedPosition(name, workspace string) {
	leader := r.primary(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(name).used = daisyclock.Now()
	if r.lastWorkspaces[leader] == "" {
		r.lastWorkspaces[leader] = workspace
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Unsampled returns the number of reads so far for which this host had no sample of
// the primary's position that was recent enough.
func (r *Router) Unsampled() uint64 { return r.unsampled.Load() }

// Query describes a read for which a server is to be chosen.
type Query struct {
	Profile     daisyspec.Profile
	Workspace   string
	MinPosition daisystatement.Position // The least log position that the server must have.
	Exclude     []string                // Servers that were tried before.
	Transaction bool                    // The read begins a transaction.
	Home        daisyspec.Home          // Where the read may run.
}

// Choose returns the server that a read goes to. It skips servers that are barred to the
// read or were tried before.
func (r *Router) Choose(q Query) (string, bool) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates, _ := r.candidates(now, q)
	b := r.balancer(q)
	all := b.Update(now, r.options.Costs, q.class(), candidates)
	i := b.Pick(now, r.options.Rand, all)
	if i < 0 {
		return "", false
	}
	r.chosen[all[i].Distance]++
	return all[i].Name, true
}

// primary returns the leader in the host's view of the fleet. The view may be
// outdated if the host's lease has expired, so it serves only for choices that do
// not depend on it.
func (r *Router) primary(name string) string {
	leadership, _ := r.options.View.Leadership(name)
	return leadership.Server
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// ExpectedLatency returns the time in which the server is expected to answer.
func (r *Router) ExpectedLatency(server string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server(server).ExpectedLatency(daisyclock.Now())
}

// Started records that a statement of the workspace was sent to the server.
func (r *Router) Started(server, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Start(daisyclock.Now())
	r.lastWorkspaces[server] = workspace
}

// Ended records whether a statement that was sent at the given time was answered.
func (r *Router) Ended(name, server string, sent time.Time, answered bool) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.server(server).Answered(now, now.Sub(sent))
	} else {
		r.server(server).Failed(now)
	}
	if answered {
		r.markReachable(name, server)
	}
}

// Refused records that a statement was not sent because the server's queue is too
// long.
func (r *Router) Refused(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Refused(daisyclock.Now())
}

// Withdrawn records that a statement was not sent to the server for a reason that says
// nothing about the server.
func (r *Router) Withdrawn(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Withdrawn()
}

// Lagged records that the server's log had not reached the minimum position of a
// read.
func (r *Router) Lagged(server string, minPosition daisystatement.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Lagged(daisyclock.Now(), minPosition)
}

// markReachable records that the server can be reached, if it is the primary. It
// requires r.mu.
func (r *Router) markReachable(name, server string) {
	if leadership, _ := r.options.View.Leadership(name); leadership.Server == server {
		s := r.service(name)
		s.unreachable, s.epoch = false, leadership.Epoch
	}
}

// markUnreachable records that the primary of the epoch cannot be reached. It
// requires r.mu.
func (r *Router) markUnreachable(name string, epoch uint64) {
	s := r.service(name)
	changed := !s.unreachable || s.epoch != epoch
	s.unreachable, s.epoch = true, epoch
	if changed && r.options.OnUnresponsive != nil {
		r.options.OnUnresponsive()
	}
}

// RecordPosition records the log position in an answer of the leader to a request
// that was sent at sentAt.
func (r *Router) RecordPosition(name string, l Leader, sentAt time.Time, p daisystatement.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(name).tracker.Record(l.Epoch, sentAt, p)
}

// Sample returns the latest known position of the service's primary with its epoch
// and age. The epoch is 0 if no position is known.
func (r *Router) Sample(name string) (epoch uint64, p daisystatement.Position, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return 0, p, 0
	}
	epoch, sentAt, p, _ := s.tracker.Latest()
	return epoch, p, daisyclock.Now().Sub(sentAt)
}

// RecordPeerPosition records a position of the epoch's primary that came with the
// answer to a request of another host. The request was sent at sentAt or later.
func (r *Router) RecordPeerPosition(name string, epoch uint64, sentAt time.Time, p daisystatement.Position) {
	r.RecordPosition(name, Leader{Epoch: epoch}, sentAt, p)
}

// Observations returns the primaries that this host cannot reach, for the next
// heartbeat, if it observes their services. In them, Database is a service and Term an
// epoch.
func (r *Router) Observations() []daisyheartbeat.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var observations []daisyheartbeat.Observation
	for name, s := range r.services {
		leadership, ok := r.options.View.Leadership(name)
		if ok && s.unreachable && r.observes(name) && s.epoch == leadership.Epoch && leadership.Server != "" {
			observations = append(observations, daisyheartbeat.Observation{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: name, Term: leadership.Epoch}, Member: leadership.Server})
		}
	}
	return observations
}
