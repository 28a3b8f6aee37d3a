// Package daisyconsensus runs a replica of the control log: it saves what the
// replica wants saved, sends its messages, applies what is committed to the
// fleet's state and answers those who proposed changes.
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
	// compactAfter is the number of applied entries after which a snapshot is taken.
	compactAfter = 512
	// joinInterval is how often a newcomer asks for a seat.
	joinInterval = 500 * time.Millisecond
	// reopenInterval is how often a replica whose storage failed tries to begin
	// anew from it. A full disk may have room again at any time.
	reopenInterval = 500 * time.Millisecond
)

// ErrProposalLost is returned for a change whose entry was replaced by another
// leader's: it was not decided, and may be proposed again with the same ID.
var ErrProposalLost = errors.New("the entry of the change was lost with its leader")

// Storage saves the log. Both calls return only when the data is synced.
type Storage interface {
	// Append saves the ballot, if any, and the entries, which replace those
	// saved from the index of the first on.
	Append(ballot *daisylog.HardState, entries []daisylog.Entry) error
	// Replace saves a snapshot and what follows it in place of everything.
	Replace(ballot daisylog.HardState, img daisylog.Snapshot, entries []daisylog.Entry) error
}

// Transport sends messages. It does not block and may lose them.
type Transport interface {
	// Open prepares for messages to the address.
	Open(to netip.AddrPort)
	Send(to netip.AddrPort, m daisylog.Message)
}

// Options configure a Node.
type Options struct {
	Self      daisylog.Peer
	Peers     []netip.AddrPort // The other control hosts, for a newcomer to ask.
	Saved     daisylog.PersistedState
	Storage   Storage
	Transport Transport
	// Reopen reads the storage again after it failed, as a new start of the
	// process would. Without it the replica stays stopped.
	Reopen    func() (Storage, daisylog.PersistedState, error)
	View      *daisyfleet.View
	Random    *rand.Rand
	MaxVoters int // How many replicas may vote; 0 sets no limit.
	Log       log.Interface
}

type waiter struct {
	term   uint64
	answer chan Decision
}

// Node is a running replica.
type Node struct {
	options Options
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	replica  *daisylog.Replica
	waiters  map[uint64]waiter
	known    map[daisylog.ReplicaID]netip.AddrPort // Where senders listen.
	referred netip.AddrPort                        // The leader as another host said; invalid if none did.
	applied  uint64
	failed   error // The storage failed; the node does nothing until it is read again.
	role     daisylog.Role
}

// Open starts a node from what its storage had saved.
func Open(o Options) (n *Node, err error) {
	defer daisyerror.Annotate(&err, "open control log")
	n = &Node{options: o, wake: make(chan struct{}, 1), waiters: make(map[uint64]waiter), known: make(map[daisylog.ReplicaID]netip.AddrPort)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replica = daisylog.New(daisyclock.Now(), o.Saved, o.Random)
	n.replica.SetMaxVoters(o.MaxVoters)
	n.restore(o.Saved.Snapshot)
	for _, s := range n.replica.Configuration() {
		if s.Replica != o.Self.Replica {
			o.Transport.Open(s.Address)
		}
	}
	n.wait.Go(n.run)
	n.wait.Go(n.join)
	return n, nil
}

func (n *Node) restore(img daisylog.Snapshot) {
	n.applied = img.Index
	state := img.State
	state.Revision = img.Index
	_ = n.options.View.Update(func(s *daisyfleet.State) error {
		s.Restore(state)
		return nil
	})
}

// run ticks the replica until the node is closed, and begins anew after its
// storage has failed.
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
			n.with(n.replica.Tick)
		case <-n.wake:
			timer.Stop()
		case <-n.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// reopen waits until the storage can be used again and begins anew from it. It
// returns false if the node is closed or cannot begin anew.
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
			n.options.Log.WithError(err).Warn("quorum: storage cannot be read again")
			continue
		}
		n.mu.Lock()
		n.options.Storage = storage
		n.replica = daisylog.New(daisyclock.Now(), saved, n.options.Random)
		n.replica.SetMaxVoters(n.options.MaxVoters)
		n.restore(saved.Snapshot)
		n.failed = nil
		n.mu.Unlock()
		n.options.Log.Info("quorum: storage is read again, the replica begins anew")
		return true
	}
}

// join asks for a seat until the replica has one.
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

// refer notes the leader that a newcomer is to ask, and asks it. The hosts that
// the newcomer was told of need not include it.
func (n *Node) refer(m daisylog.Message) {
	if m.Peer == nil || !m.Peer.Address.IsValid() {
		return
	}
	n.mu.Lock()
	news := n.referred != m.Peer.Address
	n.referred = m.Peer.Address
	n.mu.Unlock()
	if news && !n.Joined() {
		n.options.Transport.Send(m.Peer.Address, daisylog.Join(n.options.Self))
	}
}

// peers returns the hosts that a newcomer asks for a seat.
func (n *Node) peers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.referred.IsValid() && !slices.Contains(n.options.Peers, n.referred) {
		return append(slices.Clone(n.options.Peers), n.referred)
	}
	return n.options.Peers
}

// SetPeers replaces the control hosts that a newcomer asks.
func (n *Node) SetPeers(peers []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.options.Peers = peers
}

// Joined reports whether the replica has a seat. One without has no part in
// elections and does not hear who leads.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.replica.Configuration() {
		if s.Replica == n.options.Self.Replica {
			return s.Address == n.options.Self.Address
		}
	}
	return false
}

// IsVoter reports whether this replica, not one that its host had before, has a
// vote, as it knows.
func (n *Node) IsVoter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.replica.Configuration(), func(s daisylog.Peer) bool {
		return s.Voting && s.Replica == n.options.Self.Replica
	})
}

