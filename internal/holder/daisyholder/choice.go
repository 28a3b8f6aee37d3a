package daisyholder

import (
	"maps"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
)

// choice is a member of a group that a transaction may go to.
type choice struct {
	name   string
	busy   int    // Connections in use.
	reason string // Why it may not serve the transaction; empty if it may.
}

// choices returns the members of the group, sorted by name, for a transaction of the
// profile that needs the minimum position. It requires g.mu.
func (g *group) choices(p daisyfleet.Profile, readOnly bool, minPosition daisystream.Position) []choice {
	fresh := g.positions.Replicas(nil, minPosition, p.MaxAge, time.Now())
	var all []choice
	for _, name := range slices.Sorted(maps.Keys(g.pools)) {
		pool := g.pools[name]
		c := choice{name: name, busy: pool.queue.Busy()}
		switch {
		case name == g.primary:
		case !readOnly:
			c.reason = "only the primary may run the transaction"
		case pool.isLeaving():
			c.reason = "it is leaving"
		case !slices.Contains(fresh, name):
			c.reason = "its log lacks the position"
		}
		all = append(all, c)
	}
	return all
}

// best returns the least busy replica that may serve the transaction, else the primary.
func best(all []choice, primary string) string {
	best, least := primary, 0
	for _, c := range all {
		if c.name == primary || c.reason != "" {
			continue
		}
		if best == primary || c.busy < least {
			best, least = c.name, c.busy
		}
	}
	return best
}

// ExplainRoute returns the members of the profile's database, and why each would not
// serve a transaction of a new session of the workspace now. It returns false if this
// host does not serve the database.
func (h *Holder) ExplainRoute(p daisyfleet.Profile, workspace string, readOnly bool) (servers []daisyroute.Server, ok bool) {
	g := h.group(p.Database)
	if g == nil || !h.options.Lease.Valid() {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.positions == nil {
		return nil, false
	}
	all := g.choices(p, readOnly || p.ReadOnly, g.positions.MinPosition(daisyposition.Client{Workspace: workspace}))
	chosen := best(all, g.primary)
	for _, c := range all {
		s := daisyroute.Server{Name: c.name, Primary: c.name == g.primary, Busy: c.busy, Reason: c.reason}
		switch {
		case c.name == chosen:
			s.Chance = 1
		case s.Primary:
			s.Reason = "a replica is fresh enough"
		case s.Reason == "":
			s.Reason = "another replica is less busy, or as busy and first by name"
		}
		servers = append(servers, s)
	}
	return servers, true
}
