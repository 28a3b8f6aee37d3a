package daisypromotion

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// Desired is the part of the desired state that the leader needs.
type Desired struct {
	Limits []daisyquota.WorkspaceLimit
	// SyncReplicas is the number of replicas that must hold a write before it is
	// acknowledged, by service.
	SyncReplicas map[string]int
	// ColdLimited has the services whose cold servers' requests are limited.
	ColdLimited map[string]bool
}

// SetDesired sets the desired state. The rate limits are shared among all hosts
// of the control state s.
func (l *Leader) SetDesired(now time.Time, s *daisyfleet.State, d Desired) {
	hosts := 0
	s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	l.noteSyncReplicas(now, d.SyncReplicas)
	l.syncReplicas, l.cold.limited = d.SyncReplicas, d.ColdLimited
	known := make(map[string]bool)
	for _, limit := range d.Limits {
		known[limit.Workspace] = true
		if p := l.pools[limit.Workspace]; p != nil {
			p.SetLimit(now, limit, hosts)
			continue
		}
		l.pools[limit.Workspace] = daisyquota.NewSuccessorPool(now, limit, hosts)
	}
	for name := range l.pools {
		if !known[name] {
			delete(l.pools, name)
		}
	}
}

// Grants implements daisycoordinator.Decider. It grants tokens from the
// workspaces' pools for the demands of a heartbeat. Tokens that are denied
// are stated too.
func (l *Leader) Grants(now time.Time, _ *daisyfleet.State, b daisyheartbeat.Heartbeat) []daisyheartbeat.Demand {
	var grants []daisyheartbeat.Demand
	for _, d := range b.Demands {
		p := l.pools[d.Workspace]
		if p == nil {
			continue
		}
		granted, denied, retryAfter := p.Reserve(now, d.Tokens)
		for _, g := range granted {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Tokens: g.Tokens, After: g.After})
		}
		if denied > 0 {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Denied: denied, RetryAfter: retryAfter})
		}
		grants = append(grants, renewReserve(now, p, b, d)...)
	}
	return grants
}

// renewReserve answers the part of a demand that is about tokens in reserve, if there is
// one. Tokens for operations that wait are granted before.
func renewReserve(now time.Time, p *daisyquota.Pool, b daisyheartbeat.Heartbeat, d daisyheartbeat.Demand) []daisyheartbeat.Demand {
	if d.Sequence == 0 {
		return nil
	}
	holder := daisyquota.ReserveHolder{Host: b.Host, Incarnation: b.Incarnation}
	g, ok := p.RenewReserve(now, holder, daisyquota.ReserveDemand{Sequence: d.Sequence, Wanted: d.Reserve, Held: d.Held, Returned: d.Returned})
	if !ok {
		return nil
	}
	return []daisyheartbeat.Demand{{Workspace: d.Workspace, Sequence: g.Sequence, Reserve: g.Tokens, Lifetime: g.Lifetime}}
}
