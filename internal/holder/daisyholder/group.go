package daisyholder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisytakeover"
)

const (
	takeoverRetry   = 200 * time.Millisecond
	takeoverTimeout = 2 * time.Second // For one takeover attempt, and for making a replica follow.
	replicaRetry    = 300 * time.Millisecond
	awaitTimeout    = 500 * time.Millisecond // Longest wait for a change of a replica's log positions.
	probeInterval   = 250 * time.Millisecond
	probeTimeout    = 500 * time.Millisecond
	suspectAfter    = 750 * time.Millisecond // Since the primary's last answer.
	reservedConns   = 2                      // Per member, for control statements and for waiting on its log position.
	confirmTimeout  = 5 * time.Second        // Longest wait until a majority has received a write.
)

// group serves one database group for one term of ownership by this host.
type group struct {
	holder    *Holder
	database  string
	term      uint64
	config    daisyfleet.Database
	ownership daisyfleet.Ownership
	lastHead  daisystream.Position // Last known log position of the previous term's primary; zero if this host did not own the group then.
	log       log.Interface
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu           sync.Mutex
	primary      string
	takeoverNote string
	suspected    bool
	higherTerm   uint64 // The members' term if it is later than the group's, else 0.
	draining     bool
	active       int // Transactions in progress.
	positions    *daisyposition.Tracker
	received     map[string]daisystream.Position // By replica.
	pools        map[string]*pool
	watched      map[string]bool // By member: a goroutine monitors it.
	progress     chan struct{}   // Closed and replaced by notify.
}

func (h *Holder) start(database string, ownership daisyfleet.Ownership, lastHead daisystream.Position) *group {
	config, _ := h.options.View.Database(database)
	g := &group{
		holder:    h,
		database:  database,
		term:      ownership.Term,
		config:    config,
		ownership: ownership,
		lastHead:  lastHead,
		log:       h.options.Log.WithField("database", database).WithField("term", ownership.Term),
		received:  make(map[string]daisystream.Position),
		pools:     make(map[string]*pool),
		watched:   make(map[string]bool),
		progress:  make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(h.ctx)
	g.wait.Go(g.run)
	return g
}

// close stops serving the group: after it, no answer is released.
func (g *group) close() {
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		p.close()
	}
	g.notify()
}

// head returns the latest known log position of the primary, or zero.
func (g *group) head() daisystream.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.positions == nil {
		return g.lastHead
	}
	return g.positions.Head()
}

// notify wakes the goroutines that wait on g.progress. It requires g.mu.
func (g *group) notify() {
	close(g.progress)
	g.progress = make(chan struct{})
}

// run takes the group over, then monitors its members.
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

// takeOver retries until the group has a primary in this term.
func (g *group) takeOver() {
	for g.ctx.Err() == nil {
		changed := g.holder.options.View.Changed()
		err := g.tryTakeOver()
		if err == nil {
			return
		}
		g.log.WithError(err).Warn("holder: takeover attempt failed; retrying")
		select {
		case <-changed:
		case <-time.After(takeoverRetry):
		case <-g.ctx.Done():
		}
	}
}

// anyTerm opens a connection regardless of the member's term.
const anyTerm = 0

// takeoverMember is a member during a takeover. A member at a later term refuses
// connections that state this host's term, so its status is read over a
// connection that states none.
type takeoverMember struct {
	*daisymember.Control
	statusControl *daisymember.Control
}

// Status implements daisytakeover.Member.
func (c takeoverMember) Status(ctx context.Context) (daisytakeover.Status, error) {
	return c.statusControl.Status(ctx)
}

func (c takeoverMember) close() {
	c.Close()
	c.statusControl.Close()
}

