package daisyholder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisymember"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisytakeover"
)

const (
	takeoverRetry  = 200 * time.Millisecond
	takeoverLimit  = 2 * time.Second // Bounds one attempt to take a group over.
	replicaRetry   = 300 * time.Millisecond
	awaitTimeout   = 500 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	suspectAfter   = 750 * time.Millisecond // Without an answer from the primary.
	reservedConns  = 2                      // Per member, for control and for waiting on its log.
	confirmTimeout = 5 * time.Second        // Longest wait for a majority to hold a write.
)

// group is one database group during one tenure of this host.
type group struct {
	holder   *Holder
	database string
	term     uint64
	config   daisyfleet.Database
	previous daisyfleet.Ownership
	lastHead daisystream.Position // How far this host saw the primary of the term before; zero if it did not hold it.
	log      log.Interface
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu        sync.Mutex
	primary   string
	note      string
	suspected bool
	outranked uint64 // The term that the members are at, if it is later than ours.
	draining  bool
	active    int
	ledger    *daisyposition.Tracker
	received  map[string]daisystream.Position
	pools     map[string]*pool
	watched   map[string]bool
	progress  chan struct{} // Closed when any of the above changes.
}

func (h *Holder) start(database string, t daisyfleet.Ownership, lastHead daisystream.Position) *group {
	config, _ := h.options.View.Database(database)
	g := &group{
		holder:   h,
		database: database,
		term:     t.Term,
		config:   config,
		previous: t,
		lastHead: lastHead,
		log:      h.options.Log.WithField("database", database).WithField("term", t.Term),
		received: make(map[string]daisystream.Position),
		pools:    make(map[string]*pool),
		watched:  make(map[string]bool),
		progress: make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(h.ctx)
	g.wait.Go(g.run)
	return g
}

// close ends the tenure on this host: nothing more is acknowledged.
func (g *group) close() {
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.close()
	}
	g.notify()
}

// head returns the furthest known position of the primary, or zero.
func (g *group) head() daisystream.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil {
		return g.lastHead
	}
	return g.ledger.Head()
}

// notify wakes waiters; g.mu is held.
func (g *group) notify() {
	close(g.progress)
	g.progress = make(chan struct{})
}

// run takes the group over, then follows its members.
func (g *group) run() {
	g.takeOver()
	for g.ctx.Err() == nil {
		changed := g.holder.options.View.Changed()
		g.followMembers()
		select {
		case <-changed:
		case <-g.ctx.Done():
		}
	}
}

func (g *group) backend() daisymember.Backend {
	o := &g.holder.options
	return daisymember.Backend{Network: o.Network, Credentials: o.Credentials[g.database]}
}

func (g *group) control(m daisyfleet.Member) *daisymember.Control {
	return g.backend().Control(m.Address, g.term)
}

// takeOver tries until the group has a primary of this term.
func (g *group) takeOver() {
	for g.ctx.Err() == nil {
		changed := g.holder.options.View.Changed()
		err := g.tryTakeOver()
		if err == nil {
			return
		}
		g.log.WithError(err).Warn("holder: takeover not possible yet")
		select {
		case <-changed:
		case <-time.After(takeoverRetry):
		case <-g.ctx.Done():
		}
	}
}

// anyTerm lets a connection be opened whatever the term of the member is.
const anyTerm = 0

// contender is a member during a takeover. A member at a later term refuses
// connections of ours, so it is asked for its term on one without a term.
type contender struct {
	*daisymember.Control
	look *daisymember.Control
}

// Status implements daisytakeover.Member.
func (c contender) Status(ctx context.Context) (daisytakeover.Status, error) {
	return c.look.Status(ctx)
}

func (c contender) close() {
	c.Close()
	c.look.Close()
}

func (g *group) tryTakeOver() error {
	ctx, cancel := context.WithTimeout(g.ctx, takeoverLimit)
	defer cancel()
	plan := daisytakeover.Plan{
		Term:     g.term,
		Majority: g.config.Majority(),
		Primary:  g.previous.Last,
		Avoid:    g.previous.Avoid,
		Members:  make(map[string]daisytakeover.Member),
	}
	for name, m := range g.holder.options.View.Members(g.database) {
		c := contender{Control: g.control(m), look: g.backend().Control(m.Address, anyTerm)}
		defer c.close()
		plan.Members[name] = c
	}
	result, err := daisytakeover.Run(ctx, plan)
	g.mu.Lock()
	defer g.mu.Unlock()
	var outranked *daisytakeover.HigherTermError
	if errors.As(err, &outranked) {
		g.outranked = outranked.Term
	}
	if err != nil {
		return err
	}
	g.primary = result.Primary
	g.note = fmt.Sprintf("%d of %d members fenced, furthest log at %s", len(result.Fenced), g.config.Members, result.Status.Received)
	if result.LogEnd.Less(g.lastHead) {
		g.note += fmt.Sprintf("; writes after %s up to %s may be lost", result.LogEnd, g.lastHead)
	}
	g.ledger = daisyposition.New(result.Status.Received)
	g.notify()
	g.log.WithField("primary", result.Primary).Info("holder: took over, " + g.note)
	return nil
}

