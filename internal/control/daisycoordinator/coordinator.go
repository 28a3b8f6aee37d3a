// Package daisycoordinator serves heartbeats and proposals on a control host and
// carries out the decisions of the control leader.
package daisycoordinator

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
)

const (
	// decideInterval is how often the leader looks for decisions that time calls for.
	decideInterval = 100 * time.Millisecond
	// decideTimeout bounds the wait for the outcome of a decision.
	decideTimeout = 5 * time.Second
)

// Decider is what the leader decides by. A new one is made for each term of
// leadership; calls do not overlap.
type Decider interface {
	// Heartbeat notes a heartbeat and returns the lease that it earns, 0 for none.
	Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration
	// Due returns the changes that reports and the passing of time call for.
	Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change
	// Decided tells that the log has decided on the changes that were due.
	Decided()
	// Probes returns the primaries that the host is to probe now.
	Probes(now time.Time, s *daisyfleet.State, host string) []daisyheartbeat.Probe
	// Grants returns the tokens granted in answer to a heartbeat's demands.
	Grants(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) []daisyheartbeat.Demand
}

// Options configure a Council.
type Options struct {
	Node *daisyconsensus.Node
	View *daisyfleet.View // The state that the log has committed.
	Self netip.AddrPort   // Where this host serves links.
	New  func(began time.Time, term uint64) Decider
	Log  log.Interface
}

// Coordinator is the part of a control host that leads, when it does.
type Coordinator struct {
	node   *daisyconsensus.Node
	view   *daisyfleet.View
	self   netip.AddrPort
	begin  func(began time.Time, term uint64) Decider
	log    log.Interface
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	wake   chan struct{}

	doubt broadcast // A host reported what it sees of a primary.

	mu     sync.Mutex
	leader Decider // Nil while this host does not lead.
	term   uint64
	whole  whole
}

// whole is an encoded message with the whole state at a revision. Hosts that
// restart get it, followed by what has changed since, so that the state is not
// encoded anew for each of hundreds.
type whole struct {
	revision uint64
	message  []byte
}

// wholeLife is how many revisions old the encoded whole state may be.
const wholeLife = 1000

// New returns a council that serves and decides until it is closed.
func New(o Options) *Coordinator {
	c := &Coordinator{node: o.Node, view: o.View, self: o.Self, begin: o.New, log: o.Log, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wait.Go(c.decide)
	return c
}

// leading returns the decisions of the present leadership, or nil.
func (c *Coordinator) leading(now time.Time) Decider {
	term, ok := c.node.Leads()
	if !ok {
		c.leader = nil
		return nil
	}
	if c.leader == nil || term != c.term {
		c.leader, c.term = c.begin(now, term), term
	}
	return c.leader
}

// decide proposes what is due while this host leads.
func (c *Coordinator) decide() {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		if due := c.due(); len(due) > 0 {
			c.propose(due)
		}
		c.decided()
	}
}

func (c *Coordinator) due() (changes []daisyfleet.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	leader := c.leading(now)
	if leader == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { changes = leader.Due(now, s) })
	return changes
}

func (c *Coordinator) decided() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil {
		c.leader.Decided()
	}
}

// propose lets the log decide the changes, all at once: the loss of a failure
// domain calls for hundreds.
func (c *Coordinator) propose(changes []daisyfleet.Change) {
	ctx, cancel := context.WithTimeout(c.ctx, decideTimeout)
	defer cancel()
	for i := range changes {
		changes[i].At = time.Now()
	}
	decisions, err := c.node.ProposeAll(ctx, changes)
	if err != nil {
		c.log.WithError(err).Warn("control: changes that are due were not proposed")
		return
	}
	for i, d := range decisions {
		reason := changes[i].Reason
		switch {
		case d.Err != nil:
			c.log.WithError(d.Err).Warn("control: " + reason + ": not decided")
		case !d.Outcome.Accepted:
			c.log.Warn("control: " + reason + ": refused, " + d.Outcome.Message)
		default:
			c.log.WithField("revision", d.Outcome.Revision).Info("control: " + reason)
		}
	}
}

// refreshWhole encodes the whole state if what is held is too old; c.mu is held.
func (c *Coordinator) refreshWhole(s *daisyfleet.State) {
	if c.whole.message != nil && s.Revision()-c.whole.revision <= wholeLife {
		return
	}
	delta := s.Delta(0)
	c.whole = whole{revision: delta.To, message: daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &delta})}
}

// answer is what a heartbeat is answered with.
type answer struct {
	whole []byte // A message to be sent first, if the host holds nothing yet.
	reply daisyheartbeat.Reply
	held  uint64 // The revision that the host then holds; 0 if this host does not lead.
}

// controls returns the addresses of the control hosts.
func (c *Coordinator) controls() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range c.node.Seats() {
		all = append(all, s.Address)
	}
	return all
}

