package daisycontrolhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/cluster/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/cluster/daisystorage"
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

const (
	// LeaseDuration is how long a host may act on its copy of the control state. It is
	// longer than the election of a control leader, so that hosts keep serving
	// through an election. It is short enough that the failover of a primary that
	// must wait for a host's lease to expire still ends in time.
	LeaseDuration = 3 * time.Second
	// headerTimeout bounds the reading of the HTTP header that opens a link.
	headerTimeout = 5 * time.Second
)

// Promoter orders the promotion of servers from the platform that runs them.
type Promoter interface {
	// Promote orders a promotion with the fencing token. Right before it sends
	// the order it calls stillLeads, and sends nothing if that returns false.
	Promote(ctx context.Context, o daisypromotion.Order, fencingToken uint64, stillLeads func() bool) daisypromotion.PromotionOutcome
}

// Prober connects to servers.
type Prober interface {
	// Reach returns an error if no connection to the server can be opened.
	Reach(ctx context.Context, addr netip.AddrPort) error
	// Probe returns the server's status.
	Probe(ctx context.Context, o daisypromotion.Order) (daisypromotion.Status, error)
	// StepDown tells a replaced primary to stop acting as the primary.
	StepDown(ctx context.Context, o daisypromotion.Order) error
}

// Options configure a ControlHost.
type Options struct {
	Settings daisynode.Settings
	Network  daisynet.Network
	Promoter Promoter
	Prober   Prober
	Parse    func(content []byte) (*daisyspec.Document, error)
	Log      log.Interface
}

// ControlHost is a running control host.
type ControlHost struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	storage     *daisystorage.Storage
	peers       *daisycoordinator.Transport
	view        *daisyfleet.View
	node        *daisyconsensus.Node
	coordinator *daisycoordinator.Coordinator
	mux         daisylink.Mux
	links       *http.Server
	wake        chan struct{} // Signals that orders may be due.
}

// Open starts a control host. One that cannot use its disk runs too; it takes part once
// it can.
func Open(o Options) (c *ControlHost, err error) {
	defer daisyerror.Annotate(&err, "open control host")
	c = &ControlHost{options: o, view: daisyfleet.NewView(), wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.open(); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *ControlHost) open() (err error) {
	s := &c.options.Settings
	c.storage = daisystorage.New(daisystorage.Options{Folder: s.DataFolder, Initial: initialState(s), Log: c.options.Log})
	c.peers = daisycoordinator.NewTransport(daisylink.NewPlainDialer(s.Link.String(), c.options.Network))
	c.node, err = daisyconsensus.Open(daisyconsensus.Options{
		Self:  daisylog.Peer{Name: s.Link.String(), Address: s.Link},
		Peers: others(s.Seeds, s.Link), Reopen: c.storage.Open, Transport: c.peers,
		View: c.view, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), MaxVoters: s.Voters(), Log: c.options.Log,
	})
	if err != nil {
		return err
	}
	c.coordinator = daisycoordinator.New(daisycoordinator.Options{Node: c.node, View: c.view, Self: s.Link, NewDecider: c.newDecider, Log: c.options.Log})
	if err := c.openLinks(); err != nil {
		return err
	}
	c.wait.Go(c.executeOrders)
	return nil
}

// initialState returns the state that a host without a log starts with. All hosts
// that bootstrap the fleet have the same seeds in their settings, so they derive the
// same initial configuration of the log.
func initialState(s *daisynode.Settings) daisylog.PersistedState {
	if !s.Bootstrap || !slices.Contains(s.Seeds, s.Link) {
		return daisystorage.Joining()
	}
	var peers []daisylog.Peer
	for _, seed := range s.Seeds {
		peers = append(peers, daisylog.Peer{Replica: seedReplicaID(seed), Name: seed.String(), Address: seed})
	}
	return daisylog.BootstrapGroup(seedReplicaID(s.Link), peers)
}

// seedReplicaID returns the replica ID of the seed at the address when it bootstraps
// the fleet. It depends on the address alone, so that all seeds derive the same. It is
// even and thus differs from the random IDs of other hosts, which are odd.
func seedReplicaID(addr netip.AddrPort) daisylog.ReplicaID {
	return daisylog.ReplicaID(xxhash.Sum64String(addr.String())&^1 | 2)
}

func others(seeds []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == self })
}

// openLinks listens for links from other hosts and serves them.
func (c *ControlHost) openLinks() error {
	c.mux.Plain = true
	c.mux.Handle(daisylink.PathHeartbeat, c.coordinator.Serve)
	c.mux.Handle(daisylink.PathLog, func(ctx context.Context, l *daisylink.Conn) {
		daisycoordinator.ServeLog(ctx, l, c.node.Step, c.options.Log)
	})
	listener, err := c.options.Network.Listen(c.ctx, c.options.Settings.Link)
	if err != nil {
		return err
	}
	c.links = &http.Server{
		Handler: &c.mux, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return c.ctx },
	}
	c.wait.Go(func() { _ = c.links.Serve(listener) })
	return nil
}

// Leads reports whether this host is certain to be the leader now.
func (c *ControlHost) Leads() bool {
	_, leads := c.node.Leads()
	return leads
}

// StorageFailed reports whether this host takes no part because it cannot use its log.
func (c *ControlHost) StorageFailed() bool { return c.node.Failed() != nil }

// Links returns how many links of entry hosts are open, and how many were opened so far.
func (c *ControlHost) Links() (open int64, opened uint64) { return c.coordinator.Links() }

// SetSeeds replaces the addresses of the seeds, the hosts that a host contacts
// first.
func (c *ControlHost) SetSeeds(seeds []netip.AddrPort) {
	c.node.SetPeers(others(seeds, c.options.Settings.Link))
}

// Close stops the host and waits until all its parts have stopped. Before, the host hands its
// vote in the control log to one that is to replace it.
func (c *ControlHost) Close() error {
	if c.node != nil {
		c.node.Retire()
	}
	c.cancel()
	var errs []error
	if c.links != nil {
		errs = append(errs, c.links.Close())
		c.mux.Wait()
	}
	if c.coordinator != nil {
		errs = append(errs, c.coordinator.Close())
	}
	if c.node != nil {
		errs = append(errs, c.node.Close())
	}
	if c.peers != nil {
		errs = append(errs, c.peers.Close())
	}
	if c.storage != nil {
		errs = append(errs, c.storage.Close())
	}
	c.wait.Wait()
	return errors.Join(errs...)
}
