// Package daisyconsensus runs a replica of the control log: it persists the
// replica's state, sends its messages, applies committed entries to the fleet's
// state and returns the outcomes of proposed changes.
package daisyconsensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

const (
	// compactAfterEntries is the number of applied entries after which a snapshot is taken.
	compactAfterEntries = 512
	// joinInterval is how often a replica outside the configuration asks to join.
	joinInterval = 500 * time.Millisecond
	// reopenInterval is how often a replica whose storage failed tries to restart
	// from it. A full disk may have free space again at any time.
	reopenInterval = 500 * time.Millisecond
)

// ErrProposalLost is returned for a change whose outcome this node cannot learn: a
// later leader replaced its entry, a snapshot covers it or the node was closed. The
// change may be proposed again with the same ID.
var ErrProposalLost = errors.New("outcome of the proposed change was lost on this replica")

// Storage persists the log. Both methods return only after the data is synced.
type Storage interface {
	// Append saves the hard state, if it is not nil, and the entries, which replace
	// the saved ones from the index of the first on.
	Append(hardState *daisylog.HardState, entries []daisylog.Entry) error
	// Replace saves the arguments in place of everything saved before.
	Replace(hardState daisylog.HardState, snapshot daisylog.Snapshot, entries []daisylog.Entry) error
}

// Transport sends messages to other replicas. It does not block and may lose
// messages.
type Transport interface {
	// Open starts a connection to the address, so that messages need not wait for it.
	Open(to netip.AddrPort)
	Send(to netip.AddrPort, m daisylog.Message)
}

// Options configure a Node.
type Options struct {
	Self      daisylog.Peer
	Peers     []netip.AddrPort // The control hosts that a joining replica asks.
	Saved     daisylog.PersistedState
	Storage   Storage
	Transport Transport
	// Reopen reads the storage again after a failure, as at a start of the process.
	// If it is nil, the replica stays stopped.
	Reopen    func() (Storage, daisylog.PersistedState, error)
	View      *daisyfleet.View
	Random    *rand.Rand
	MaxVoters int // 0 means no limit.
	Log       log.Interface
}

// waiter waits for the decision on the change whose entry has the term.
type waiter struct {
	term     uint64
	decision chan Decision
}

// Node is a running replica.
type Node struct {
	options Options
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu        sync.Mutex
	replica   *daisylog.Replica
	waiters   map[uint64]waiter                     // By index of the entry.
	addresses map[daisylog.ReplicaID]netip.AddrPort // Addresses at which senders of messages listen.
	redirect  netip.AddrPort                        // Leader's address according to another host; invalid if unknown.
	applied   uint64
	failed    error // Error of the storage; the node stops until Reopen succeeds.
	role      daisylog.Role
}

// Open starts a node from its persisted state.
func Open(o Options) (n *Node, err error) {
	defer daisyerror.Annotate(&err, "open control log")
	n = &Node{options: o, wake: make(chan struct{}, 1), waiters: make(map[uint64]waiter), addresses: make(map[daisylog.ReplicaID]netip.AddrPort)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replica = daisylog.New(daisyclock.Now(), o.Saved, o.Random)
	n.replica.SetMaxVoters(o.MaxVoters)
	n.restore(o.Saved.Snapshot)
	for _, peer := range n.replica.Configuration() {
		if peer.Replica != o.Self.Replica {
			o.Transport.Open(peer.Address)
		}
	}
	n.wait.Go(n.run)
	n.wait.Go(n.join)
	return n, nil
}

func (n *Node) restore(snapshot daisylog.Snapshot) {
	n.applied = snapshot.Index
	state := snapshot.State
	state.Revision = snapshot.Index
	_ = n.options.View.Update(func(s *daisyfleet.State) error {
		s.Restore(state)
		return nil
	})
}

// run ticks the replica until the node is closed and restarts it after its storage
// has failed.
func (n *Node) run() {
	for {
		if n.Failed() != nil && !n.reopen() {
			return
		}
		n.mu.Lock()
		next := n.replica.NextTick()
		n.mu.Unlock()
		timer := time.NewTimer(daisyclock.Until(next))
		select {
		case <-timer.C:
			n.update(n.replica.Tick)
		case <-n.wake:
			timer.Stop()
		case <-n.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// reopen retries until the storage can be read and restarts the replica from it. It
// returns false if the node is closed or has no Reopen function.
func (n *Node) reopen() bool {
	if n.options.Reopen == nil {
		return false
	}
	for {
		select {
		case <-time.After(reopenInterval):
		case <-n.ctx.Done():
			return false
		}
		storage, saved, err := n.options.Reopen()
		if err != nil {
			n.options.Log.WithError(err).Warn("quorum: reopening the storage failed; retrying")
			continue
		}
		n.mu.Lock()
		n.options.Storage = storage
		n.replica = daisylog.New(daisyclock.Now(), saved, n.options.Random)
		n.replica.SetMaxVoters(n.options.MaxVoters)
		n.restore(saved.Snapshot)
		n.failed = nil
		n.mu.Unlock()
		n.options.Log.Info("quorum: storage reopened; the replica restarts from it")
		return true
	}
}

// join asks to be added to the configuration while the replica is not in it.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		if !n.Joined() {
			for _, peer := range n.peers() {
				n.options.Transport.Send(peer, daisylog.Join(n.options.Self))
			}
		}
		select {
		case <-time.After(joinInterval):
		case <-n.ctx.Done():
		}
	}
}

// followRedirect records the leader's address from a redirect and asks that host to
// add the replica. The configured peers need not include the leader.
func (n *Node) followRedirect(m daisylog.Message) {
	if m.Peer == nil || !m.Peer.Address.IsValid() {
		return
	}
	n.mu.Lock()
	changed := n.redirect != m.Peer.Address
	n.redirect = m.Peer.Address
	n.mu.Unlock()
	if changed && !n.Joined() {
		n.options.Transport.Send(m.Peer.Address, daisylog.Join(n.options.Self))
	}
}

// peers returns the control hosts that a joining replica asks.
func (n *Node) peers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.redirect.IsValid() && !slices.Contains(n.options.Peers, n.redirect) {
		return append(slices.Clone(n.options.Peers), n.redirect)
	}
	return n.options.Peers
}