// beat answers a heartbeat.
func (c *Coordinator) beat(b daisyheartbeat.Heartbeat) (a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	leader := c.leading(now)
	if leader == nil {
		a.reply = daisyheartbeat.Reply{ID: b.ID, Leader: c.node.Leader()}
		return a
	}
	a.reply = daisyheartbeat.Reply{ID: b.ID, Leader: c.self}
	controls := c.controls() // The replica is never asked while the state is held.
	c.view.Read(func(s *daisyfleet.State) {
		a.reply.Lease = leader.Heartbeat(now, s, b)
		a.reply.Probes = leader.Probes(now, s, b.Host)
		if len(b.Demands) > 0 && a.reply.Lease > 0 {
			a.reply.Grants = leader.Grants(now, s, b)
		}
		from := b.Revision
		if from == 0 && s.Revision() > 0 {
			c.refreshWhole(s)
			a.whole, from = c.whole.message, c.whole.revision
		}
		if from != s.Revision() {
			delta := s.Delta(from)
			a.reply.Delta = &delta
			a.reply.Controls = controls
		}
		a.held = s.Revision()
	})
	if len(b.Observations) > 0 {
		c.doubt.announce()
	}
	if a.reply.Lease == 0 || len(b.Takeovers)+len(b.Observations)+len(b.Released)+len(b.HigherTerms) > 0 {
		c.Wake()
	}
	return a
}

// Wake makes the leader decide at once.
func (c *Coordinator) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve answers a host on its link.
func (c *Coordinator) Serve(ctx context.Context, link *daisylink.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	held := make(chan uint64, 1)
	wait.Go(func() { c.push(ctx, link, held) })
	defer cancel()
	for {
		message, err := link.Receive(ctx)
		if err != nil {
			return
		}
		u, err := daisycodec.DecodeClientMessage(message)
		if err != nil {
			c.log.WithError(err).WithField("host", link.Peer()).Warn("control: message is not understood")
			return
		}
		if u.Proposal != nil {
			wait.Go(func() { c.decideProposal(ctx, link, *u.Proposal) })
			continue
		}
		if u.Heartbeat.Host != link.Peer() {
			c.log.WithField("host", link.Peer()).Warn("control: host reports under another name")
			return
		}
		a := c.beat(*u.Heartbeat)
		if a.whole != nil && link.Send(ctx, a.whole) != nil {
			return
		}
		if link.Send(ctx, daisycodec.EncodeHeartbeatReply(a.reply)) != nil {
			return
		}
		if !a.reply.Leader.IsValid() && (!c.node.Seated() || c.node.Failed() != nil) {
			return // Another control host hears sooner who leads.
		}
		noteHeld(held, a.held)
	}
}

// noteHeld replaces the revision that the pusher starts from.
func noteHeld(held chan uint64, revision uint64) {
	select {
	case <-held:
	default:
	}
	held <- revision
}

// push sends deltas as the state changes, between heartbeats.
func (c *Coordinator) push(ctx context.Context, link *daisylink.Conn, held <-chan uint64) {
	var from uint64
	for {
		changed, doubted := c.view.Changed(), c.doubt.next()
		if from != 0 && from < c.view.Revision() {
			if _, ok := c.node.Leads(); ok {
				var delta daisyfleet.Delta
				c.view.Read(func(s *daisyfleet.State) { delta = s.Delta(from) })
				if link.Send(ctx, daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &delta})) != nil {
					return
				}
				from = delta.To
			}
		}
		select {
		case <-changed:
		case <-doubted:
			if probes := c.probes(link.Peer()); len(probes) > 0 {
				_ = link.Send(ctx, daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Probes: probes}))
			}
		case from = <-held:
		case <-ctx.Done():
			return
		}
	}
}

// probes returns the primaries that the host is to probe now.
func (c *Coordinator) probes(host string) (probes []daisyheartbeat.Probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	leader := c.leading(now)
	if leader == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { probes = leader.Probes(now, s, host) })
	return probes
}

// decideProposal lets the log decide a proposal and answers it.
func (c *Coordinator) decideProposal(ctx context.Context, link *daisylink.Conn, p daisycodec.Proposal) {
	d := daisycodec.Decision{ID: p.ID}
	p.Change.At = time.Now()
	outcome, err := c.node.Propose(ctx, p.Change)
	if err != nil {
		d.Message = fmt.Sprint(err)
		d.Leader = c.node.Leader()
	} else {
		d.Outcome = &outcome
		c.Wake()
	}
	_ = link.Send(ctx, daisycodec.EncodeDecision(d))
}

// Lead runs f on the decisions and the committed state, if this host leads for
// certain at this moment. It returns false if it does not.
func (c *Coordinator) Lead(f func(now time.Time, d Decider, s *daisyfleet.State)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	leader := c.leading(now)
	if leader == nil {
		return false
	}
	c.view.Read(func(s *daisyfleet.State) { f(now, leader, s) })
	return true
}

// Events returns the latest decisions of the fleet, oldest first.
func (c *Coordinator) Events() (events []daisyfleet.Event) {
	c.view.Read(func(s *daisyfleet.State) { events = s.Events() })
	return events
}

// Close stops deciding and waits for it.
func (c *Coordinator) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}
