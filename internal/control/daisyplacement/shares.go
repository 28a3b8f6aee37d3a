package daisyplacement

import (
	"cmp"
	"slices"
)

// reservedConnections is the number of a server's connections that no gateway gets: one
// for the control leader's probes.
const reservedConnections = 1

// standbyShares are the shares of a server's connections, by rank, where the first
// gateway serves all requests. The others serve requests that the first cannot send, so
// that the server stays in use until the fleet's state has changed.
var standbyShares = [maxGateways]float64{0.8, 0.15, 0.05}

// Gateways are the hosts through which a server is used.
type Gateways struct {
	Ranked []Gateway
	// Spread is set if the requests are spread over all gateways by workspace. Otherwise
	// all go to the first that can send them.
	Spread bool
}

// Rank returns the rank of the host, or -1 if it is no gateway.
func (g Gateways) Rank(host string) int {
	return slices.IndexFunc(g.Ranked, func(h Gateway) bool { return h.Host == host })
}

// Order returns the gateways in the order in which a request of the workspace is offered
// to them. A workspace keeps its order while the gateways stay, so that its connections
// are reused.
func (g Gateways) Order(server, workspace string) []Gateway {
	if !g.Spread {
		return g.Ranked
	}
	ordered := slices.Clone(g.Ranked)
	key := server + "\x00" + workspace
	slices.SortFunc(ordered, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(Weight(key, b.Host), Weight(key, a.Host)), cmp.Compare(a.Host, b.Host))
	})
	return ordered
}

// Connections returns how many of a server's connections the host may keep, 0 if it is no
// gateway. The shares of all gateways and reservedConnections together are at most the
// limit, which must be 2 or more: with less, the first gateway gets one connection, since
// the server could not be used otherwise.
func (g Gateways) Connections(limit int, host string) int {
	rank := g.Rank(host)
	if rank < 0 {
		return 0
	}
	left := max(limit-reservedConnections, 1)
	if g.Spread {
		share, remainder := left/len(g.Ranked), left%len(g.Ranked)
		if rank < remainder {
			share++
		}
		return share
	}
	return standbyShare(left, rank)
}

// standbyShare returns the share of the connections for the gateway of the rank, at least
// 1 as long as the gateways before it leave one.
func standbyShare(connections, rank int) int {
	left := connections
	for _, part := range standbyShares[:rank] {
		left -= min(left, max(1, int(float64(connections)*part)))
	}
	return min(left, max(1, int(float64(connections)*standbyShares[rank])))
}