// Step handles a message from another replica.
func (n *Node) Step(m daisylog.Message) {
	if m.Kind == daisylog.KindRedirect {
		n.refer(m)
		return
	}
	n.with(func(now time.Time) {
		n.known[m.From] = m.Address
		n.replica.Step(now, m)
	})
}

// with runs f on the replica and carries out what follows from it.
func (n *Node) with(f func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return
	}
	f(daisyclock.Now())
	n.settle()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// settle carries out what the replica wants until there is nothing left.
func (n *Node) settle() {
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
	n.note()
	if n.applied-n.replica.Snapshot().Index >= compactAfter {
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
	for _, s := range n.replica.Configuration() {
		n.known[s.Replica] = s.Address
	}
	for _, m := range messages {
		m.Address = n.options.Self.Address
		if to := n.known[m.To]; to.IsValid() {
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
		n.options.Log.WithFields(log.Fields{"Seats": seatText(e.Configuration), "Revision": e.Index}).Info("quorum: seats changed")
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
		w.answer <- Decision{Err: ErrProposalLost}
		return
	}
	w.answer <- Decision{Outcome: outcome}
}

// dropWaiters answers those whose entries a snapshot has passed over.
func (n *Node) dropWaiters() {
	for index, w := range n.waiters {
		if index <= n.applied {
			delete(n.waiters, index)
			w.answer <- Decision{Err: ErrProposalLost}
		}
	}
}

func (n *Node) compact() {
	var state daisyfleet.Snapshot
	n.options.View.Read(func(s *daisyfleet.State) { state = s.Snapshot() })
	term := n.replica.TermAt(n.applied)
	img := daisylog.Snapshot{Index: n.applied, Term: term, Configuration: n.replica.ConfigurationAt(n.applied), State: state}
	n.replica.Compact(img)
	if err := n.options.Storage.Replace(n.replica.HardState(), img, n.replica.Entries()); err != nil {
		n.fail(err)
	}
}

func (n *Node) fail(err error) {
	n.failed = err
	n.options.Log.WithError(err).Error("quorum: storage failed, the replica stops")
	for index, w := range n.waiters {
		delete(n.waiters, index)
		w.answer <- Decision{Err: err}
	}
}

func (n *Node) note() {
	if role := n.replica.Role(); role != n.role {
		n.role = role
		n.options.Log.WithField("term", n.replica.Term()).Info("quorum: " + roleText(role))
	}
}

// seatText lists seats; those without a vote are in brackets.
func seatText(seats []daisylog.Peer) string {
	var names []string
	for _, s := range seats {
		if s.Voting {
			names = append(names, s.Name)
			continue
		}
		names = append(names, "("+s.Name+")")
	}
	return strings.Join(names, " ")
}

func roleText(r daisylog.Role) string {
	switch r {
	case daisylog.Leader:
		return "leads"
	case daisylog.Candidate, daisylog.PreCandidate:
		return "stands for election"
	}
	return "follows"
}

// Propose appends the change and waits for its outcome. After an error other
// than daisylog.ErrNotLeader the outcome is not known; proposing the change
// again with the same ID yields it.
func (n *Node) Propose(ctx context.Context, c daisyfleet.Change) (o daisyfleet.Outcome, err error) {
	decisions, err := n.ProposeAll(ctx, []daisyfleet.Change{c})
	if err != nil {
		return o, err
	}
	return decisions[0].Outcome, decisions[0].Err
}

// Decision is what became of a proposed change.
type Decision struct {
	Outcome daisyfleet.Outcome
	Err     error // The outcome is not known.
}

// ProposeAll appends the changes together, with one write to the disk, and
// waits for their outcomes.
func (n *Node) ProposeAll(ctx context.Context, changes []daisyfleet.Change) (decisions []Decision, err error) {
	defer daisyerror.Annotate(&err, "propose")
	waiters := make([]waiter, len(changes))
	n.with(func(now time.Time) {
		index, term, proposeErr := n.replica.Propose(now, changes...)
		if err = proposeErr; err != nil {
			return
		}
		for i := range waiters {
			waiters[i] = waiter{term: term, answer: make(chan Decision, 1)}
			n.waiters[index+uint64(i)] = waiters[i]
		}
	})
	if err = errors.Join(err, n.Failed()); err != nil {
		return nil, err
	}
	for _, w := range waiters {
		select {
		case d := <-w.answer:
			decisions = append(decisions, d)
		case <-ctx.Done():
			decisions = append(decisions, Decision{Err: ctx.Err()})
		case <-n.ctx.Done():
			decisions = append(decisions, Decision{Err: ErrProposalLost})
		}
	}
	return decisions, nil
}

// Failed returns the error with which the storage failed, if it did.
func (n *Node) Failed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

// Leads reports whether the replica leads for certain at this moment, and in
// which term.
func (n *Node) Leads() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Term(), n.failed == nil && n.replica.HoldsLease(daisyclock.Now())
}

// Leader returns the address of the leader, if one is known: another host, or
// this one if it leads for certain.
func (n *Node) Leader() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	seat, _ := n.replica.Leader()
	self := seat.Replica == n.options.Self.Replica
	if n.failed != nil || self && !n.replica.HoldsLease(daisyclock.Now()) {
		return netip.AddrPort{}
	}
	return seat.Address
}

// Configuration returns the seats in force.
func (n *Node) Configuration() []daisylog.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Configuration()
}

// Close stops the node and waits for it. A leader resigns, so that the others
// elect the next one at once.
func (n *Node) Close() error {
	n.with(func(now time.Time) { n.replica.Resign(now) })
	n.cancel()
	n.wait.Wait()
	return nil
}
