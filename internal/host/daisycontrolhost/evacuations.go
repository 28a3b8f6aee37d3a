package daisycontrolhost

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// UnknownDomainError is returned for a failure domain that the settings do not list.
type UnknownDomainError struct {
	Domain string
}

// Error implements error.
func (e *UnknownDomainError) Error() string {
	return "the settings list no failure domain " + e.Domain
}

// Evacuate orders that the backend servers of the failure domain get no more work. It
// returns nil once the order is in the log, also if it was there before.
func (c *ControlHost) Evacuate(ctx context.Context, domain string) (err error) {
	defer daisyerror.Annotate(&err, "evacuate failure domain %s", domain)
	return c.setEvacuated(ctx, domain, true)
}

// WithdrawEvacuation withdraws the order to evacuate the failure domain. It returns nil
// once that is in the log, also if there was no order. An order for a failure domain
// that the settings no longer list can be withdrawn too.
func (c *ControlHost) WithdrawEvacuation(ctx context.Context, domain string) (err error) {
	defer daisyerror.Annotate(&err, "withdraw the evacuation of failure domain %s", domain)
	return c.setEvacuated(ctx, domain, false)
}

// setEvacuated proposes that the order exists, or that it does not, until that is so.
func (c *ControlHost) setEvacuated(ctx context.Context, domain string, evacuated bool) error {
	for {
		if !c.Leads() {
			return c.notLeading()
		}
		o, ordered := c.evacuation(domain)
		if _, known := c.options.Settings.Regions[domain]; !known && !ordered {
			return &UnknownDomainError{Domain: domain}
		}
		if ordered == evacuated {
			return c.confirm()
		}
		change := evacuationChange(o, evacuated)
		if !evacuated && !c.addCold(&change, domain) {
			return c.notLeading()
		}
		outcome, err := c.node.Propose(ctx, change)
		if err != nil {
			return errors.Join(err, c.notLeading())
		}
		if outcome.Accepted {
			c.options.Log.WithFields(log.Fields{"Domain": domain, "Evacuated": evacuated, "Revision": outcome.Revision}).Info("core: evacuation changed")
			return nil
		}
	}
}

// addCold adds to the withdrawal that the domain's servers are cold. It returns false if
// this host does not lead.
func (c *ControlHost) addCold(change *daisyfleet.Change, domain string) bool {
	return c.coordinator.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, s *daisyfleet.State) {
		if leader, ok := d.(*decider); ok {
			leader.updateDesired(now, s) // A new leader knows no services yet.
			change.Operations = append(change.Operations, leader.ColdAfterEvacuation(domain, s)...)
		}
	})
}

// evacuation returns the object for the order to evacuate the failure domain, and
// whether the order exists. If it does not, the revision is 0.
func (c *ControlHost) evacuation(domain string) (o daisyfleet.Object, ordered bool) {
	id := daisyfleet.ID{Kind: daisyfleet.KindEvacuation, Name: domain}
	c.view.Read(func(s *daisyfleet.State) { o, ordered = s.Get(id) })
	if !ordered {
		o = daisyfleet.Object{ID: id}
	}
	return o, ordered
}

// Evacuations returns the names of the failure domains whose evacuation is ordered, as
// this host knows them.
func (c *ControlHost) Evacuations() []string { return c.view.Evacuations() }

// evacuationChange returns the change that stores the order, or removes it.
func evacuationChange(o daisyfleet.Object, evacuated bool) daisyfleet.Change {
	now := time.Now()
	change := daisyfleet.Change{Reason: "evacuation of " + o.Name + " withdrawn", At: now}
	var value daisyfleet.Value
	if evacuated {
		change.Reason, value = "evacuation of "+o.Name+" ordered", daisyfleet.Evacuation{Ordered: now.UTC()}
	}
	change.Operations = []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: value}}
	return change
}
