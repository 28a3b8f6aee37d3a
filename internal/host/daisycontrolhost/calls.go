package daisycontrolhost

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
)

// awaitStep is how often a call looks whether what it waits for is in the log.
const awaitStep = 20 * time.Millisecond

// NotLeadingError is returned for a call that only the leader can answer.
type NotLeadingError struct {
	Leader netip.AddrPort // The leader's link; invalid if none is known.
}

// Error implements error.
func (e *NotLeadingError) Error() string {
	if e.Leader.IsValid() {
		return "host " + e.Leader.String() + " leads"
	}
	return "no leader is known"
}

var errNoDocument = errors.New("no desired state was accepted yet")

func (c *ControlHost) elsewhere() error { return &NotLeadingError{Leader: c.node.Leader()} }

// Announce takes a server's announcement. One that says that the server leaves
// is taken once the log holds it, so that no later leader forgets it.
func (c *ControlHost) Announce(ctx context.Context, a daisypromotion.Announcement) (err error) {
	if !c.withLeader(func(now time.Time, d *decider) { d.Announce(now, a) }) {
		return c.elsewhere()
	}
	if !a.Leaving {
		return nil
	}
	c.council.Wake()
	for {
		if s, ok := c.view.Server(a.ID); !ok || s.Leaving || s.Started.After(a.Started) {
			return c.confirm()
		}
		select {
		case <-time.After(awaitStep):
		case <-ctx.Done():
			return fmt.Errorf("announcement is not in the log yet: %w", ctx.Err())
		}
	}
}

// Leave takes a server's word that it has ended.
func (c *ControlHost) Leave(_ context.Context, server string) error {
	if !c.withLeader(func(now time.Time, d *decider) { d.Leave(now, server) }) {
		return c.elsewhere()
	}
	c.council.Wake()
	return nil
}

func (c *ControlHost) withLeader(f func(now time.Time, d *decider)) bool {
	return c.council.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		if leader, ok := d.(*decider); ok {
			f(now, leader)
		}
	})
}

// confirm returns an error unless this host still leads.
func (c *ControlHost) confirm() error {
	if !c.Leads() {
		return c.elsewhere()
	}
	return nil
}

// Put has a desired state accepted. One that is not newer than the one in force
// changes nothing and is acknowledged.
func (c *ControlHost) Put(ctx context.Context, version uint64, content []byte) (err error) {
	defer daisyerror.Annotate(&err, "accept desired state %d", version)
	packed, err := daisyspec.Pack(content)
	if err != nil {
		return err
	}
	for {
		held, revision := c.held()
		if !c.Leads() {
			return c.elsewhere()
		}
		if revision > 0 && held.Version >= version {
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
			return errors.Join(err, c.elsewhere())
		}
		if outcome.Accepted {
			c.options.Log.WithFields(log.Fields{"Version": version, "Revision": outcome.Revision}).Info("core: desired state accepted")
			return nil
		}
	}
}

// held returns the desired state in force and its revision, 0 if there is none.
func (c *ControlHost) held() (d daisyfleet.Document, revision uint64) {
	c.view.Read(func(s *daisyfleet.State) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName})
		if ok {
			d, _ = o.Value.(daisyfleet.Document)
			revision = o.Revision
		}
	})
	return d, revision
}

// Document returns the desired state in force as it was sent. It is certain to
// be the newest that was acknowledged when the call began.
func (c *ControlHost) Document(context.Context) (content []byte, err error) {
	if !c.Leads() {
		return nil, c.elsewhere()
	}
	d, revision := c.held()
	if revision == 0 {
		return nil, errNoDocument
	}
	if content, err = daisyspec.Unpack(d.Content); err != nil {
		return nil, err
	}
	return content, c.confirm()
}

// parse decodes an accepted desired state.
func (c *ControlHost) parse(d daisyfleet.Document) (*daisyspec.Document, error) {
	content, err := daisyspec.Unpack(d.Content)
	if err != nil {
		return nil, err
	}
	return c.options.Parse(content)
}
