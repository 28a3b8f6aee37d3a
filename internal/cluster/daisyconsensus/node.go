// Package daisyconsensus runs a replica of the control log: it persists the
// replica's state, sends its messages, applies committed entries to the fleet's
// state and returns the outcomes of proposed changes.
package daisyconsensus

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
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

// Failed returns the storage's error while the node is stopped by one, or nil.
func (n *Node) Failed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

// Close stops the node and waits for it to end. A leader resigns first, so that
// the others elect a new one without waiting for its lease to expire.
func (n *Node) Close() error {
	n.update(func(now time.Time) { n.replica.Resign(now) })
	n.cancel()
	n.wait.Wait()
	return nil
}
