// Package daisyhost assembles the parts of one host: the entry for clients, the
// holder of databases, the lease client, the replica of the control log on
// control hosts, and the HTTP interface.
package daisyhost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/cluster/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/cluster/daisylease"
	"github.com/daisyglade/daisyglade/internal/cluster/daisyprobe"
	"github.com/daisyglade/daisyglade/internal/cluster/daisystorage"
	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/config/daisysettings"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/entry/daisydialer"
	"github.com/daisyglade/daisyglade/internal/entry/daisyentry"
	"github.com/daisyglade/daisyglade/internal/holder/daisyholder"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/host/daisyops"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
)

// reportCheckInterval is the time between checks whether the holder's reports
// have changed, so that a change does not wait for the next regular heartbeat.
const reportCheckInterval = 50 * time.Millisecond

// Host is one running host.
type Host struct {
	settings    daisysettings.Settings
	network     daisynet.Network
	incarnation uint64
	log         log.Interface
	view        *daisyfleet.View

	mux         daisylink.Mux
	links       *http.Server
	tls         *tls.Config
	dialer      *daisylink.Dialer
	streams     *daisydialer.Streams
	lease       *daisylease.Client
	prober      *daisyprobe.Watcher
	limiter     *daisylimiter.Limiter
	recorder    *daisyburn.Recorder
	granter     *granter
	holder      *daisyholder.Holder
	entry       *daisyentry.Server
	ops         *daisyops.Server
	coordinator *daisycoordinator.Coordinator
	node        *daisyconsensus.Node
	storage     *daisystorage.Storage
	peers       *daisycoordinator.Transport

	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	leaving bool
}

// Bootstrap creates the control log of a new fleet in the host's data folder, with
// this host as its only replica. It must be called once per fleet, on one host.
func Bootstrap(s daisysettings.Settings) error {
	return daisywal.Create(s.DataFolder, daisylog.Bootstrap(newReplica(s)))
}

// newReplica returns the host's replica of the control log, with a random ID that is not 0.
func newReplica(s daisysettings.Settings) daisylog.Peer {
	return daisylog.Peer{Replica: daisylog.ReplicaID(rand.Uint64() | 1), Name: s.Host, Address: s.Link.Advertise}
}

// Open starts a host.
func Open(s daisysettings.Settings, n daisynet.Network, l log.Interface) (h *Host, err error) {
	defer daisyerror.Annotate(&err, "start host %s", s.Host)
	h = &Host{settings: s, network: n, incarnation: rand.Uint64() | 1, log: l.WithField("host", s.Host), view: daisyfleet.NewView()}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	if err := h.open(); err != nil {
		return nil, errors.Join(err, h.Close())
	}
	return h, nil
}

// open starts the parts in the order of their dependencies.
func (h *Host) open() (err error) {
	s := &h.settings
	files := daisycert.Files{Authority: s.Link.Authority, Certificate: s.Link.Certificate, Key: s.Link.Key}
	if h.tls, err = files.Load(); err != nil {
		return err
	}
	h.dialer = daisylink.NewDialer(h.tls, h.network)
	h.streams = daisydialer.New(h.dialer)
	if s.Control.Enabled {
		if err := h.openControl(); err != nil {
			return err
		}
	}
	h.recorder = daisyburn.NewRecorder(h.view)
	publishMetrics(h)
	h.prober = daisyprobe.New(daisymember.Prober{Network: h.network}, h.wake)
	h.lease = daisylease.New(daisylease.Options{
		Hosts: s.Control.Hosts, Dial: h.dialControl, Report: h.heartbeat, Probe: h.prober.Add, View: h.view, Log: h.log,
	})
	h.granter = newGranter(h.dialer)
	h.limiter = daisylimiter.New(daisylimiter.Options{
		Host: s.Host, Incarnation: h.incarnation, View: h.view, Lease: h.lease, Granter: h.granter,
	})
	h.holder = daisyholder.New(daisyholder.Options{
		Host: s.Host, Incarnation: h.incarnation, View: h.view, Lease: h.lease,
		Limiter: h.limiter, Network: h.network, Credentials: credentials(s.Databases), Log: h.log,
	})
	if err := errors.Join(h.openLinks(), h.openEntry(), h.openOperations()); err != nil {
		return err
	}
	h.lease.Start()
	h.wait.Go(h.sendNewReports)
	return nil
}

func (h *Host) openOperations() (err error) {
	s := &h.settings
	h.ops, err = daisyops.Open(daisyops.Options{
		Network: h.network, Listen: s.Operations.Listen, TLS: h.opsTLS(), OperatorToken: s.Operations.OperatorToken,
		AnnounceToken: s.Operations.AnnounceToken, View: h.view, Ready: h.Ready,
		Propose: h.lease.Propose, Status: h.status, Host: s.Host, Log: h.log,
		Burn: h.Burn, Events: h.Events, Route: h.ExplainRoute, HasEvents: h.coordinator != nil,
	})
	return err
}

