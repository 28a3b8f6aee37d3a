package daisycontrolhost

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// pollInterval is the time between checks of the control state by a call that
// waits for a change.
const pollInterval = 20 * time.Millisecond

// NotLeadingError is returned by a host that does not lead, for a call that only
// the leader can answer.
type NotLeadingError struct {
	Leader netip.AddrPort // Link address of the leader; invalid if none is known.
}

// Error implements error.
func (e *NotLeadingError) Error() string {
	if e.Leader.IsValid() {
		return "host " + e.Leader.String() + " leads"
	}
	return "no leader is known"
}

var errNoDesiredState = errors.New("no desired state has been accepted yet")

func (c *ControlHost) notLeading() error { return &NotLeadingError{Leader: c.node.Leader()} }

// Announce records a server's announcement. If the server announces that it is
// leaving, Announce returns only once that is in the log, so that no later leader
// misses it.
func (c *ControlHost) Announce(ctx context.Context, a daisypromotion.Announcement) (err error) {
	if !c.withLeader(func(now time.Time, d *decider) { d.Announce(now, a) }) {
		return c.notLeading()
	}
	if !a.Leaving {
		return nil
	}
	c.coordinator.Wake()
	for {
		if s, ok := c.view.Server(a.ID); !ok || s.Leaving {
			return c.confirm()
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("announcement is not in the log yet: %w", ctx.Err())
		}
	}
}

// Leave records that a server has stopped, as the server itself reports.
func (c *ControlHost) Leave(_ context.Context, server string) error {
	if !c.withLeader(func(now time.Time, d *decider) { d.Leave(now, server) }) {
		return c.notLeading()
	}
	c.coordinator.Wake()
	return nil
}

func (c *ControlHost) withLeader(f func(now time.Time, d *decider)) bool {
	return c.coordinator.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		if leader, ok := d.(*decider); ok {
			f(now, leader)
		}
	})
}

// confirm returns an error if this host no longer leads.
func (c *ControlHost) confirm() error {
	if !c.Leads() {
		return c.notLeading()
	}
	return nil
}

// Put proposes a desired state until it is accepted. It returns nil without a
// change if the state is not newer than the one in force.
func (c *ControlHost) Put(ctx context.Context, version uint64, content []byte) (err error) {
	defer daisyerror.Annotate(&err, "accept desired state %d", version)
	packed, err := daisyspec.Pack(content)
	if err != nil {
		return err
	}
	for {
		current, revision := c.currentDocument()
		if !c.Leads() {
			return c.notLeading()
		}
		if revision > 0 && current.Version >= version {
			return nil
		}
		change := daisyfleet.Change{
			Reason: fmt.Sprintf("desired state %d", version), At: time.Now(),
			Operations: []daisyfleet.Operation{{
				ID:               daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName},
				ExpectedRevision: revision, Value: daisyfleet.Document{Version: version, Content: packed},
			}},
		}
		outcome, err := c.node.Propose(ctx, change)
		if err != nil {
			return errors.Join(err, c.notLeading())
		}
		if outcome.Accepted {
			c.options.Log.WithFields(log.Fields{"Version": version, "Revision": outcome.Revision}).Info("core: desired state accepted")
			return nil
		}
	}
}

// currentDocument returns the desired state in force and its revision, 0 if there is none.
func (c *ControlHost) currentDocument() (d daisyfleet.Document, revision uint64) {
	c.view.Read(func(s *daisyfleet.State) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName})
		if ok {
			d, _ = o.Value.(daisyfleet.Document)
			revision = o.Revision
		}
	})
	return d, revision
}

// Document returns the desired state in force as it was sent. It is at least as
// new as every one that was acknowledged before the call.
func (c *ControlHost) Document(context.Context) (content []byte, err error) {
	if !c.Leads() {
		return nil, c.notLeading()
	}
	d, revision := c.currentDocument()
	if revision == 0 {
		return nil, errNoDesiredState
	}
	if content, err = daisyspec.Unpack(d.Content); err != nil {
		return nil, err
	}
	return content, c.confirm()
}

// parse parses an accepted desired state.
func (c *ControlHost) parse(d daisyfleet.Document) (*daisyspec.Document, error) {
	content, err := daisyspec.Unpack(d.Content)
	if err != nil {
		return nil, err
	}
	return c.options.Parse(content)
}