// followMembers starts a watch for every member that has none.
func (g *group) followMembers() {
	members := g.holder.options.View.Members(g.database)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == "" {
		return
	}
	for name, m := range members {
		if g.pools[name] == nil {
			g.pools[name] = newPool(g, m.Address)
		}
		g.pools[name].setLeaving(m.Leaving)
		if g.watched[name] {
			continue
		}
		g.watched[name] = true
		if name == g.primary {
			g.wait.Go(func() { g.watchPrimary(m) })
			continue
		}
		primary := members[g.primary].Address
		g.wait.Go(func() { g.watchReplica(name, m, primary) })
	}
}

// watchReplica keeps the member replicating and follows its log.
func (g *group) watchReplica(name string, m daisyfleet.Member, primary netip.AddrPort) {
	control := g.control(m)
	defer control.Close()
	for g.ctx.Err() == nil {
		err := g.followReplica(name, control, primary)
		g.forgetReplica(name)
		if g.ctx.Err() != nil {
			return
		}
		g.log.WithError(err).WithField("member", name).Warn("holder: replica is not following")
		g.sleep(replicaRetry)
	}
}

func (g *group) followReplica(name string, c *daisymember.Control, primary netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(g.ctx, takeoverLimit)
	defer cancel()
	if _, err := c.Fence(ctx, g.term); err != nil {
		return err
	}
	status, err := c.Follow(ctx, g.term, primary)
	for err == nil && g.ctx.Err() == nil {
		g.noteReplica(name, status)
		status, err = g.await(c, status)
	}
	return err
}

func (g *group) await(c *daisymember.Control, s daisytakeover.Status) (daisytakeover.Status, error) {
	ctx, cancel := context.WithTimeout(g.ctx, awaitTimeout+probeTimeout)
	defer cancel()
	s, err := c.Await(ctx, s.Received, s.Applied, awaitTimeout)
	if err == nil && s.Term != g.term {
		err = fmt.Errorf("member is at term %d", s.Term)
	}
	return s, err
}

func (g *group) noteReplica(name string, s daisytakeover.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[name] = s.Received
	g.ledger.RecordApplied(name, s.Applied)
	g.notify()
}

func (g *group) forgetReplica(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.received, name)
	g.ledger.Forget(name)
}

// watchPrimary probes the primary and suspects it when it does not answer.
func (g *group) watchPrimary(m daisyfleet.Member) {
	control := g.control(m)
	defer control.Close()
	answered := time.Now()
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		status, err := control.Status(ctx)
		cancel()
		if err == nil && status.Primary && status.Term == g.term {
			answered = time.Now()
		}
		g.suspect(time.Since(answered) > suspectAfter)
		g.sleep(probeInterval)
	}
}

func (g *group) suspect(suspected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if suspected && !g.suspected {
		g.log.Warn("holder: primary does not answer")
	}
	g.suspected = suspected
}

// report is what a heartbeat says of a group.
type report struct {
	primary   string // Empty until the group is taken over.
	note      string
	suspected bool
	outranked uint64
}

func (g *group) report() report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return report{primary: g.primary, note: g.note, suspected: g.suspected, outranked: g.outranked}
}

func (g *group) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.ctx.Done():
	}
}

// confirm waits until a majority of the group holds the position. The primary
// itself counts as one.
func (g *group) confirm(ctx context.Context, p daisystream.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		holding := 1
		for _, r := range g.received {
			if r.Term == g.term && !r.Less(p) {
				holding++
			}
		}
		progress := g.progress
		g.mu.Unlock()
		if holding >= g.config.Majority() {
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		case <-g.ctx.Done():
			return false
		}
	}
}

// enter counts a transaction in. It returns false if the group takes no new
// ones, with the cause.
func (g *group) enter() (daisystream.Cause, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining || g.ctx.Err() != nil:
		return daisystream.CauseMoved, false
	case g.primary == "" || g.pools[g.primary] == nil:
		return daisystream.CauseFailover, false
	}
	g.active++
	return daisystream.CauseNone, true
}

func (g *group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.draining {
		g.notify()
	}
}

// drain refuses new transactions and waits for those under way.
func (g *group) drain(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for g.active > 0 && ctx.Err() == nil {
		progress := g.progress
		g.mu.Unlock()
		select {
		case <-progress:
		case <-ctx.Done():
		}
		g.mu.Lock()
	}
}