func credentials(databases []daisysettings.Database) map[string]daisymember.Credentials {
	all := make(map[string]daisymember.Credentials)
	for _, d := range databases {
		all[d.Name] = daisymember.Credentials{User: d.User, Password: d.Password, Database: d.Database}
	}
	return all
}

// openControl starts the replica of the control log. A host without a log in its
// data folder starts with an empty one and asks to join the fleet's replicas.
func (h *Host) openControl() (err error) {
	s := &h.settings
	h.storage = daisystorage.New(daisystorage.Options{Folder: s.DataFolder, Initial: daisystorage.Joining(), Log: h.log})
	h.peers = daisycoordinator.NewTransport(h.dialer)
	committed := daisyfleet.NewView() // What this replica has committed; h.view is filled by the lease client.
	h.node, err = daisyconsensus.Open(daisyconsensus.Options{
		Self:  daisylog.Peer{Name: s.Host, Address: s.Link.Advertise},
		Peers: others(s.Control.Hosts, s.Link.Advertise), Reopen: h.storage.Open, Transport: h.peers,
		View: committed, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: h.log,
	})
	if err != nil {
		return err
	}
	h.coordinator = daisycoordinator.New(daisycoordinator.Options{
		Node: h.node, View: committed, Self: s.Link.Advertise, Log: h.log,
		NewDecider: func(started time.Time, _ uint64) daisycoordinator.Decider { return daisycontroller.NewLeader(started) },
	})
	return nil
}

func others(hosts []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	var all []netip.AddrPort
	for _, a := range hosts {
		if a != self {
			all = append(all, a)
		}
	}
	return all
}

// openLinks listens for links from other hosts and serves them.
func (h *Host) openLinks() error {
	mux := &h.mux
	mux.Handle(daisylink.PathStream, func(ctx context.Context, c *daisylink.Conn) {
		daisydialer.Serve(ctx, c, h.holder)
	})
	mux.Handle(daisylink.PathGrant, func(ctx context.Context, c *daisylink.Conn) {
		serveGrants(ctx, c, h.limiter)
	})
	if h.coordinator != nil {
		mux.Handle(daisylink.PathHeartbeat, h.coordinator.Serve)
		mux.Handle(daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
			daisycoordinator.ServeLog(ctx, c, h.node.Step, h.log)
		})
	}
	listener, err := h.network.Listen(h.ctx, h.settings.Link.Listen)
	if err != nil {
		return err
	}
	h.links = &http.Server{
		Handler: mux, ReadHeaderTimeout: linkHeaderTimeout, ErrorLog: newHTTPLog(h.log),
		BaseContext: func(net.Listener) context.Context { return h.ctx },
	}
	h.wait.Go(func() { _ = h.links.Serve(tls.NewListener(listener, h.tls)) })
	return nil
}

// linkHeaderTimeout bounds the reading of the HTTP header that opens a link.
const linkHeaderTimeout = 5 * time.Second

func (h *Host) openEntry() (err error) {
	s := &h.settings
	var entryTLS *tls.Config
	if s.Entry.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.Entry.Certificate, s.Entry.Key)
		if err != nil {
			return err
		}
		entryTLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	}
	h.entry, err = daisyentry.Open(daisyentry.Options{
		Network: h.network, Listen: s.Entry.Listen, Host: s.Host, TLS: entryTLS, RequireTLS: s.Entry.RequireTLS,
		MaxSessions: s.Entry.MaxSessions, MaxRequestBytes: s.Entry.MaxRequestBytes, View: h.view,
		Lease: h.lease, Holder: h.holder, Streams: h.streams, Recorder: h.recorder, Log: h.log,
	})
	return err
}

// Events returns the latest decisions in the control log, oldest first. It returns
// none on a host without the control log.
func (h *Host) Events() (events []daisyfleet.Event) {
	if h.coordinator != nil {
		events = h.coordinator.Events()
	}
	return events
}

func (h *Host) opsTLS() *tls.Config {
	if h.settings.Operations.Plain {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: h.tls.Certificates}
}

func (h *Host) dialControl(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
	c, err := h.dialer.Dial(ctx, addr, daisylink.PathHeartbeat)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// wake sends the next heartbeat at once.
func (h *Host) wake() { h.lease.Wake() }

// heartbeat returns the content of the next heartbeat.
func (h *Host) heartbeat() daisyheartbeat.Heartbeat {
	s := &h.settings
	b := daisyheartbeat.Heartbeat{
		Host: s.Host, Incarnation: h.incarnation, Address: s.Link.Advertise,
		FailureDomain: s.FailureDomain, Region: s.Region,
	}
	reports := h.holder.Reports()
	b.Takeovers, b.Released, b.HigherTerms = reports.Takeovers, reports.Released, reports.HigherTerms
	b.Observations = append(reports.Observations, h.prober.Observations()...)
	b.Announcements = h.ops.Announcements()
	h.mu.Lock()
	defer h.mu.Unlock()
	b.Leaving = h.leaving
	return b
}

// sendNewReports sends a heartbeat at once when the holder's reports change.
func (h *Host) sendNewReports() {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	var before string
	for {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
		if now := fmt.Sprint(h.holder.Reports()); now != before {
			before = now
			h.lease.Wake()
		}
	}
}

// Ready reports whether the balancer may send clients to this host.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && h.lease != nil && h.lease.Valid()
}

