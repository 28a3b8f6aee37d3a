package daisypromotion

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// Desired is what the leader follows of the desired state.
type Desired struct {
	Limits []daisyquota.Limit
	// SyncReplicas is how many replicas of each service hold a write before it
	// is acknowledged, by service.
	SyncReplicas map[string]int
}

// SetDesired tells the leader the desired state in force, which the hosts of the
// state share.
func (l *Leader) SetDesired(now time.Time, s *daisyfleet.State, d Desired) {
	hosts := 0
	s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	l.syncReplicas = d.SyncReplicas
	known := make(map[string]bool)
	for _, limit := range d.Limits {
		known[limit.Workspace] = true
		if p := l.pools[limit.Workspace]; p != nil {
			p.SetLimit(now, limit, hosts)
			continue
		}
		l.pools[limit.Workspace] = daisyquota.NewPool(now, limit, hosts)
	}
	for name := range l.pools {
		if !known[name] {
			delete(l.pools, name)
		}
	}
}

// Grants implements daisycoordinator.Decider.
func (l *Leader) Grants(now time.Time, _ *daisyfleet.State, b daisyheartbeat.Heartbeat) []daisyheartbeat.Demand {
	var grants []daisyheartbeat.Demand
	for _, d := range b.Demands {
		p := l.pools[d.Workspace]
		if p == nil {
			continue
		}
		if tokens := p.Draw(now, d.Tokens); tokens > 0 {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Tokens: tokens})
		}
	}
	return grants
}
