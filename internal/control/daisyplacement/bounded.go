package daisyplacement

import (
	"cmp"
	"slices"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// minSpreadHosts is the number of hosts of a failure domain from which on the requests
// of its servers are spread over several gateways. With fewer hosts, which have wide
// links, spreading would only cost connections.
const minSpreadHosts = maxGateways

// hostsByDomain returns the number of hosts of each failure domain. Hosts that are down
// count, so that the loss of a host does not change how a domain's servers are used.
func hostsByDomain(s *daisyfleet.State) map[string]int {
	hosts := make(map[string]int)
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok {
			hosts[h.FailureDomain]++
		}
	})
	return hosts
}

// pair is a server and a host that may be its gateway.
type pair struct {
	server, host int // Indexes.
	weight       uint64
}

// assign returns the gateways of a failure domain's servers, in the order of their
// weights. The heaviest pairs of server and host are taken first, as long as the
// server needs gateways and the host is below its bound. The order of the pairs does
// not depend on other hosts, so the loss of a host moves its own servers and only the
// few that these displace. Servers with too few hosts in the domain use the nearest
// others as well.
func (t Topology) assign(domain string, servers []string, hosts []candidate) map[string][]Gateway {
	near := slices.DeleteFunc(slices.Clone(hosts), func(h candidate) bool { return h.failureDomain != domain })
	assigned := make(map[string][]Gateway, len(servers))
	load := make([]int, len(near))
	bound := gatewayBound(len(servers), len(near))
	for _, p := range sortedPairs(servers, near) {
		name := servers[p.server]
		if len(assigned[name]) < maxGateways && load[p.host] < bound {
			assigned[name] = append(assigned[name], near[p.host].Gateway)
			load[p.host]++
		}
	}
	for _, name := range servers {
		if len(assigned[name]) < maxGateways {
			assigned[name] = t.complete(assigned[name], name, domain, hosts)
		}
	}
	return assigned
}

// gatewayBound returns of how many of the servers each of the hosts may be a gateway: its
// fair share, rounded up, plus one. With the plus one there is nearly always a host with
// room among those that weigh most for a server.
func gatewayBound(servers, hosts int) int {
	if hosts == 0 {
		return 0
	}
	return (servers*min(maxGateways, hosts)+hosts-1)/hosts + 1
}

// sortedPairs returns all pairs, the heaviest first.
func sortedPairs(servers []string, hosts []candidate) []pair {
	pairs := make([]pair, 0, len(servers)*len(hosts))
	for i, server := range servers {
		for j, h := range hosts {
			pairs = append(pairs, pair{server: i, host: j, weight: Weight(server, h.Host)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c // The names are not compared: that would take most of the time.
		}
		return cmp.Or(cmp.Compare(servers[a.server], servers[b.server]), cmp.Compare(hosts[a.host].Host, hosts[b.host].Host))
	})
	return pairs
}

// complete adds the nearest other hosts to a server's gateways. They are chosen without a
// bound: it applies to the hosts of a domain that has enough of them.
func (t Topology) complete(gateways []Gateway, server, domain string, hosts []candidate) []Gateway {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h candidate) bool {
		return slices.ContainsFunc(gateways, func(g Gateway) bool { return g.Host == h.Host })
	})
	for _, g := range t.rank(server, domain, others) {
		if len(gateways) < maxGateways {
			gateways = append(gateways, g)
		}
	}
	return gateways
}
