// Package daisycoordinator answers heartbeats and proposals on a control host and
// proposes the control leader's decisions to the log.
package daisycoordinator

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// decideInterval is how often the leader checks for changes that are due.
	decideInterval = 100 * time.Millisecond
	// minDecideInterval is the minimum time between two such checks. When all hosts
	// start, each of their heartbeats asks for a check, and each round of changes is a
	// log entry that is pushed to all of them.
	minDecideInterval = 25 * time.Millisecond
	// decideTimeout is the maximum wait for the outcomes of proposed changes.
	decideTimeout = 5 * time.Second
	// minPushInterval is the minimum time between two pushes of changes over one link.
	minPushInterval = 50 * time.Millisecond
	// leaderCheckInterval is how often a control host looks for a new leader to name to
	// the hosts that wait for one.
	leaderCheckInterval = 20 * time.Millisecond
	// silentHostTimeout is the time without a message after which the link of a host is
	// closed: ten heartbeats. A host that left may be unable to say so.
	silentHostTimeout = 5 * time.Second
)

// Decider makes the control leader's decisions. A new one is made for each term in
// which this host leads. Its methods are not called concurrently.
type Decider interface {
	// Heartbeat records a heartbeat and returns the duration of the lease that it
	// renews, 0 for none.
	Heartbeat(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) time.Duration
	// Due returns the changes that are due by the hosts' reports and the time.
	Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change
	// Decided is called after the changes from Due were proposed and their outcomes
	// awaited.
	Decided()
	// Probes returns the primaries that the host must probe now.
	Probes(now time.Time, s *daisyfleet.State, host string) []daisyheartbeat.Probe
	// Grants returns the tokens granted in answer to a heartbeat's demands.
	Grants(now time.Time, s *daisyfleet.State, b daisyheartbeat.Heartbeat) []daisyheartbeat.Demand
}

// Options configure a Coordinator.
type Options struct {
	Node       *daisyconsensus.Node
	View       *daisyfleet.View // The committed state.
	Self       netip.AddrPort   // Address at which this host serves links.
	NewDecider func(started time.Time, term uint64) Decider
	Log        log.Interface
}

// Coordinator answers the other hosts and, while this host is the control leader,
// decides on changes.
type Coordinator struct {
	node       *daisyconsensus.Node
	view       *daisyfleet.View
	self       netip.AddrPort
	newDecider func(started time.Time, term uint64) Decider
	log        log.Interface
	ctx        context.Context
	cancel     context.CancelFunc
	wait       sync.WaitGroup
	wake       chan struct{}

	links  atomic.Int64  // Links of hosts that are open.
	opened atomic.Uint64 // Links of hosts so far.

	deltas   deltaCache
	observed notifier // Notified when a host reports an observation of a primary.
	elected  notifier // Notified when this host learns of another leader.

	mu        sync.Mutex
	decider   Decider // Nil while this host does not lead.
	term      uint64
	fullState fullState
}

// fullState is an encoded message with the full state at a revision. It is cached
// for restarting hosts, of which there may be hundreds: each is sent this message
// and then a delta with the later changes.
type fullState struct {
	revision uint64
	message  []byte
}

// maxFullStateAge is the maximum age of the cached full state, in revisions.
const maxFullStateAge = 1000

// New returns a coordinator that runs until it is closed.
func New(o Options) *Coordinator {
	c := &Coordinator{node: o.Node, view: o.View, self: o.Self, newDecider: o.NewDecider, log: o.Log, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wait.Go(c.decide)
	c.wait.Go(c.watchLeader)
	return c
}

// watchLeader notifies the links of hosts when this host learns of another leader, so
// that hosts can wait for it without asking again and again.
func (c *Coordinator) watchLeader() {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	var known netip.AddrPort
	for {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		if leader := c.node.Leader(); leader != known {
			known = leader
			if leader.IsValid() {
				c.elected.notify()
			}
		}
	}
}

// currentDecider returns the decider of the current term, or nil if this host does
// not lead; c.mu is held.
func (c *Coordinator) currentDecider(now time.Time) Decider {
	term, ok := c.node.Leads()
	if !ok {
		c.decider = nil
		return nil
	}
	if c.decider == nil || term != c.term {
		c.decider, c.term = c.newDecider(now, term), term
	}
	return c.decider
}

// decide proposes the changes that are due while this host leads.
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
		if !c.pause(c.ctx, minDecideInterval) {
			return
		}
	}
}

