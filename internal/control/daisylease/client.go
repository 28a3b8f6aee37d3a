// Package daisylease keeps a host's lease: it sends heartbeats to the control
// leader, follows the leader from host to host and merges the state's deltas.
// The lease is extended only after the state that came with it is merged, so a
// valid lease means that every change accepted before it is in force here.
package daisylease

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// replyTimeout is how long a control host may take to answer a heartbeat.
	replyTimeout = 750 * time.Millisecond
	// orphanTime is how long a control host may know no leader before another is
	// asked: several times what a new link takes, but less than an election.
	orphanTime = 300 * time.Millisecond
	// dialTimeout bounds the opening of a link to a control host. While a machine has
	// no power the request for a connection is lost, and TCP repeats it after 1 s.
	dialTimeout = 250 * time.Millisecond
	// huntInterval is the pause before the next control host is tried.
	huntInterval = 50 * time.Millisecond
	// eagerInterval is the time between heartbeats while the host has no lease: the
	// log decides on a host that reports in within some tens of milliseconds.
	eagerInterval = 60 * time.Millisecond
	// proposeRetry is the pause before a change is proposed again.
	proposeRetry = 100 * time.Millisecond
)

// Link is a connection to a control host.
type Link interface {
	Send(ctx context.Context, message []byte) error
	Receive(ctx context.Context) ([]byte, error)
	Close()
}

// Dial opens a link to a control host.
type Dial func(ctx context.Context, addr netip.AddrPort) (Link, error)

// Options configure a Keeper.
type Options struct {
	Hosts  []netip.AddrPort                // The control hosts.
	Dial   Dial                            // Opens links.
	Report func() daisyheartbeat.Heartbeat // The host's present reports; ID and Revision are filled in.
	Probe  func([]daisyheartbeat.Probe)    // Told of the primaries to probe.
	Grant  func([]daisyheartbeat.Demand)   // Told of granted tokens; may be nil.
	// Eager asks every 60 ms while there is no lease or no leader. It is for fleets
	// in which a process need not wait out the lease of the one before it.
	Eager bool
	View  *daisyfleet.View
	Log   log.Interface
}

// ErrNoLeader is returned if no control leader took a change in time.
var ErrNoLeader = errors.New("no control leader answered")

// Client keeps the lease.
type Client struct {
	Lease

	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	wake    chan struct{}

	mu       sync.Mutex
	link     Link // To the leader, or nil.
	nextID   uint64
	sent     map[uint64]time.Time
	verdicts map[uint64]chan daisycodec.Decision
	answered time.Time
	orphaned time.Time        // Since when the control host knows no leader; zero if it does.
	leader   netip.AddrPort   // As the last control host named it; invalid if it did not.
	controls []netip.AddrPort // As the control hosts said last; empty if they did not.
}

