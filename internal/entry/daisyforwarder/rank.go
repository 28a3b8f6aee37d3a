package daisyforwarder

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// depth is how many hosts an errand is offered to. Each may keep a part of the
// server's connections.
const depth = 3

// shares are the parts of a server's connections by rank. Those after the first
// serve errands that the first cannot send, and keep the server in use until
// the state has changed.
var shares = [depth]float64{0.8, 0.15, 0.05}

// Gateway is a host that a server may be used through.
type Gateway struct {
	Host    string
	Address netip.AddrPort
}

// Topology finds the regions of failure domains.
type Topology struct {
	Regions map[string]string
}

// Gateways returns the hosts through which the server is used, the first first.
func (p Topology) Gateways(s *daisyfleet.State, server string, domain string) []Gateway {
	type ranked struct {
		Gateway
		distance int
		hash     uint64
	}
	var all []ranked
	s.EachSorted(daisyfleet.KindHost, func(o daisyfleet.Object) {
		h, ok := o.Value.(daisyfleet.Host)
		if !ok || !h.Up || h.Leaving {
			return
		}
		all = append(all, ranked{
			Gateway:  Gateway{Host: o.Name, Address: h.Address},
			distance: p.distance(domain, h.FailureDomain),
			hash:     xxhash.Sum64String(server + "\x00" + o.Name),
		})
	})
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.hash, a.hash))
	})
	var gateways []Gateway
	for _, r := range all[:min(depth, len(all))] {
		gateways = append(gateways, r.Gateway)
	}
	return gateways
}

// distance orders places: the same failure domain, the same region, elsewhere.
func (p Topology) distance(a, b string) int {
	switch {
	case a == b:
		return 0
	case p.Regions[a] == p.Regions[b]:
		return 1
	}
	return 2
}

// Share returns how many of a server's connections the host at the rank may
// keep; a rank beyond the last counts as -1 and keeps none.
func Share(connections, rank int) int {
	const reserved = 1 // For the control leader's probes.
	if rank < 0 || rank >= depth {
		return 0
	}
	return max(1, int(float64(connections-reserved)*shares[rank]))
}