// pause waits for the duration. It returns false if ctx ended.
func (c *Coordinator) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Coordinator) due() (changes []daisyfleet.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	decider := c.currentDecider(now)
	if decider == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { changes = decider.Due(now, s) })
	return changes
}

func (c *Coordinator) decided() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decider != nil {
		c.decider.Decided()
	}
}

// propose proposes the changes in one batch, since the loss of a failure domain
// makes hundreds due, and logs their outcomes.
func (c *Coordinator) propose(changes []daisyfleet.Change) {
	ctx, cancel := context.WithTimeout(c.ctx, decideTimeout)
	defer cancel()
	for i := range changes {
		changes[i].At = time.Now()
	}
	decisions, err := c.node.ProposeAll(ctx, changes)
	if err != nil {
		c.log.WithError(err).Warn("control: due changes were not proposed; those still due are proposed again")
		return
	}
	for i, d := range decisions {
		reason := changes[i].Reason
		switch {
		case d.Err != nil:
			c.log.WithError(d.Err).Warn("control: " + reason + ": outcome unknown; proposed again if still due")
		case !d.Outcome.Accepted:
			c.log.Warn("control: " + reason + ": refused, " + d.Outcome.Message)
		default:
			c.log.WithField("revision", d.Outcome.Revision).Info("control: " + reason)
		}
	}
}

// refreshFullState encodes the full state if the cached one is too old; c.mu is held.
func (c *Coordinator) refreshFullState(s *daisyfleet.State) {
	if c.fullState.message != nil && s.Revision()-c.fullState.revision <= maxFullStateAge {
		return
	}
	delta := s.Delta(0)
	c.fullState = fullState{revision: delta.To, message: encodeDelta(&delta)}
}

// answer is the answer to a heartbeat.
type answer struct {
	reply daisyheartbeat.Reply
	leads bool // This host leads, so that the host's state is brought up to date.
}

