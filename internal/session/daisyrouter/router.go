// Package daisyrouter knows, on one host, which backend servers a service has,
// which of them leads, what each is fit for, and how fresh its answers are.
package daisyrouter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
	"github.com/daisyglade/daisyglade/internal/session/daisyselector"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// nearTrip and farTrip are the round trips assumed to another failure domain
	// of the same region and to another region, until answers are observed.
	nearTrip = 2 * time.Millisecond
	farTrip  = 25 * time.Millisecond
)

// Lease tells whether the host may act on the state that it holds.
type Lease interface {
	Valid() bool
}

// Forwarder has errands run on backend servers.
type Forwarder interface {
	Run(e daisygateway.StatementRequest) (daisystatement.Answer, daisygateway.PinnedConn, error)
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
	Forwarder      Forwarder                                      // Runs samples.
	Reach          func(ctx context.Context, server string) error // Returns an error if the server cannot be reached.
	IsGateway      func(server string) bool                       // Whether this host is the server's gateway.
	Location       Location
	Regions        map[string]string // The region of each failure domain.
	OnUnresponsive func()            // Called when a primary stops answering.
}

// Leader is who leads a service, as held at one moment.
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
	RoundTrip time.Duration
}

// service is what the router follows of one service.
type service struct {
	tracker  daisyfreshness.Tracker
	used     time.Time // When a session used it last.
	silent   bool      // The primary of the round could not be reached last.
	round    uint64    // Which silent is about.
	sampling bool
	checking bool
	checked  time.Time // When the primary was last checked.
}

// Router is safe for concurrent use.
type Router struct {
	options Options
	groups  atomic.Pointer[map[string]Group]

	mu       sync.Mutex
	services map[string]*service
	servers  map[string]*daisyselector.Server
	owners   map[string]string // The workspace that used a server last.
}

// New returns a router of an empty fleet.
func New(o Options) *Router {
	r := &Router{
		options: o, services: make(map[string]*service),
		servers: make(map[string]*daisyselector.Server), owners: make(map[string]string),
	}
	r.groups.Store(&map[string]Group{})
	return r
}

// Refresh takes over the servers that the fleet's state holds.
func (r *Router) Refresh() {
	groups := make(map[string]Group)
	known := make(map[string]bool)
	r.options.View.Read(func(s *daisyfleet.State) {
		s.EachSorted(daisyfleet.KindServer, func(o daisyfleet.Object) {
			v, ok := o.Value.(daisyfleet.Server)
			if !ok {
				return
			}
			known[o.Name] = true
			g := groups[v.Service]
			g.Servers = append(g.Servers, Server{Name: o.Name, Leaving: v.Leaving, RoundTrip: r.base(v.FailureDomain)})
			groups[v.Service] = g
		})
	})
	r.groups.Store(&groups)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.servers {
		if !known[name] {
			delete(r.servers, name)
			delete(r.owners, name)
		}
	}
}

func (r *Router) base(domain string) time.Duration {
	switch {
	case domain == r.options.Location.FailureDomain:
		return 0
	case r.options.Regions[domain] == r.options.Location.Region:
		return nearTrip
	}
	return farTrip
}

// Group returns the servers of a service.
func (r *Router) Group(name string) Group { return (*r.groups.Load())[name] }

// Leader returns who leads the service, or false if nobody does or the host may
// not act on what it holds.
func (r *Router) Leader(name string) (Leader, bool) {
	p, ok := r.options.View.Leadership(name)
	l := Leader{Epoch: p.Epoch, Server: p.Server}
	return l, ok && p.Server != "" && r.options.Lease.Valid()
}

// Leads reports whether the leader still leads, as far as the host may say so.
func (r *Router) Leads(name string, l Leader) bool {
	now, ok := r.Leader(name)
	return ok && now == l
}

// Epoch returns the round of the service's primacy, also during a succession.
func (r *Router) Epoch(name string) uint64 {
	p, _ := r.options.View.Leadership(name)
	return p.Epoch
}