// SetPeers replaces the control hosts that a joining replica asks.
func (n *Node) SetPeers(peers []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.options.Peers = peers
}

// Joined reports whether the configuration contains the replica with its current
// address. A replica outside it takes no part in elections and does not learn who
// leads.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range n.replica.Configuration() {
		if peer.Replica == n.options.Self.Replica {
			return peer.Address == n.options.Self.Address
		}
	}
	return false
}

// IsVoter reports whether this replica is a voter in the latest configuration that
// it knows. A replica that the host had before it lost its disk does not count.
func (n *Node) IsVoter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.replica.Configuration(), func(peer daisylog.Peer) bool {
		return peer.Voting && peer.Replica == n.options.Self.Replica
	})
}

// Step handles a message from another replica.
func (n *Node) Step(m daisylog.Message) {
	if m.Kind == daisylog.KindRedirect {
		n.followRedirect(m)
		return
	}
	n.update(func(now time.Time) {
		n.addresses[m.From] = m.Address
		n.replica.Step(now, m)
	})
}

// update runs f, which changes the replica, and carries out what Ready then returns.
func (n *Node) update(f func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return
	}
	f(daisyclock.Now())
	n.processReady()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// processReady carries out what the replica's Ready returns until it is empty.
func (n *Node) processReady() {
	for {
		ready := n.replica.Ready()
		if ready.Empty() {
			break
		}
		if err := n.save(&ready); err != nil {
			n.fail(err)
			return
		}
		n.replica.Saved(daisyclock.Now())
		n.send(ready.Messages)
		n.apply(&ready)
	}
	n.logRole()
	if n.applied-n.replica.Snapshot().Index >= compactAfterEntries {
		n.compact()
	}
}

func (n *Node) save(r *daisylog.Ready) error {
	if r.Snapshot != nil {
		return n.options.Storage.Replace(n.replica.HardState(), *r.Snapshot, n.replica.Entries())
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	return n.options.Storage.Append(r.HardState, r.Entries)
}

func (n *Node) send(messages []daisylog.Message) {
	for _, peer := range n.replica.Configuration() {
		n.addresses[peer.Replica] = peer.Address
	}
	for _, m := range messages {
		m.Address = n.options.Self.Address
		if to := n.addresses[m.To]; to.IsValid() {
			n.options.Transport.Send(to, m)
		}
	}
}

func (n *Node) apply(r *daisylog.Ready) {
	if r.Snapshot != nil {
		n.restore(*r.Snapshot)
		n.dropWaiters()
	}
	for _, e := range r.Committed {
		n.applyEntry(e)
	}
}

func (n *Node) applyEntry(e daisylog.Entry) {
	if e.Configuration != nil {
		n.options.Log.WithFields(log.Fields{"Seats": formatPeers(e.Configuration), "Revision": e.Index}).Info("quorum: configuration changed")
	}
	var outcome daisyfleet.Outcome
	_ = n.options.View.Update(func(s *daisyfleet.State) error {
		if e.Change == nil {
			s.Skip(e.Index)
			return nil
		}
		outcome = s.Apply(e.Index, *e.Change)
		return nil
	})
	n.applied = e.Index
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		w.decision <- Decision{Err: ErrProposalLost}
		return
	}
	w.decision <- Decision{Outcome: outcome}
}

