package daisycontrolhost

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// commandInterval is how often the leader looks for orders that are due.
	commandInterval = 50 * time.Millisecond
	// reachTimeout bounds the opening of a connection to a server: eight round
	// trips between regions.
	reachTimeout = 200 * time.Millisecond
	// probeTimeout bounds a probe of a server: some round trips between regions
	// and a full queue before its slots.
	probeTimeout = 400 * time.Millisecond
	// promoteTimeout bounds a promotion call. It ends within the lease of a
	// leader, so that no order outlives it.
	promoteTimeout = 500 * time.Millisecond
)

// lead returns the decisions of a leadership.
func (c *ControlHost) lead(began time.Time, _ uint64) daisycoordinator.Decider {
	return &decider{Leader: daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: began, Lease: Lease}), core: c}
}

// decider keeps the decisions up with the desired state.
type decider struct {
	*daisypromotion.Leader
	core     *ControlHost
	revision uint64 // Of the document that the decisions follow.
	hosts    int    // That share its limits.
}

// Due implements daisycoordinator.Decider.
func (d *decider) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	d.follow(now, s)
	return d.Leader.Due(now, s)
}

// follow tells the decisions a desired state, or a number of hosts, that is new
// to them.
func (d *decider) follow(now time.Time, s *daisyfleet.State) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName})
	hosts := 0
	s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	if !ok || o.Revision == d.revision && hosts == d.hosts {
		return
	}
	d.revision, d.hosts = o.Revision, hosts
	held, _ := o.Value.(daisyfleet.Document)
	document, err := d.core.parse(held)
	if err != nil {
		d.core.options.Log.WithError(err).Error("core: accepted desired state cannot be read")
		return
	}
	d.SetDesired(now, s, desired(document))
}

func desired(d *daisyspec.Document) daisypromotion.Desired {
	next := daisypromotion.Desired{SyncReplicas: make(map[string]int)}
	for _, w := range d.Workspaces {
		next.Limits = append(next.Limits, daisyquota.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	for _, s := range d.Services {
		next.SyncReplicas[s.Name] = s.SyncReplicas
	}
	return next
}

// command carries out the orders that are due while this host leads.
func (c *ControlHost) command() {
	ticker := time.NewTicker(commandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		c.council.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, s *daisyfleet.State) {
			leader, ok := d.(*decider)
			if !ok {
				return
			}
			for _, o := range leader.Orders(now, s) {
				c.wait.Go(func() { c.carryOut(leader, o) })
			}
		})
	}
}

// carryOut executes an order and reports what became of it to the leadership
// that gave it.
func (c *ControlHost) carryOut(leader *decider, o daisypromotion.Order) {
	result := daisypromotion.Result{Order: o}
	line := c.options.Log.WithFields(log.Fields{"Service": o.Service, "Server": o.Server})
	switch o.Kind {
	case daisypromotion.OrderProbe:
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		reachCtx, reached := context.WithTimeout(ctx, reachTimeout)
		err := c.options.Prober.Reach(reachCtx, o.Address)
		reached()
		if err != nil {
			line.WithError(err).Info("core: server not reached")
			break
		}
		result.Reached = true
		status, err := c.options.Prober.Probe(ctx, o)
		if err != nil {
			line.WithError(err).Info("core: probe not answered")
			break
		}
		result.Status = &status
	case daisypromotion.OrderPromote:
		result.Outcome = c.promote(leader, o)
	case daisypromotion.OrderStepDown:
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		err := c.options.Prober.StepDown(ctx, o)
		line.WithField("Term", o.Term).WithField("Error", err).Info("core: replaced primary told to step down")
	}
	c.council.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		if d == daisycoordinator.Decider(leader) {
			leader.RecordResult(now, result)
		}
	})
	c.council.Wake()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// promote orders a promotion under the term of the leadership, so that the
// fencing token rises with each leader.
func (c *ControlHost) promote(leader *decider, o daisypromotion.Order) daisypromotion.PromotionOutcome {
	ctx, cancel := context.WithTimeout(c.ctx, promoteTimeout)
	defer cancel()
	term, leads := c.node.Leads()
	if !leads {
		return daisypromotion.PromotionUnknown
	}
	c.options.Log.WithFields(log.Fields{"Service": o.Service, "Server": o.Server, "Fence": term}).Info("core: promotes")
	return c.options.Promoter.Promote(ctx, o, term, func() bool {
		now, leads := c.node.Leads()
		return leads && now == term && c.current(leader)
	})
}

// current reports whether the leadership is the present one.
func (c *ControlHost) current(leader *decider) bool {
	same := false
	c.council.RunAsLeader(func(_ time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		same = d == daisycoordinator.Decider(leader)
	})
	return same
}
