package daisyplacement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// maxGateways is the number of gateways of a server. Each may keep a share of the
// server's connections.
const maxGateways = 3

// evacuatedDistance is added to the distance of a host whose failure domain is
// evacuated. It exceeds all distances.
const evacuatedDistance = 3

// Gateway is a host through which a backend server is used.
type Gateway struct {
	Host    string
	Address netip.AddrPort
}

// Topology maps failure domains to regions.
type Topology struct {
	Regions map[string]string // By failure domain.
}

// Gateways returns the gateways of all servers in the state, in the order in which
// they are ranked. They depend on the state only, so that all hosts agree on them.
func (t Topology) Gateways(s *daisyfleet.State) map[string]Gateways {
	hosts := gatewayCandidates(s)
	gateways := make(map[string]Gateways)
	servers := make(map[string][]string) // In failure domains with enough hosts, by domain.
	known := hostsByDomain(s)
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		v, ok := o.Value.(daisyfleet.Server)
		switch {
		case !ok:
		case known[v.FailureDomain] >= minSpreadHosts:
			servers[v.FailureDomain] = append(servers[v.FailureDomain], o.Name)
		default:
			gateways[o.Name] = Gateways{Ranked: t.rank(o.Name, v.FailureDomain, hosts)}
		}
	})
	for domain, names := range servers {
		slices.Sort(names) // All hosts assign in the same order.
		for name, ranked := range t.assign(domain, names, hosts) {
			gateways[name] = Gateways{Ranked: ranked, Spread: true}
		}
	}
	return gateways
}

// GatewayCache keeps the gateways of a state until the state affects them. The zero value
// is empty. It is not safe for concurrent use.
type GatewayCache struct {
	gateways    map[string]Gateways
	revision    uint64
	fingerprint uint64 // Of the state from which gateways was derived.
}

// Gateways returns Topology.Gateways of the state.
func (c *GatewayCache) Gateways(t Topology, s *daisyfleet.State) map[string]Gateways {
	if c.gateways != nil && c.revision == s.Revision() {
		return c.gateways
	}
	c.revision = s.Revision()
	if sum := Fingerprint(s); c.gateways == nil || sum != c.fingerprint {
		c.fingerprint, c.gateways = sum, t.Gateways(s)
	}
	return c.gateways
}

// ServiceObservers returns the hosts that report whether they reach a primary of the service:
// the gateways of all its servers, so that there are some near each of them.
func ServiceObservers(gateways map[string]Gateways, s *daisyfleet.State, service string) map[string]bool {
	observers := make(map[string]bool)
	s.EachServer(service, func(name string, _ daisyfleet.Server) {
		for _, g := range gateways[name].Ranked {
			observers[g.Host] = true
		}
	})
	return observers
}

// candidate is a host that may be a gateway.
type candidate struct {
	Gateway
	failureDomain string
	evacuated     bool // Its failure domain is.
}

func gatewayCandidates(s *daisyfleet.State) (hosts []candidate) {
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok && h.Up && !h.Leaving {
			hosts = append(hosts, candidate{Gateway{Host: o.Name, Address: h.Address}, h.FailureDomain, s.Evacuated(h.FailureDomain)})
		}
	})
	return hosts
}

// rank returns the gateways of the server in the failure domain, in order. The nearest
// hosts come first, in the order of their weights. Hosts of evacuated failure domains
// come last, except for the servers of their own domain: these get no work, and keep
// their gateways for when they return.
func (t Topology) rank(server, domain string, hosts []candidate) (gateways []Gateway) {
	type ranked struct {
		Gateway
		distance int
		weight   uint64
	}
	compare := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.Host, b.Host))
	}
	var best []ranked // Sorted.
	for _, h := range hosts {
		r := ranked{h.Gateway, t.distance(domain, h.failureDomain), Weight(server, h.Host)}
		if h.evacuated && h.failureDomain != domain {
			r.distance += evacuatedDistance
		}
		at, _ := slices.BinarySearchFunc(best, r, compare)
		if at == maxGateways {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), maxGateways)]
	}
	for _, r := range best {
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
