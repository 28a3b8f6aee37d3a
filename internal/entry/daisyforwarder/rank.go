package daisyforwarder

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// maxGateways is the number of gateways of a server: the hosts that a request is
// offered to in turn. Each may keep a share of the server's connections.
const maxGateways = 3

// connectionShares are the gateways' shares of a server's connections, by rank.
// The gateways after the first serve requests that the first cannot send, so
// that the server stays in use until the fleet's state has changed.
var connectionShares = [maxGateways]float64{0.8, 0.15, 0.05}

// Gateway is a host through which a backend server is used.
type Gateway struct {
	Host    string
	Address netip.AddrPort
}

// Topology maps failure domains to regions.
type Topology struct {
	Regions map[string]string // By failure domain.
}

// Gateways returns the gateways of the server in the failure domain, in the
// order in which they are tried.
func (t Topology) Gateways(s *daisyfleet.State, server string, domain string) []Gateway {
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
			distance: t.distance(domain, h.FailureDomain),
			hash:     xxhash.Sum64String(server + "\x00" + o.Name),
		})
	})
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.hash, a.hash))
	})
	var gateways []Gateway
	for _, r := range all[:min(maxGateways, len(all))] {
		gateways = append(gateways, r.Gateway)
	}
	return gateways
}

// distance returns 0 within a failure domain, 1 within a region and 2 otherwise.
func (t Topology) distance(a, b string) int {
	switch {
	case a == b:
		return 0
	case t.Regions[a] == t.Regions[b]:
		return 1
	}
	return 2
}

// Share returns how many of a server's connections the gateway of the rank may
// keep. It returns 0 for a rank that no gateway has, including -1.
func Share(connections, rank int) int {
	const reserved = 1 // For the control leader's probes.
	if rank < 0 || rank >= maxGateways {
		return 0
	}
	return max(1, int(float64(connections-reserved)*connectionShares[rank]))
}
