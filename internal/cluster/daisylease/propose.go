package daisylease

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

func (c *Client) deliverDecision(d daisycodec.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if decision, ok := c.decisions[d.ID]; ok {
		decision <- d
		delete(c.decisions, d.ID)
	}
}

// Propose sends a change to the control leader and returns its outcome. It retries
// until ctx ends; the change's ID makes retries idempotent.
func (c *Client) Propose(ctx context.Context, change daisyfleet.Change) (daisyfleet.Outcome, error) {
	for {
		if d, ok := c.tryPropose(ctx, change); ok {
			return *d.Outcome, nil
		}
		select {
		case <-time.After(proposeRetryInterval):
		case <-ctx.Done():
			return daisyfleet.Outcome{}, errors.Join(ErrNoLeader, ctx.Err())
		}
	}
}

func (c *Client) tryPropose(ctx context.Context, change daisyfleet.Change) (daisycodec.Decision, bool) {
	decision := make(chan daisycodec.Decision, 1)
	c.mu.Lock()
	link := c.link
	if link == nil {
		c.mu.Unlock()
		return daisycodec.Decision{}, false
	}
	c.nextID++
	id := c.nextID
	c.decisions[id] = decision
	c.mu.Unlock()
	if link.Send(ctx, daisycodec.EncodeProposal(daisycodec.Proposal{ID: id, Change: change})) != nil {
		return daisycodec.Decision{}, false
	}
	select {
	case d, ok := <-decision:
		return d, ok && d.Outcome != nil
	case <-ctx.Done():
		return daisycodec.Decision{}, false
	}
}
