package daisyhost

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/control/daisybeat"
	"github.com/daisyglade/daisyglade/internal/control/daisycontrol"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyquorum"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
)

const (
	// decideInterval is how often the leader looks for decisions that time calls for.
	decideInterval = 100 * time.Millisecond
	// decideTimeout bounds the wait for the outcome of a decision.
	decideTimeout = 5 * time.Second
)

// control serves heartbeats and proposals on a control host and carries out
// the decisions of the leader.
type control struct {
	node   *daisyquorum.Node
	view   *daisyfleet.View // The state that the log has committed.
	self   netip.AddrPort
	log    log.Interface
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	wake   chan struct{}

	doubt broadcast // A host reported what it sees of a primary.

	mu     sync.Mutex
	leader *daisycontrol.Leader // Nil while this host does not lead.
	term   uint64
}

func newControl(node *daisyquorum.Node, view *daisyfleet.View, self netip.AddrPort, l log.Interface) *control {
	c := &control{node: node, view: view, self: self, log: l, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.wait.Go(c.decide)
	return c
}

// leading returns the decisions of the present leadership, or nil.
func (c *control) leading(now time.Time) *daisycontrol.Leader {
	term, ok := c.node.Leads()
	if !ok {
		c.leader = nil
		return nil
	}
	if c.leader == nil || term != c.term {
		c.leader, c.term = daisycontrol.NewLeader(now), term
	}
	return c.leader
}

// decide proposes what is due while this host leads.
func (c *control) decide() {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		for _, change := range c.due() {
			c.propose(change)
		}
		c.decided()
	}
}

func (c *control) due() (changes []daisyfleet.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	leader := c.leading(now)
	if leader == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { changes = leader.Due(now, s) })
	return changes
}

func (c *control) decided() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil {
		c.leader.Decided()
	}
}

func (c *control) propose(change daisyfleet.Change) {
	ctx, cancel := context.WithTimeout(c.ctx, decideTimeout)
	defer cancel()
	outcome, err := c.node.Propose(ctx, change)
	switch {
	case err != nil:
		c.log.WithError(err).Warn("control: " + change.Reason + ": not decided")
	case !outcome.Accepted:
		c.log.Warn("control: " + change.Reason + ": refused, " + outcome.Message)
	default:
		c.log.WithField("revision", outcome.Revision).Info("control: " + change.Reason)
	}
}

// beat answers a heartbeat.
func (c *control) beat(b daisybeat.Beat) daisybeat.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	leader := c.leading(now)
	if leader == nil {
		return daisybeat.Reply{ID: b.ID, Leader: c.node.Leader()}
	}
	r := daisybeat.Reply{ID: b.ID, Leader: c.self}
	c.view.Read(func(s *daisyfleet.State) {
		r.Lease = leader.Beat(now, s, b)
		r.Probes = leader.Probes(now, s, b.Host)
		if b.Revision != s.Revision() {
			delta := s.Delta(b.Revision)
			r.Delta = &delta
		}
	})
	if len(b.Sights) > 0 {
		c.doubt.announce()
	}
	if r.Lease == 0 || len(b.Claims)+len(b.Sights)+len(b.Released) > 0 {
		c.wakeUp()
	}
	return r
}

func (c *control) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// serve answers a host on its link.
func (c *control) serve(ctx context.Context, link *daisylink.Conn) {
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
		u, err := daisycodec.DecodeUpward(message)
		if err != nil {
			c.log.WithError(err).WithField("host", link.Peer()).Warn("control: message is not understood")
			return
		}
		if u.Proposal != nil {
			wait.Go(func() { c.answer(ctx, link, *u.Proposal) })
			continue
		}
		if u.Beat.Host != link.Peer() {
			c.log.WithField("host", link.Peer()).Warn("control: host reports under another name")
			return
		}
		reply := c.beat(*u.Beat)
		if link.Send(ctx, daisycodec.EncodeReply(reply)) != nil {
			return
		}
		noteHeld(held, c.heldAfter(*u.Beat, reply))
	}
}

func (c *control) heldAfter(b daisybeat.Beat, r daisybeat.Reply) uint64 {
	if r.Delta != nil {
		return r.Delta.To
	}
	return b.Revision
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
func (c *control) push(ctx context.Context, link *daisylink.Conn, held <-chan uint64) {
	var from uint64
	for {
		changed, doubted := c.view.Changed(), c.doubt.next()
		if from != 0 && from < c.view.Revision() {
			if _, ok := c.node.Leads(); ok {
				var delta daisyfleet.Delta
				c.view.Read(func(s *daisyfleet.State) { delta = s.Delta(from) })
				if link.Send(ctx, daisycodec.EncodeReply(daisybeat.Reply{Delta: &delta})) != nil {
					return
				}
				from = delta.To
			}
		}
		select {
		case <-changed:
		case <-doubted:
			if probes := c.probes(link.Peer()); len(probes) > 0 {
				_ = link.Send(ctx, daisycodec.EncodeReply(daisybeat.Reply{Probes: probes}))
			}
		case from = <-held:
		case <-ctx.Done():
			return
		}
	}
}

// probes returns the primaries that the host is to probe now.
func (c *control) probes(host string) (probes []daisybeat.Probe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	leader := c.leading(now)
	if leader == nil {
		return nil
	}
	c.view.Read(func(s *daisyfleet.State) { probes = leader.Probes(now, s, host) })
	return probes
}

// answer decides a proposal.
func (c *control) answer(ctx context.Context, link *daisylink.Conn, p daisycodec.Proposal) {
	d := daisycodec.Decision{ID: p.ID}
	outcome, err := c.node.Propose(ctx, p.Change)
	if err != nil {
		d.Message = fmt.Sprint(err)
		d.Leader = c.node.Leader()
	} else {
		d.Outcome = &outcome
		c.wakeUp()
	}
	_ = link.Send(ctx, daisycodec.EncodeDecision(d))
}

func (c *control) close() {
	c.cancel()
	c.wait.Wait()
}