// Changed returns a channel that is closed when the held state changes.
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

// MinPosition returns the position that a log must have reached for reads of the
// service that may be as old as the age when they arrive.
func (r *Router) MinPosition(name string, round uint64, arrived time.Time, age time.Duration) (daisystatement.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.used = daisyclock.Now()
	return s.tracker.MinPosition(round, arrived, age)
}

// Choose returns the server that is expected to answer a read that needs the
// floor first, among those that are not leaving and not in the list.
func (r *Router) Choose(name string, floor daisystatement.Position, not []string) (string, bool) {
	leader := r.primary(name)
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []daisyselector.Candidate
	for _, s := range r.Group(name).Servers {
		if s.Leaving || contains(not, s.Name) {
			continue
		}
		c := r.server(s.Name)
		c.RoundTrip = s.RoundTrip
		candidates = append(candidates, daisyselector.Candidate{Name: s.Name, Server: c, Primary: s.Name == leader})
	}
	best := daisyselector.Best(now, floor, candidates)
	if best < 0 {
		return "", false
	}
	return candidates[best].Name, true
}

// primary returns the server that leads as far as the host knows, which may
// have lost its lease: for choices that do not depend on it.
func (r *Router) primary(name string) string {
	p, _ := r.options.View.Leadership(name)
	return p.Server
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
	return r.server(server).ExpectedLatency(daisyclock.Now(), false)
}

// Started notes that a statement of the workspace was sent to the server.
func (r *Router) Started(server, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Start(daisyclock.Now())
	r.owners[server] = workspace
}

// Ended notes how a statement that was sent at the time ended: answered, or
// not.
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
		r.reached(name, server)
	}
}

// Refused notes that a statement was not sent because too much waits for the
// server.
func (r *Router) Refused(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Refused(daisyclock.Now())
}

// Lagged notes that the server's log had not reached the floor of a read.
func (r *Router) Lagged(server string, floor daisystatement.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(server).Lagged(daisyclock.Now(), floor)
}

// reached notes that a server can be reached, if it is the primary.
func (r *Router) reached(name, server string) {
	if p, _ := r.options.View.Leadership(name); p.Server == server {
		s := r.service(name)
		s.silent, s.round = false, p.Epoch
	}
}

// missed notes that the primary of the round cannot be reached.
func (r *Router) missed(name string, round uint64) {
	s := r.service(name)
	news := !s.silent || s.round != round
	s.silent, s.round = true, round
	if news && r.options.OnUnresponsive != nil {
		r.options.OnUnresponsive()
	}
}

// RecordPosition records the position in an answer of the leader that was asked at the
// time.
func (r *Router) RecordPosition(name string, l Leader, asked time.Time, p daisystatement.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(name).tracker.Record(l.Epoch, asked, p)
}

// Sample returns the latest position of the service's primary that this host
// knows, with its round and its age; round 0 if it knows none.
func (r *Router) Sample(name string) (round uint64, p daisystatement.Position, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return 0, p, 0
	}
	round, asked, p, _ := s.tracker.Latest()
	return round, p, daisyclock.Now().Sub(asked)
}

// RecordPeerPosition notes a position of the primary of the round that another host knows.
// The primary was asked at the time or later.
func (r *Router) RecordPeerPosition(name string, round uint64, asked time.Time, p daisystatement.Position) {
	r.RecordPosition(name, Leader{Epoch: round}, asked, p)
}

// Observations returns the primaries that this host cannot reach.
func (r *Router) Observations() []daisyheartbeat.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sights []daisyheartbeat.Observation
	for name, s := range r.services {
		p, ok := r.options.View.Leadership(name)
		if ok && s.silent && s.round == p.Epoch && p.Server != "" {
			sights = append(sights, daisyheartbeat.Observation{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: name, Term: p.Epoch}, Member: p.Server})
		}
	}
	return sights
}