func (g *group) tryTakeOver() error {
	ctx, cancel := context.WithTimeout(g.ctx, takeoverTimeout)
	defer cancel()
	plan := daisytakeover.Plan{
		Term:     g.term,
		Majority: g.config.Majority(),
		Primary:  g.ownership.Last,
		Avoid:    g.ownership.Avoid,
		Members:  make(map[string]daisytakeover.Member),
	}
	for name, m := range g.holder.options.View.Members(g.database) {
		c := takeoverMember{Control: g.control(m), statusControl: g.backend().Control(m.Address, anyTerm)}
		defer c.close()
		plan.Members[name] = c
	}
	result, err := daisytakeover.Run(ctx, plan)
	g.mu.Lock()
	defer g.mu.Unlock()
	var higherTerm *daisytakeover.HigherTermError
	if errors.As(err, &higherTerm) {
		g.higherTerm = higherTerm.Term
	}
	if err != nil {
		return err
	}
	g.primary = result.Primary
	g.takeoverNote = fmt.Sprintf("%d of %d members fenced, furthest log at %s", len(result.Fenced), g.config.Members, result.Status.Received)
	if result.LogEnd.Less(g.lastHead) {
		g.takeoverNote += fmt.Sprintf("; writes after %s up to %s may be lost", result.LogEnd, g.lastHead)
	}
	g.positions = daisyposition.New(result.Status.Received)
	g.notify()
	g.log.WithField("primary", result.Primary).Info("holder: took over the database group: " + g.takeoverNote)
	return nil
}

// followMembers starts a monitoring goroutine for every member that has none.
func (g *group) followMembers() {
	members := g.holder.options.View.Members(g.database)
	evacuated := g.holder.options.View.Evacuations()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == "" {
		return
	}
	for name, m := range members {
		if g.pools[name] == nil {
			g.pools[name] = newPool(g, m.Address)
		}
		g.pools[name].setLeaving(m.Leaving || slices.Contains(evacuated, m.FailureDomain))
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

// watchReplica keeps the member replicating from the primary and records its log
// positions.
func (g *group) watchReplica(name string, m daisyfleet.Member, primary netip.AddrPort) {
	control := g.control(m)
	defer control.Close()
	for g.ctx.Err() == nil {
		err := g.followReplica(name, control, primary)
		g.forgetReplica(name)
		if g.ctx.Err() != nil {
			return
		}
		g.log.WithError(err).WithField("member", name).Warn("holder: replica is not following the primary; retrying")
		g.sleep(replicaRetry)
	}
}

func (g *group) followReplica(name string, c *daisymember.Control, primary netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(g.ctx, takeoverTimeout)
	defer cancel()
	if _, err := c.Fence(ctx, g.term); err != nil {
		return err
	}
	status, err := c.Follow(ctx, g.term, primary)
	for err == nil && g.ctx.Err() == nil {
		g.recordReplica(name, status)
		status, err = g.await(c, status)
	}
	return err
}

func (g *group) await(c *daisymember.Control, s daisytakeover.Status) (daisytakeover.Status, error) {
	ctx, cancel := context.WithTimeout(g.ctx, awaitTimeout+probeTimeout)
	defer cancel()
	s, err := c.Await(ctx, s.Received, s.Applied, awaitTimeout)
	if err == nil && s.Term != g.term {
		err = fmt.Errorf("member is at another term: %d", s.Term)
	}
	return s, err
}

func (g *group) recordReplica(name string, s daisytakeover.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[name] = s.Received
	g.positions.RecordApplied(name, s.Applied)
	g.notify()
}

func (g *group) forgetReplica(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.received, name)
	g.positions.Forget(name)
}

// watchPrimary probes the primary and marks it as suspected if it has not
// answered for suspectAfter.
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
		g.setSuspected(time.Since(answered) > suspectAfter)
		g.sleep(probeInterval)
	}
}

func (g *group) setSuspected(suspected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if suspected && !g.suspected {
		g.log.Warn("holder: primary does not answer; reporting it to the control leader")
	}
	g.suspected = suspected
}

// report is a group's part of a heartbeat.
type report struct {
	primary      string // Empty until the group is taken over.
	takeoverNote string
	suspected    bool
	higherTerm   uint64
}

func (g *group) report() report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return report{primary: g.primary, takeoverNote: g.takeoverNote, suspected: g.suspected, higherTerm: g.higherTerm}
}

func (g *group) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.ctx.Done():
	}
}

// confirm waits until a majority of the group has received the log up to p. The
// primary counts towards the majority. It returns false on a timeout or if the
// group is closed.
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

// enter registers a new transaction. If the group accepts none, it returns the
// cause and false.
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

// leaves reports whether the group accepts no more transactions on this host.
func (g *group) leaves() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining || g.ctx.Err() != nil
}

func (g *group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.draining {
		g.notify()
	}
}

// drain makes enter refuse new transactions and waits until those in progress
// have ended or ctx is done.
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