// New returns a keeper that does nothing before Start.
func New(o Options) *Client {
	k := &Client{
		options: o, wake: make(chan struct{}, 1),
		sent: make(map[uint64]time.Time), verdicts: make(map[uint64]chan daisycodec.Decision),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Start begins to send heartbeats.
func (k *Client) Start() { k.wait.Go(k.run) }

// Wake sends the next heartbeat at once, because there is something to report.
func (k *Client) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run connects to one control host after the other.
func (k *Client) run() {
	next := 0
	for k.ctx.Err() == nil {
		addr := k.hint()
		hinted := addr.IsValid()
		if !hinted {
			hosts := k.hosts()
			addr = hosts[next%len(hosts)]
			next++
		}
		if err := k.attend(addr); err != nil {
			k.options.Log.WithError(err).WithField("control", addr).Info("keeper: left control host")
		}
		if !hinted && k.referred(addr) {
			continue // Hosts that refer to each other are asked with pauses.
		}
		select {
		case <-time.After(huntInterval):
		case <-k.ctx.Done():
		}
	}
}

// hint takes the address that the last control host named as the leader's.
func (k *Client) hint() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	addr := k.leader
	k.leader = netip.AddrPort{}
	return addr
}

// referred reports whether a control host other than the one just left was named
// as the leader.
func (k *Client) referred(left netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leader.IsValid() && k.leader != left
}

// hosts returns the control hosts as learned, followed by those configured, so
// that a host finds the fleet also after all of either kind were replaced.
func (k *Client) hosts() []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := slices.Clone(k.controls)
	for _, h := range k.options.Hosts {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// SetHosts replaces the configured control hosts.
func (k *Client) SetHosts(hosts []netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.options.Hosts = hosts
}

// attend sends heartbeats to a control host until it fails or does not lead.
func (k *Client) attend(addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	link, err := k.options.Dial(ctx, addr)
	cancel()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithCancel(k.ctx)
	defer cancel()
	k.setLink(link)
	var receiving sync.WaitGroup
	receiving.Go(func() {
		defer cancel()
		k.receive(ctx, link, addr)
	})
	err = k.beat(ctx, link)
	k.setLink(nil)
	link.Close()
	receiving.Wait()
	return err
}

func (k *Client) setLink(link Link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.link = link
	k.answered, k.orphaned = daisyclock.Now(), time.Time{}
	clear(k.sent)
	for id, verdict := range k.verdicts {
		close(verdict)
		delete(k.verdicts, id)
	}
}

// beat sends heartbeats until the link fails or is not answered.
func (k *Client) beat(ctx context.Context, link Link) error {
	for {
		if err := k.sendBeat(ctx, link); err != nil {
			return err
		}
		timer := time.NewTimer(k.interval())
		select {
		case <-timer.C:
		case <-k.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		k.mu.Lock()
		silent := daisyclock.Now().Sub(k.answered) > replyTimeout
		k.mu.Unlock()
		if silent {
			return errors.New("control host does not answer")
		}
	}
}

// interval returns the time until the next heartbeat.
func (k *Client) interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.options.Eager && (!k.orphaned.IsZero() || !k.Valid()) {
		return eagerInterval
	}
	return daisycontroller.HeartbeatInterval
}

func (k *Client) sendBeat(ctx context.Context, link Link) error {
	b := k.options.Report()
	b.Revision = k.options.View.Revision()
	now := daisyclock.Now()
	k.mu.Lock()
	k.nextID++
	b.ID = k.nextID
	k.sent[b.ID] = now
	k.mu.Unlock()
	return link.Send(ctx, daisycodec.EncodeHeartbeat(b))
}

func (k *Client) receive(ctx context.Context, link Link, addr netip.AddrPort) {
	for {
		message, err := link.Receive(ctx)
		if err != nil {
			return
		}
		d, err := daisycodec.DecodeServerMessage(message)
		if err != nil {
			k.options.Log.WithError(err).Warn("keeper: message is not understood")
			return
		}
		if d.Decision != nil {
			k.decided(*d.Decision)
			continue
		}
		if !k.handle(*d.Reply, addr) {
			return
		}
	}
}

// handle merges a reply and extends the lease. It returns false if the control
// host does not lead.
func (k *Client) handle(r daisyheartbeat.Reply, addr netip.AddrPort) bool {
	if r.Delta != nil {
		err := k.options.View.Update(func(s *daisyfleet.State) error { return s.Merge(*r.Delta) })
		if err != nil {
			return true // The next heartbeat tells the revision held.
		}
		if recalls(*r.Delta) {
			k.Wake()
		}
	}
	if len(r.Probes) > 0 {
		k.options.Probe(r.Probes)
	}
	if r.ID == 0 {
		return true
	}
	if len(r.Grants) > 0 && k.options.Grant != nil {
		k.options.Grant(r.Grants)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(r.Controls) > 0 {
		k.controls = r.Controls
	}
	sent, ok := k.sent[r.ID]
	delete(k.sent, r.ID)
	if !r.Leader.IsValid() && k.options.Eager {
		return k.orphan(daisyclock.Now())
	}
	k.orphaned = time.Time{}
	if r.Leader != addr {
		k.leader = r.Leader
		return false
	}
	k.answered = daisyclock.Now()
	if ok && r.Lease > 0 {
		k.Extend(sent, r.Lease)
	}
	return true
}

// orphan notes that the control host answered without a leader. It reports whether
// to stay with it: it may know one sooner than another link opens. k.mu is held.
func (k *Client) orphan(now time.Time) bool {
	if k.orphaned.IsZero() {
		k.orphaned = now
	}
	k.answered = now
	return now.Sub(k.orphaned) < orphanTime
}

// recalls reports whether somebody waits for this host to hold the delta: between
// two primaries, until no host acts on the state before.
func recalls(d daisyfleet.Delta) bool {
	return slices.ContainsFunc(d.Objects, func(o daisyfleet.Object) bool {
		p, ok := o.Value.(daisyfleet.Leadership)
		return ok && p.Server == ""
	})
}

func (k *Client) decided(d daisycodec.Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if verdict, ok := k.verdicts[d.ID]; ok {
		verdict <- d
		delete(k.verdicts, d.ID)
	}
}

// Propose passes a change to the control leader and returns its outcome. It
// tries until ctx ends; the change's ID makes that safe.
func (k *Client) Propose(ctx context.Context, c daisyfleet.Change) (daisyfleet.Outcome, error) {
	for {
		if d, ok := k.tryPropose(ctx, c); ok {
			return *d.Outcome, nil
		}
		select {
		case <-time.After(proposeRetry):
		case <-ctx.Done():
			return daisyfleet.Outcome{}, errors.Join(ErrNoLeader, ctx.Err())
		}
	}
}

func (k *Client) tryPropose(ctx context.Context, c daisyfleet.Change) (daisycodec.Decision, bool) {
	verdict := make(chan daisycodec.Decision, 1)
	k.mu.Lock()
	link := k.link
	if link == nil {
		k.mu.Unlock()
		return daisycodec.Decision{}, false
	}
	k.nextID++
	id := k.nextID
	k.verdicts[id] = verdict
	k.mu.Unlock()
	if link.Send(ctx, daisycodec.EncodeProposal(daisycodec.Proposal{ID: id, Change: c})) != nil {
		return daisycodec.Decision{}, false
	}
	select {
	case d, ok := <-verdict:
		return d, ok && d.Outcome != nil
	case <-ctx.Done():
		return daisycodec.Decision{}, false
	}
}

// Close stops the keeper and waits for it. The lease runs out by itself.
func (k *Client) Close() error {
	k.cancel()
	k.wait.Wait()
	return nil
}
