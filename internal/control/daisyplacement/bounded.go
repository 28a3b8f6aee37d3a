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

// maxPairs is the number of pairs of server and host in a failure domain up to which loads
// are bounded. Beyond it, with dozens of servers a host, the weights alone spread them to
// within a few standard deviations, and sorting the pairs would take a small host a
// second after each change.
const maxPairs = 20_000

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

// assignment is which hosts of a failure domain are gateways of its servers.
type assignment struct {
	servers  []string
	hosts    []candidate
	gateways [][]int // Indexes of hosts, by server.
	load     []int   // Number of servers, by host.
	bound    int     // The largest load.
}

// assign returns the gateways of a failure domain's servers, in the order of their
// weights. The heaviest pairs of server and host are taken first, as long as the
// server needs gateways and the host is below its bound. The order of the pairs does
// not depend on other hosts, so the loss of a host moves its own servers and only the
// few that these displace. Servers with too few hosts in the domain use the nearest
// others as well.
func (t Topology) assign(domain string, servers []string, hosts []candidate) map[string][]Gateway {
	near := slices.DeleteFunc(slices.Clone(hosts), func(h candidate) bool { return h.failureDomain != domain })
	if len(servers)*len(near) > maxPairs {
		return t.assignByWeight(domain, servers, near, hosts)
	}
	a := &assignment{
		servers: servers, hosts: near, gateways: make([][]int, len(servers)), load: make([]int, len(near)),
		bound: gatewayBound(len(servers), len(near)),
	}
	for _, p := range sortedPairs(servers, near) {
		if len(a.gateways[p.server]) < maxGateways && a.load[p.host] < a.bound {
			a.add(p.server, p.host)
		}
	}
	assigned := make(map[string][]Gateway, len(servers))
	for i := range servers {
		for len(a.gateways[i]) < min(maxGateways, len(near)) {
			a.exchange(i)
		}
	}
	for i, name := range servers {
		assigned[name] = a.ranked(i)
		if len(assigned[name]) < maxGateways {
			assigned[name] = t.complete(assigned[name], name, domain, hosts)
		}
	}
	return assigned
}

// assignByWeight is assign without a bound.
func (t Topology) assignByWeight(domain string, servers []string, near, hosts []candidate) map[string][]Gateway {
	assigned := make(map[string][]Gateway, len(servers))
	for _, name := range servers {
		assigned[name] = t.rank(name, domain, near)
		if len(assigned[name]) < maxGateways {
			assigned[name] = t.complete(assigned[name], name, domain, hosts)
		}
	}
	return assigned
}

func (a *assignment) add(server, host int) {
	a.gateways[server] = append(a.gateways[server], host)
	a.load[host]++
}

func (a *assignment) weight(server, host int) uint64 {
	return Weight(a.servers[server], a.hosts[host].Host)
}

// exchange gives a server one more gateway if all hosts below the bound are its gateways
// already: the heaviest other host for it, which hands another server over to the host
// with the least load. That host has fewer servers, so there is one that it lacks.
func (a *assignment) exchange(server int) {
	least, taken := -1, -1
	for h := range a.hosts {
		if slices.Contains(a.gateways[server], h) {
			if least < 0 || cmp.Or(cmp.Compare(a.load[h], a.load[least]), cmp.Compare(a.hosts[h].Host, a.hosts[least].Host)) < 0 {
				least = h
			}
		} else if taken < 0 || a.weight(server, h) > a.weight(server, taken) {
			taken = h
		}
	}
	a.add(server, taken)
	if a.load[taken] <= a.bound {
		return
	}
	other := -1
	for s, hosts := range a.gateways {
		if s == server || !slices.Contains(hosts, taken) || slices.Contains(hosts, least) {
			continue
		}
		if other < 0 || a.weight(s, least) > a.weight(other, least) {
			other = s
		}
	}
	a.gateways[other][slices.Index(a.gateways[other], taken)] = least
	a.load[taken]--
	a.load[least]++
}

// ranked returns the gateways of a server in the order of their weights.
func (a *assignment) ranked(server int) (gateways []Gateway) {
	hosts := a.gateways[server]
	slices.SortFunc(hosts, func(x, y int) int {
		return cmp.Or(cmp.Compare(a.weight(server, y), a.weight(server, x)), cmp.Compare(a.hosts[x].Host, a.hosts[y].Host))
	})
	for _, h := range hosts {
		gateways = append(gateways, a.hosts[h].Gateway)
	}
	return gateways
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

// complete adds the nearest hosts of other domains to a server's gateways, while its own
// domain has too few that are up. They are chosen without a bound.
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