// Leads reports whether the host is certain to lead the control log now.
func (h *Host) Leads() bool {
	if h.node == nil {
		return false
	}
	_, leads := h.node.Leads()
	return leads
}

// Voters returns the number of voting replicas of the control log that this host
// knows of.
func (h *Host) Voters() int {
	if h.node == nil {
		return 0
	}
	voters := 0
	for _, peer := range h.node.Configuration() {
		if peer.Voting {
			voters++
		}
	}
	return voters
}

// IsVoter reports whether the host's replica of the control log has a vote.
func (h *Host) IsVoter() bool { return h.node != nil && h.node.IsVoter() }

// Burn returns the host's request counts, from which burn rates are computed.
func (h *Host) Burn() daisyburn.Report { return h.recorder.Report(h.settings.Host) }

// EntryAddress returns the address that clients connect to.
func (h *Host) EntryAddress() netip.AddrPort { return h.entry.Address() }

// OperationsAddress returns the address of the HTTP interface.
func (h *Host) OperationsAddress() netip.AddrPort { return h.ops.Address() }

// View returns the host's view of the control state.
func (h *Host) View() *daisyfleet.View { return h.view }

func (h *Host) status() daisyops.Status {
	status := daisyops.Status{Host: h.settings.Host, Ready: h.Ready(), Revision: h.view.Revision(), Sessions: h.entry.Sessions(), Holds: h.holder.Databases()}
	status.Evacuations = h.view.Evacuations()
	status.Leads = h.Leads()
	if h.node != nil {
		for _, peer := range h.node.Configuration() {
			status.Seats = append(status.Seats, daisyops.Peer{Name: peer.Name, Address: peer.Address, Voting: peer.Voting})
		}
	}
	return status
}

// Stop stops the host gracefully: readiness fails, running requests and
// transactions finish, the host releases the ownership of its databases, and then
// all parts stop. It takes little longer than the stop limit.
func (h *Host) Stop() error {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.log.Info("host: stopping; draining sessions")
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopLimit)
	defer cancel()
	h.lease.Wake()
	h.entry.Drain(ctx)
	held := h.holder.Holding()
	h.holder.Drain(ctx)
	h.lease.Wake()
	h.awaitHandover(ctx)
	if held {
		awaitLateRequests(ctx)
	}
	return h.Close()
}

// lateRequestTime is how long after a handover requests may arrive from hosts that have
// not learned of it. They are refused as not run.
const lateRequestTime = 250 * time.Millisecond

func awaitLateRequests(ctx context.Context) {
	select {
	case <-time.After(lateRequestTime):
	case <-ctx.Done():
	}
}

// awaitHandover waits until the release of the ownerships has taken effect, that
// is, until the host holds no database.
func (h *Host) awaitHandover(ctx context.Context) {
	for ctx.Err() == nil && h.lease.Valid() && h.holder.Holding() {
		changed := h.view.Changed()
		select {
		case <-changed:
		case <-time.After(reportCheckInterval):
		case <-ctx.Done():
		}
	}
}

// Close stops the host at once and waits until all its parts have stopped.
func (h *Host) Close() error {
	h.cancel()
	var errs []error
	if h.ops != nil {
		errs = append(errs, h.ops.Close())
	}
	if h.entry != nil {
		errs = append(errs, h.entry.Close())
	}
	if h.links != nil {
		errs = append(errs, h.links.Close())
		h.mux.Wait()
	}
	if h.prober != nil {
		errs = append(errs, h.prober.Close())
	}
	if h.lease != nil {
		errs = append(errs, h.lease.Close())
	}
	if h.coordinator != nil {
		errs = append(errs, h.coordinator.Close())
	}
	if h.node != nil {
		errs = append(errs, h.node.Close())
	}
	if h.peers != nil {
		errs = append(errs, h.peers.Close())
	}
	if h.streams != nil {
		errs = append(errs, h.streams.Close())
	}
	if h.limiter != nil {
		errs = append(errs, h.limiter.Close())
		h.granter.close()
	}
	if h.holder != nil {
		errs = append(errs, h.holder.Close())
	}
	if h.storage != nil {
		errs = append(errs, h.storage.Close())
	}
	h.wait.Wait()
	return errors.Join(errs...)
}
