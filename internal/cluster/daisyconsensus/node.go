// Package daisyconsensus runs a replica of the control log: it persists the
// replica's state, sends its messages, applies committed entries to the fleet's
// state and returns the outcomes of proposed changes.
package daisyconsensus

import (
	"context"
	"errors"
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
	// failureLogInterval is how often the same failure to open the storage is logged.
	failureLogInterval = 10 * time.Second
	// hangInterval is the time after which a disk that does not answer is logged.
	hangInterval = time.Second
	// retireTimeout bounds the time that Retire takes. It allows an election and slow syncs of
	// two changes of the configuration, and leaves two of the 6 s in which users end a process.
	retireTimeout = 4 * time.Second
	// retireInterval is the time between two steps of Retire: two round trips between hosts
	// of a region, and a sync.
	retireInterval = 20 * time.Millisecond
	// closeTimeout bounds the wait for a disk that does not answer when the node is closed.
	closeTimeout = 200 * time.Millisecond
)

// errNotOpen is the failure of a storage that was not opened yet.
var errNotOpen = errors.New("storage is not open yet")

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
	Self      daisylog.Peer    // Its replica ID is that of the saved state.
	Peers     []netip.AddrPort // The control hosts that a joining replica asks.
	Saved     daisylog.PersistedState
	Storage   Storage // Holds Saved. If it is nil, both are opened with Reopen.
	Transport Transport
	// Reopen reads the storage, at the start if none is given and again after a failure.
	// The replica may then be another one. It may block while the disk does not answer;
	// the node can be closed meanwhile. If Reopen is nil, the replica stays stopped.
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
	n.load(o.Storage, o.Saved)
	if o.Storage == nil {
		n.failed = errNotOpen
	}
	n.wait.Go(n.run)
	n.wait.Go(n.join)
	return n, nil
}

// load starts the replica from its persisted state; n.mu is held, or n is not in use yet.
func (n *Node) load(storage Storage, saved daisylog.PersistedState) {
	n.options.Storage, n.options.Self.Replica = storage, saved.Replica
	n.replica = daisylog.New(daisyclock.Now(), saved, n.options.Random)
	n.replica.SetMaxVoters(n.options.MaxVoters)
	n.restore(saved.Snapshot)
	for _, peer := range n.replica.Configuration() {
		if peer.Replica != saved.Replica {
			n.options.Transport.Open(peer.Address)
		}
	}
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

// reopen retries until the storage can be read and starts the replica from it. It
// returns false if the node is closed or has no Reopen function.
func (n *Node) reopen() bool {
	if n.options.Reopen == nil {
		return false
	}
	var failures failureLog
	first := errors.Is(n.Failed(), errNotOpen)
	for delay := reopenInterval; ; {
		if first {
			delay, first = 0, false
		}
		select {
		case <-time.After(delay):
		case <-n.ctx.Done():
			return false
		}
		o, ok := n.openStorage()
		switch {
		case !ok:
			return false
		case o.err != nil:
			n.mu.Lock()
			n.failed = o.err
			n.mu.Unlock()
			if failures.due(o.err) {
				n.options.Log.WithError(o.err).Warn("quorum: opening the storage failed; retrying")
			}
			delay = reopenInterval
			continue
		}
		n.mu.Lock()
		n.load(o.storage, o.saved)
		n.failed = nil
		n.mu.Unlock()
		if delay > 0 {
			n.options.Log.Info("quorum: storage reopened; the replica restarts from it")
		}
		return true
	}
}

// failureLog limits how often the same failure is logged.
type failureLog struct {
	text string
	at   time.Time
}

// due reports whether the failure must be logged: it differs from the one before, or
// that was logged long ago.
func (f *failureLog) due(err error) bool {
	now := daisyclock.Now()
	if err.Error() == f.text && now.Sub(f.at) < failureLogInterval {
		return false
	}
	f.text, f.at = err.Error(), now
	return true
}

// opened is what Reopen returned.
type opened struct {
	storage Storage
	saved   daisylog.PersistedState
	err     error
}

// openStorage calls Reopen. It returns false if the node is closed meanwhile.
func (n *Node) openStorage() (o opened, ok bool) {
	results := make(chan opened, 1)
	go func() {
		var o opened
		o.storage, o.saved, o.err = n.options.Reopen()
		results <- o
	}()
	hang := time.NewTicker(hangInterval)
	defer hang.Stop()
	for {
		select {
		case o = <-results:
			return o, true
		case <-hang.C:
			n.options.Log.Warn("quorum: the disk does not answer; the replica waits for it")
			hang.Reset(failureLogInterval)
		case <-n.ctx.Done():
			select {
			case <-results:
			case <-time.After(closeTimeout):
			}
			return o, false
		}
	}
}

// Failed returns the storage's error while the node is stopped by one, or nil.
func (n *Node) Failed() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

// Retire hands this replica's vote to a replica that waits for one, before the host stops.
// Without such a replica it returns at once. It gives up after retireTimeout.
func (n *Node) Retire() {
	for deadline := time.Now().Add(retireTimeout); time.Now().Before(deadline); {
		done := true // Unless the replica runs.
		n.update(func(now time.Time) { done = n.replica.Retire(now) })
		if done {
			return
		}
		select {
		case <-time.After(retireInterval):
		case <-n.ctx.Done():
			return
		}
	}
	n.options.Log.Warn("quorum: the vote was not handed over in time")
}

// Close stops the node and waits for it to end, except for a call of Reopen to a disk
// that does not answer. A leader resigns first, so that
// the others elect a new one without waiting for its lease to expire.
func (n *Node) Close() error {
	n.update(func(now time.Time) { n.replica.Resign(now) })
	n.cancel()
	n.wait.Wait()
	return nil
}
