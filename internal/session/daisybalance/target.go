package daisybalance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// successMin is the fraction of answered requests below which a server is excluded,
	// and successBack the one from which it is no longer. A server that fails 30% of its
	// requests is hardly ever excluded by chance.
	successMin  = 0.3
	successBack = 0.5
	// successMargin is by how much the fraction of another server must be higher to get
	// what a server fails. It keeps noise and errors of clients, which all servers
	// answer alike, from moving anything.
	successMargin = 0.05
	// measuredShare is how much of its share moves from a server whose load is known from
	// late answers only. With all of it, 100 hosts swung between 0.11 and 0.83 of the reads.
	measuredShare = 0.5
)

// assess returns the candidates with their costs and the shares that these call for.
// The servers in excluded were excluded before.
func assess(o Costs, class Class, candidates []Candidate, excluded map[string]time.Time) []Assessment {
	all := make([]Assessment, len(candidates))
	for i, c := range candidates {
		all[i] = Assessment{Candidate: c, Cost: class.worth(c.Expected.Total()) + standing(o, c)}
	}
	exclude(all, excluded)
	home := nearest(o, all)
	for i := range all {
		if home[i] {
			all[i].Target = 1 / float64(len(home))
		}
	}
	moveForGain(class, all)
	moveForFaults(all)
	return all
}

// exclude excludes the servers that fail too much, the worst first, but never more
// than half.
func exclude(all []Assessment, before map[string]time.Time) {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[a].Success, all[b].Success) })
	for _, i := range order[:len(all)/2] {
		least := successMin
		if _, ok := before[all[i].Name]; ok {
			least = successBack
		}
		all[i].Excluded = all[i].Success < least
	}
}

// nearest returns the indices of the servers that get the reads if load and faults do
// not speak against it: those with the least standing cost.
func nearest(o Costs, all []Assessment) map[int]bool {
	home := make(map[int]bool)
	least := -1
	for i, a := range all {
		if a.Excluded {
			continue
		}
		cost := standing(o, a.Candidate)
		if least < 0 || cost < standing(o, all[least].Candidate) {
			least = i
			clear(home)
		}
		if cost == standing(o, all[least].Candidate) {
			home[i] = true
		}
	}
	return home
}

// moveForGain moves a part of each server's share to the servers that cost less. The
// part is the greatest gain as a fraction of the class's objective, and is divided in
// proportion to the gains.
func moveForGain(class Class, all []Assessment) {
	before := targets(all)
	for i, from := range all {
		greatest, sum := 0.0, 0.0
		for _, to := range all {
			gain := max(0, float64(from.Cost-to.Cost))
			if !to.Excluded {
				greatest, sum = max(greatest, gain), sum+gain
			}
		}
		if before[i] == 0 || greatest == 0 {
			continue
		}
		moved := before[i] * min(1, greatest/float64(class.Objective))
		if from.Expected.Measured {
			moved *= measuredShare
		}
		all[i].Target -= moved
		for j := range all {
			if !all[j].Excluded {
				all[j].Target += moved * max(0, float64(from.Cost-all[j].Cost)) / sum
			}
		}
	}
}

// moveForFaults moves the part of each server's share that fails to the cheapest
// server that fails less.
func moveForFaults(all []Assessment) {
	before := targets(all)
	for i, from := range all {
		best := -1
		for j, to := range all {
			if to.Excluded || to.Success < from.Success+successMargin {
				continue
			}
			if best < 0 || to.Cost < all[best].Cost {
				best = j
			}
		}
		if best >= 0 {
			moved := before[i] * (1 - from.Success)
			all[i].Target -= moved
			all[best].Target += moved
		}
	}
}

func targets(all []Assessment) []float64 {
	t := make([]float64, len(all))
	for i, a := range all {
		t[i] = a.Target
	}
	return t
}
