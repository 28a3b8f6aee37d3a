package daisyconsensus

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// compactAfterBytes is the size of the applied entries after which a snapshot is taken,
// since a host reads its whole log into memory when it starts.
const compactAfterBytes = 4 << 20

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
	if n.applied-n.replica.Snapshot().Index >= compactAfterEntries || n.replica.AppliedBytes() >= compactAfterBytes {
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
