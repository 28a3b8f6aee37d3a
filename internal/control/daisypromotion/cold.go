package daisypromotion

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// coldServers decides which servers are cold.
type coldServers struct {
	limited map[string]bool      // The services whose cold servers' requests are limited.
	seen    map[string]time.Time // By server, when this leader first saw it cold in the control state.
}

// observe notes which servers are cold in the state.
func (c *coldServers) observe(now time.Time, s *daisyfleet.State) {
	cold := make(map[string]bool)
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if v, ok := o.Value.(daisyfleet.Server); ok && v.Cold {
			cold[o.Name] = true
			if _, seen := c.seen[o.Name]; !seen {
				c.seen[o.Name] = now
			}
		}
	})
	for name := range c.seen {
		if !cold[name] {
			delete(c.seen, name)
		}
	}
}

// isCold reports whether the server is to be cold in the control state, in which it is or
// is not now. Only an announcement that arrived after the server became cold ends that:
// an earlier one does not know of the evacuation whose withdrawal made it cold.
func (c *coldServers) isCold(known *announcedServer, stored bool) bool {
	switch {
	case c.limited == nil: // The desired state is not known yet.
		return stored
	case !c.limited[known.Service]:
		return false
	case known.ColdLeft > 0:
		return true
	}
	return stored && !known.seenAt.After(c.seen[known.ID])
}

// ColdAfterEvacuation returns the operations that mark the servers in the failure domain as
// cold, for services that limit the requests of cold servers. They belong into the change
// that withdraws the evacuation of the domain, during which caches became outdated.
func (l *Leader) ColdAfterEvacuation(domain string, s *daisyfleet.State) (operations []daisyfleet.Operation) {
	s.EachSorted(daisyfleet.KindServer, func(o daisyfleet.Object) {
		v, ok := o.Value.(daisyfleet.Server)
		if !ok || v.FailureDomain != domain || v.Cold || !l.cold.limited[v.Service] {
			return
		}
		v.Cold = true
		operations = append(operations, daisyfleet.Operation{ID: o.ID, ExpectedRevision: o.Revision, Value: v})
	})
	return operations
}
