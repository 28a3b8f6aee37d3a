package daisycontrolhost

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/cluster/daisycoordinator"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// orderInterval is the time between the leader's checks for due orders.
	orderInterval = 50 * time.Millisecond
	// orderPause is the time between two checks that results of orders asked for. Each
	// check goes over all services.
	orderPause = 5 * time.Millisecond
	// reachTimeout bounds the opening of a connection to a server to eight round
	// trips between regions.
	reachTimeout = 200 * time.Millisecond
	// probeTimeout bounds a probe of a server. It allows several round trips
	// between regions and the wait in a full queue for the server's slots.
	probeTimeout = 400 * time.Millisecond
	// promoteTimeout bounds a promotion call, so that an order does not outlive the
	// leader's lease by more than this. Its fencing token is lower than that of any
	// later leader.
	promoteTimeout = 500 * time.Millisecond
)

// newDecider returns the decider for a term as control leader that began at the given
// time.
func (c *ControlHost) newDecider(started time.Time, _ uint64) daisycoordinator.Decider {
	return &decider{Leader: daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: started, LeaseDuration: LeaseDuration, Topology: daisyplacement.Topology{Regions: c.options.Settings.Regions}}), host: c}
}

// decider makes the leader's decisions and keeps them up to date with the desired
// state.
type decider struct {
	*daisypromotion.Leader
	host     *ControlHost
	revision uint64 // Revision of the document that the decisions follow.
	hosts    int    // Number of hosts that share the limits.
}

// Due implements daisycoordinator.Decider.
func (d *decider) Due(now time.Time, s *daisyfleet.State) []daisyfleet.Change {
	d.updateDesired(now, s)
	return d.Leader.Due(now, s)
}

// updateDesired sets the desired state of the decisions if the document or the
// number of hosts has changed.
func (d *decider) updateDesired(now time.Time, s *daisyfleet.State) {
	o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName})
	hosts := 0
	s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	if !ok || o.Revision == d.revision && hosts == d.hosts {
		return
	}
	changed := o.Revision != d.revision
	d.revision, d.hosts = o.Revision, hosts
	current, _ := o.Value.(daisyfleet.Document)
	document, err := d.host.parse(current)
	if err != nil {
		d.host.options.Log.WithError(err).Error("core: accepted desired state is unreadable; the previous one stays in force")
		return
	}
	if changed {
		d.host.warnUnknownRegions(document)
	}
	d.SetDesired(now, s, desired(document))
}

// warnUnknownRegions logs the home regions that no failure domain has.
func (c *ControlHost) warnUnknownRegions(d *daisyspec.Document) {
	known := slices.Collect(maps.Values(c.options.Settings.Regions))
	if unknown := d.UnknownRegions(known); len(unknown) > 0 {
		c.options.Log.WithFields(log.Fields{"Version": d.Version, "Regions": unknown}).Warn("core: home regions have no failure domain; they allow nothing")
	}
}

// desired returns the part of the document that the leader's decisions depend on.
func desired(d *daisyspec.Document) daisypromotion.Desired {
	next := daisypromotion.Desired{SyncReplicas: make(map[string]int), ColdLimited: make(map[string]bool)}
	for _, w := range d.Workspaces {
		next.Limits = append(next.Limits, daisyquota.WorkspaceLimit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	for _, s := range d.Services {
		next.SyncReplicas[s.Name] = s.SyncReplicas
		next.ColdLimited[s.Name] = s.Cold.Limited()
	}
	return next
}

// executeOrders starts the orders that are due, while this host leads.
func (c *ControlHost) executeOrders() {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wake:
			select {
			case <-time.After(orderPause):
			case <-c.ctx.Done():
				return
			}
		case <-c.ctx.Done():
			return
		}
		c.coordinator.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, s *daisyfleet.State) {
			leader, ok := d.(*decider)
			if !ok {
				return
			}
			for _, o := range leader.Orders(now, s) {
				c.wait.Go(func() { c.execute(leader, o) })
			}
		})
	}
}

// execute executes an order and reports the result to the decider that issued it.
// The result is dropped if the term of that decider has ended.
func (c *ControlHost) execute(leader *decider, o daisypromotion.Order) {
	result := daisypromotion.Result{Order: o}
	logger := c.options.Log.WithFields(log.Fields{"Service": o.Service, "Server": o.Server})
	switch o.Kind {
	case daisypromotion.OrderProbe:
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		reachCtx, reached := context.WithTimeout(ctx, reachTimeout)
		err := c.options.Prober.Reach(reachCtx, o.Address)
		reached()
		if err != nil {
			logger.WithError(err).Info("core: server unreachable; the probe counts as failed")
			break
		}
		result.Reached = true
		status, err := c.options.Prober.Probe(ctx, o)
		if err != nil {
			logger.WithError(err).Info("core: server accepted a connection but did not answer the probe")
			break
		}
		result.Status = &status
	case daisypromotion.OrderPromote:
		result.Outcome = c.promote(leader, o)
	case daisypromotion.OrderStepDown:
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		err := c.options.Prober.StepDown(ctx, o)
		logger.WithField("Term", o.Term).WithField("Error", err).Info("core: step-down call to the replaced primary ended")
	}
	c.coordinator.RunAsLeader(func(now time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		if d == daisycoordinator.Decider(leader) {
			leader.RecordResult(now, result)
		}
	})
	c.coordinator.Wake()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// promote orders a promotion. The fencing token is the leader's term in the control
// log, so it increases with each leader.
func (c *ControlHost) promote(leader *decider, o daisypromotion.Order) daisypromotion.PromotionOutcome {
	ctx, cancel := context.WithTimeout(c.ctx, promoteTimeout)
	defer cancel()
	term, leads := c.node.Leads()
	if !leads {
		return daisypromotion.PromotionNotSent
	}
	c.options.Log.WithFields(log.Fields{"Service": o.Service, "Server": o.Server, "Fence": term}).Info("core: ordering the promotion of a server")
	return c.options.Promoter.Promote(ctx, o, term, func() bool {
		current, leads := c.node.Leads()
		return leads && current == term && c.isCurrent(leader)
	})
}

// isCurrent reports whether the decider is that of the current term, in which this
// host leads.
func (c *ControlHost) isCurrent(leader *decider) bool {
	same := false
	c.coordinator.RunAsLeader(func(_ time.Time, d daisycoordinator.Decider, _ *daisyfleet.State) {
		same = d == daisycoordinator.Decider(leader)
	})
	return same
}
