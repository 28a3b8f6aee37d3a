// Package daisyplacement chooses the hosts of a database: the holder, which owns
// the database group, and the observers, which probe its primary. It uses
// rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on the load of
// each host, so that the loss of a host moves only the databases that it held.
//
// Where another party carries promotions out, Topology ranks the hosts through which
// each backend server is used: those that are up and not leaving. Where a failure domain
// has enough hosts, the requests of a server are spread over three of them by workspace,
// and a bound limits the servers of a host. Elsewhere one host serves all requests of a
// server and two others stand by.
package daisyplacement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxLoadRatio is the maximum load of a host relative to the mean load, as in
// consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018).
const maxLoadRatio = 1.25

// Host is a candidate host.
type Host struct {
	Name          string
	FailureDomain string
	Region        string
	Incarnation   uint64 // Identifies the host's process.
	Load          int    // Number of databases that it holds.
}

// Weight returns the rendezvous weight of a host for a database.
func Weight(database, host string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(database)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(host)
	return h.Sum64()
}

// Holder returns the host that should hold the database. It prefers hosts below
// the load bound, then hosts in the failure domain near, then hosts in the region
// of near. It returns false if there is no candidate.
func Holder(database, near string, hosts []Host) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	region := regionOf(near, hosts)
	bound := loadBound(hosts)
	best := slices.MaxFunc(hosts, func(a, b Host) int {
		if c := compareBool(a.Load < bound, b.Load < bound); c != 0 {
			return c
		}
		if c := compareBool(a.FailureDomain == near, b.FailureDomain == near); c != 0 {
			return c
		}
		if c := compareBool(a.Region == region, b.Region == region); c != 0 {
			return c
		}
		return cmp.Compare(Weight(database, a.Name), Weight(database, b.Name))
	})
	return best, true
}

// loadBound returns the number of databases below which a host may take another.
func loadBound(hosts []Host) int {
	total := 1
	for _, h := range hosts {
		total += h.Load
	}
	return int(maxLoadRatio*float64(total)/float64(len(hosts))) + 1
}

func regionOf(domain string, hosts []Host) string {
	for _, h := range hosts {
		if h.FailureDomain == domain {
			return h.Region
		}
	}
	return ""
}

// Observers returns up to n hosts that probe the database's primary, each in a
// different failure domain and none in the holder's.
func Observers(database, holderDomain string, n int, hosts []Host) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Compare(Weight(database, b.Name), Weight(database, a.Name))
	})
	used := map[string]bool{holderDomain: true}
	var names []string
	for _, h := range ranked {
		if len(names) == n {
			break
		}
		if used[h.FailureDomain] {
			continue
		}
		used[h.FailureDomain] = true
		names = append(names, h.Name)
	}
	return names
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
