package daisyconsensus

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// ErrProposalLost is returned for a change whose outcome this node cannot learn: a
// later leader replaced its entry, a snapshot covers it or the node was closed. The
// change may be proposed again with the same ID.
var ErrProposalLost = errors.New("outcome of the proposed change was lost on this replica")

// waiter waits for the decision on the change whose entry has the term.
type waiter struct {
	term     uint64
	decision chan Decision
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
	Err     error // If not nil, the outcome is unknown, or the change cannot be in the log.
}

// ProposeAll appends the changes with a single write to the disk and waits for
// their outcomes. A change that other hosts could not read from the log is not appended.
func (n *Node) ProposeAll(ctx context.Context, changes []daisyfleet.Change) (decisions []Decision, err error) {
	defer daisyerror.Annotate(&err, "propose")
	decisions, readable := n.reread(changes)
	waiters := make([]waiter, len(readable))
	n.update(func(now time.Time) {
		index, term, proposeErr := n.replica.Propose(now, readable...)
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
	for i := range decisions {
		if decisions[i].Err != nil {
			continue
		}
		w := waiters[0]
		waiters = waiters[1:]
		select {
		case decisions[i] = <-w.decision:
		case <-ctx.Done():
			decisions[i].Err = ctx.Err()
		case <-n.ctx.Done():
			decisions[i].Err = ErrProposalLost
		}
	}
	return decisions, nil
}

// reread returns the changes as other hosts read them, and the decisions with an error for
// each change that they could not read.
func (n *Node) reread(changes []daisyfleet.Change) (decisions []Decision, readable []daisyfleet.Change) {
	decisions = make([]Decision, len(changes))
	for i, c := range changes {
		read, err := daisycodec.Reread(c)
		if err != nil {
			n.options.Log.WithError(err).WithField("Reason", c.Reason).Error("quorum: change refused; other hosts could not read it")
			decisions[i].Err = err
			continue
		}
		readable = append(readable, read)
	}
	return decisions, readable
}
