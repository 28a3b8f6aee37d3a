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
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/control/daisywal"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

const (
	// Lease is how long a host may act on the state that it holds. It outlasts
	// the election of a leader, so that the loss of one stops nobody, and is
	// short enough that a succession that must wait out a host ends in time.
	Lease = 3 * time.Second
	// headerTimeout bounds the opening of a link or a call.
	headerTimeout = 5 * time.Second
)

// Promoter has servers promoted by another party.
type Promoter interface {
	// Promote orders a promotion under the fencing token. It asks send, right
	// before it sends the order, whether to go on.
	Promote(ctx context.Context, o daisypromotion.Order, fence uint64, send func() bool) daisypromotion.PromotionOutcome
}

// Prober asks servers directly.
type Prober interface {
	// Reach returns an error if no connection to the server can be opened.
	Reach(ctx context.Context, addr netip.AddrPort) error
	Probe(ctx context.Context, o daisypromotion.Order) (daisypromotion.Status, error)
	StepDown(ctx context.Context, o daisypromotion.Order) error
}

// Options configure a Core.
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

	disk    *daisywal.Log
	peers   *daisycoordinator.Transport
	view    *daisyfleet.View
	node    *daisyconsensus.Node
	council *daisycoordinator.Coordinator
	mux     daisylink.Mux
	links   *http.Server
	wake    chan struct{} // Orders may be due.
}

// Open starts a control host.
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
	saved, err := c.openDisk()
	if err != nil {
		return err
	}
	c.peers = daisycoordinator.NewTransport(daisylink.NewPlainDialer(s.Link.String(), c.options.Network))
	c.node, err = daisyconsensus.Open(daisyconsensus.Options{
		Self:  daisylog.Peer{Replica: saved.Replica, Name: s.Link.String(), Address: s.Link},
		Peers: others(s.Seeds, s.Link), Saved: saved, Storage: c.disk, Transport: c.peers,
		View: c.view, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), MaxVoters: s.Voters(), Log: c.options.Log,
		Reopen: c.reopenDisk,
	})
	if err != nil {
		return err
	}
	c.council = daisycoordinator.New(daisycoordinator.Options{Node: c.node, View: c.view, Self: s.Link, NewDecider: c.lead, Log: c.options.Log})
	if err := c.openLinks(); err != nil {
		return err
	}
	c.wait.Go(c.command)
	return nil
}

// openDisk opens the log of the data folder. If there is none, the host founds
// the fleet together with the other seeds, or is a newcomer.
func (c *ControlHost) openDisk() (saved daisylog.PersistedState, err error) {
	s := &c.options.Settings
	c.disk, saved, err = daisywal.Open(s.DataFolder)
	if !errors.Is(err, daisywal.ErrNotFound) {
		return saved, err
	}
	if err := daisywal.Create(s.DataFolder, beginning(s)); err != nil {
		return saved, err
	}
	c.disk, saved, err = daisywal.Open(s.DataFolder)
	return saved, err
}

// reopenDisk reads the log again after a write failed.
func (c *ControlHost) reopenDisk() (daisyconsensus.Storage, daisylog.PersistedState, error) {
	if c.disk != nil {
		if err := c.disk.Close(); err != nil {
			c.options.Log.WithError(err).Warn("core: control log not closed")
		}
		c.disk = nil
	}
	disk, saved, err := daisywal.Open(c.options.Settings.DataFolder)
	if err != nil {
		return nil, saved, err
	}
	c.disk = disk
	return disk, saved, nil
}

// beginning returns what a host without a log starts from. All founders are
// given the same seeds, so they derive the same seats.
func beginning(s *daisynode.Settings) daisylog.PersistedState {
	if !s.Bootstrap || !slices.Contains(s.Seeds, s.Link) {
		return daisylog.PersistedState{Replica: daisylog.ReplicaID(rand.Uint64() | 1)}
	}
	var seats []daisylog.Peer
	for _, seed := range s.Seeds {
		seats = append(seats, daisylog.Peer{Replica: founder(seed), Name: seed.String(), Address: seed})
	}
	return daisylog.BootstrapGroup(founder(s.Link), seats)
}

// founder returns the identity of the founder at the address.
func founder(addr netip.AddrPort) daisylog.ReplicaID {
	return daisylog.ReplicaID(xxhash.Sum64String(addr.String())&^1 | 2)
}

func others(seeds []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == self })
}

// openLinks serves links from other hosts.
func (c *ControlHost) openLinks() error {
	c.mux.Plain = true
	c.mux.Handle(daisylink.PathHeartbeat, c.council.Serve)
	c.mux.Handle(daisylink.PathLog, func(ctx context.Context, l *daisylink.Conn) {
		daisycoordinator.ServeLog(ctx, l, c.node.Step)
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

// Leads reports whether this host leads for certain.
func (c *ControlHost) Leads() bool {
	_, leads := c.node.Leads()
	return leads
}

// SetSeeds replaces the seeds.
func (c *ControlHost) SetSeeds(seeds []netip.AddrPort) {
	c.node.SetPeers(others(seeds, c.options.Settings.Link))
}

// Close stops the host and waits until nothing of it runs.
func (c *ControlHost) Close() error {
	c.cancel()
	var errs []error
	if c.links != nil {
		errs = append(errs, c.links.Close())
		c.mux.Wait()
	}
	if c.council != nil {
		errs = append(errs, c.council.Close())
	}
	if c.node != nil {
		errs = append(errs, c.node.Close())
	}
	if c.peers != nil {
		errs = append(errs, c.peers.Close())
	}
	if c.disk != nil {
		errs = append(errs, c.disk.Close())
	}
	c.wait.Wait()
	return errors.Join(errs...)
}