// dropWaiters answers the waiters whose entries a received snapshot covers.
func (n *Node) dropWaiters() {
	for index, w := range n.waiters {
		if index <= n.applied {
			delete(n.waiters, index)
			w.decision <- Decision{Err: ErrProposalLost}
		}
	}
}

func (n *Node) compact() {
	var state daisyfleet.Snapshot
	n.options.View.Read(func(s *daisyfleet.State) { state = s.Snapshot() })
	term := n.replica.TermAt(n.applied)
	snapshot := daisylog.Snapshot{Index: n.applied, Term: term, Configuration: n.replica.ConfigurationAt(n.applied), State: state}
	n.replica.Compact(snapshot)
	if err := n.options.Storage.Replace(n.replica.HardState(), snapshot, n.replica.Entries()); err != nil {
		n.fail(err)
	}
}

// fail stops the replica until the storage is reopened.
func (n *Node) fail(err error) {
	n.failed = err
	n.options.Log.WithError(err).Error("quorum: storage failed; the replica stops")
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.decision <- Decision{Err: err}
	}
}

// logRole logs the role if it has changed.
func (n *Node) logRole() {
	if role := n.replica.Role(); role != n.role {
		n.role = role
		n.options.Log.WithField("term", n.replica.Term()).Info("quorum: " + formatRole(role))
	}
}

// formatPeers lists the names of the peers, learners in parentheses.
func formatPeers(peers []daisylog.Peer) string {
	var names []string
	for _, peer := range peers {
		if peer.Voting {
			names = append(names, peer.Name)
			continue
		}
		names = append(names, "("+peer.Name+")")
	}
	return strings.Join(names, " ")
}

func formatRole(r daisylog.Role) string {
	switch r {
	case daisylog.Leader:
		return "leads"
	case daisylog.Candidate, daisylog.PreCandidate:
		return "is a candidate"
	}
	return "follows"
}

// Propose appends the change to the log and waits for its outcome. After an error
// other than daisylog.ErrNotLeader the outcome is unknown; proposing the change
// again with the same ID returns it.
func (n *Node) Propose(ctx context.Context, c daisyfleet.Change) (o daisyfleet.Outcome, err error) {
	decisions, err := n.ProposeAll(ctx, []daisyfleet.Change{c})
	if err != nil {
		return o, err
	}
	return decisions[0].Outcome, decisions[0].Err
}

// Decision is the result of a proposed change.
type Decision struct {
	Outcome daisyfleet.Outcome
	Err     error // If not nil, the outcome is unknown.
}

// ProposeAll appends the changes with a single write to the disk and waits for
// their outcomes.
func (n *Node) ProposeAll(ctx context.Context, changes []daisyfleet.Change) (decisions []Decision, err error) {
	defer daisyerror.Annotate(&err, "propose")
	waiters := make([]waiter, len(changes))
	n.update(func(now time.Time) {
		index, term, proposeErr := n.replica.Propose(now, changes...)
		if err = proposeErr; err != nil {
			return
		}
		for i := range waiters {
			waiters[i] = waiter{term: term, decision: make(chan Decision, 1)}
			n.waiters[index+uint64(i)] = waiters[i]
		}
	})
	if err = errors.Join(err, n.Failed()); err != nil {
		return nil, err
	}
	for _, w := range waiters {
		select {
		case d := <-w.decision:
			decisions = append(decisions, d)
		case <-ctx.Done():
			decisions = append(decisions, Decision{Err: ctx.Err()})
		case <-n.ctx.Done():
			decisions = append(decisions, Decision{Err: ErrProposalLost})
		}
	}
	return decisions, nil
}

// Failed returns the storage's error while the node is stopped by one, or nil.
func (n *Node) Failed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

// Leads reports whether the replica is the leader with a valid lease, and returns
// its term.
func (n *Node) Leads() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Term(), n.failed == nil && n.replica.HoldsLease(daisyclock.Now())
}

// Leader returns the address of the leader, if one is known: another host, or this
// one if it holds a valid lease.
func (n *Node) Leader() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	leader, _ := n.replica.Leader()
	self := leader.Replica == n.options.Self.Replica
	if n.failed != nil || self && !n.replica.HoldsLease(daisyclock.Now()) {
		return netip.AddrPort{}
	}
	return leader.Address
}

// Configuration returns the latest configuration that the replica knows.
func (n *Node) Configuration() []daisylog.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Configuration()
}

// Close stops the node and waits for it to end. A leader resigns first, so that
// the others elect a new one without waiting for its lease to expire.
func (n *Node) Close() error {
	n.update(func(now time.Time) { n.replica.Resign(now) })
	n.cancel()
	n.wait.Wait()
	return nil
}
