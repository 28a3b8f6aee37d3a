package daisyconsensus

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
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