// controls returns the addresses of the control hosts.
func (c *Coordinator) controls() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, peer := range c.node.Configuration() {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// answerHeartbeat answers a heartbeat.
func (c *Coordinator) answerHeartbeat(b daisyheartbeat.Heartbeat) (a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	decider := c.currentDecider(now)
	if decider == nil {
		a.reply = daisyheartbeat.Reply{ID: b.ID, Leader: c.node.Leader()}
		return a
	}
	a.reply = daisyheartbeat.Reply{ID: b.ID, Leader: c.self}
	controls := c.controls() // Before the view is locked: Node locks the view while it holds its own lock.
	c.view.Read(func(s *daisyfleet.State) {
		a.reply.Lease = decider.Heartbeat(now, s, b)
		a.reply.Probes = decider.Probes(now, s, b.Host)
		if len(b.Demands) > 0 && a.reply.Lease > 0 {
			a.reply.Grants = decider.Grants(now, s, b)
		}
		if b.Revision != s.Revision() {
			a.reply.Controls = controls
		}
		a.leads = true
	})
	if len(b.Observations) > 0 {
		c.observed.notify()
	}
	if a.reply.Lease == 0 || len(b.Takeovers)+len(b.Observations)+len(b.Released)+len(b.HigherTerms) > 0 {
		c.Wake()
	}
	return a
}

// Wake makes the coordinator check for due changes immediately.
func (c *Coordinator) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve answers a host's messages until its link ends.
func (c *Coordinator) Serve(ctx context.Context, link *daisylink.Conn) {
	c.opened.Add(1)
	c.links.Add(1)
	defer c.links.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	state := &replication{coordinator: c, link: link, legacy: link.Protocol() < daisylink.ProtocolLoad}
	wait.Go(func() { c.push(ctx, link, state) })
	defer cancel()
	for {
		message, err := receiveWithin(ctx, link, silentHostTimeout)
		if err != nil {
			return
		}
		m, err := daisycodec.DecodeClientMessage(message)
		if err != nil {
			c.log.WithError(err).WithField("host", link.Peer()).Warn("control: malformed message; closing the link")
			return
		}
		if m.Proposal != nil {
			wait.Go(func() { c.answerProposal(ctx, link, *m.Proposal) })
			continue
		}
		if m.Heartbeat.Host != link.Peer() {
			c.log.WithField("host", link.Peer()).Warn("control: heartbeat names another host than the link; closing the link")
			return
		}
		a := c.answerHeartbeat(*m.Heartbeat)
		if link.Protocol() < daisylink.ProtocolReservation {
			a.reply.Grants = immediate(a.reply.Grants)
		}
		if err := c.sendAnswer(ctx, link, state, a, m.Heartbeat.Revision); err != nil {
			return
		}
		if !a.reply.Leader.IsValid() && (!c.node.Joined() || c.node.Failed() != nil) {
			return // The host then asks another one, which knows the leader sooner.
		}
	}
}

// receiveWithin receives a message. The link is unusable after a timeout.
func receiveWithin(ctx context.Context, link *daisylink.Conn, d time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return link.Receive(ctx)
}

// immediate returns the grants that a host of an earlier protocol understands: those
// whose tokens may be used at once. The others are lost.
func immediate(grants []daisyheartbeat.Demand) (understood []daisyheartbeat.Demand) {
	for _, g := range grants {
		if g.After == 0 && g.Denied == 0 {
			understood = append(understood, g)
		}
	}
	return understood
}

// sendAnswer sends the answer to a heartbeat of a host that states to have the revision.
// Hosts of earlier protocols are sent all that they lack with each answer, since they
// would extend their leases without it.
func (c *Coordinator) sendAnswer(ctx context.Context, link *daisylink.Conn, state *replication, a answer, held uint64) error {
	switch {
	case !a.leads:
		return link.Send(ctx, daisycodec.EncodeHeartbeatReply(a.reply))
	case link.Protocol() >= daisylink.ProtocolReservation:
		return state.answer(ctx, held, a.reply)
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if held == 0 {
		state.sent = 0
		if err := state.update(ctx, 0); err != nil {
			return err
		}
		held = state.sent
	}
	c.view.Read(func(s *daisyfleet.State) {
		if state.sent = s.Revision(); state.sent != held {
			delta := legacyDelta(s.Delta(held))
			a.reply.Delta = &delta
		}
	})
	return link.Send(ctx, daisycodec.EncodeHeartbeatReply(a.reply))
}

// push sends deltas when the state changes, the address of a new leader and, when a host
// reports an observation, probes, between heartbeats.
func (c *Coordinator) push(ctx context.Context, link *daisylink.Conn, state *replication) {
	for {
		changed, observed, elected := c.view.Changed(), c.observed.next(), c.elected.next()
		if _, ok := c.node.Leads(); ok {
			pushed, err := state.push(ctx)
			if err != nil || pushed && !c.pause(ctx, minPushInterval) {
				return
			}
			if pushed {
				continue
			}
		}
		select {
		case <-changed:
		case <-elected:
			if leader := c.node.Leader(); leader.IsValid() {
				_ = link.Send(ctx, daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Leader: leader}))
			}
		case <-observed:
			if probes := c.probes(link.Peer()); len(probes) > 0 {
				_ = link.Send(ctx, daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Probes: probes}))
			}
		case <-ctx.Done():
			return
		}
	}
}

// probes returns the primaries that the host must probe now.
func (c *Coordinator) probes(host string) (probes []daisyheartbeat.Probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	decider := c.currentDecider(now)
	if decider == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { probes = decider.Probes(now, s, host) })
	return probes
}

// answerProposal proposes a host's change to the log and answers with its outcome.
func (c *Coordinator) answerProposal(ctx context.Context, link *daisylink.Conn, p daisycodec.Proposal) {
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

// RunAsLeader calls f with the decider and the committed state if this host is the
// leader with a valid lease. It returns false if it is not.
func (c *Coordinator) RunAsLeader(f func(now time.Time, d Decider, s *daisyfleet.State)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := daisyclock.Now()
	decider := c.currentDecider(now)
	if decider == nil {
		return false
	}
	c.view.Read(func(s *daisyfleet.State) { f(now, decider, s) })
	return true
}

// Links returns how many links of hosts are open, and how many were opened so far.
func (c *Coordinator) Links() (open int64, opened uint64) { return c.links.Load(), c.opened.Load() }

// Events returns the latest changes of the fleet's state, oldest first.
func (c *Coordinator) Events() (events []daisyfleet.Event) {
	c.view.Read(func(s *daisyfleet.State) { events = s.Events() })
	return events
}

// Close stops the coordinator and waits for it to end.
func (c *Coordinator) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}
