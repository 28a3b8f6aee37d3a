package daisybalance

import "time"

const (
	// probeShare is the part of the reads that may try an excluded server again.
	probeShare = 0.1
	// probeInterval is the minimum time between two of them for a server.
	probeInterval = time.Second
)

// Rand is a source of randomness.
type Rand interface {
	Float64() float64 // In [0, 1).
}

// Pick returns the index of the candidate that a read goes to, or -1 if there is none
// that was not tried. Candidates with a lesser problem go first; among equals, the
// shares decide. Now and then it picks an excluded server, to see whether it answers.
func (b *Balancer) Pick(now time.Time, r Rand, all []Assessment) int {
	if i := b.probe(now, r, all); i >= 0 {
		return i
	}
	chances := Chances(all)
	at := r.Float64()
	last := -1
	for i, chance := range chances {
		if chance == 0 {
			continue
		}
		last = i
		if at < chance {
			return i
		}
		at -= chance
	}
	return last
}

// probe returns the index of an excluded server that is due for a statement, or -1.
func (b *Balancer) probe(now time.Time, r Rand, all []Assessment) int {
	for i, a := range all {
		if !a.Excluded || a.Tried || a.Problem > 0 || now.Sub(b.excluded[a.Name]) < probeInterval {
			continue
		}
		if r.Float64() >= probeShare {
			continue
		}
		b.excluded[a.Name] = now
		return i
	}
	return -1
}

// Chances returns the chance of each candidate to be picked, without the single
// statements for excluded servers. The chances add up to 1 unless all candidates were
// tried.
func Chances(all []Assessment) []float64 {
	chances := make([]float64, len(all))
	least, found := leastProblem(all)
	if !found {
		return chances
	}
	sum, cheapest := 0.0, -1
	for i, a := range all {
		if a.Tried || a.Problem != least {
			continue
		}
		chances[i] = a.Share
		sum += a.Share
		if cheapest < 0 || cheaper(a, all[cheapest]) {
			cheapest = i
		}
	}
	if sum == 0 {
		chances[cheapest] = 1
		return chances
	}
	for i := range chances {
		chances[i] /= sum
	}
	return chances
}

func cheaper(a, b Assessment) bool {
	if a.Excluded != b.Excluded {
		return b.Excluded
	}
	return a.Cost < b.Cost
}

// leastProblem returns the least problem of the candidates that were not tried.
func leastProblem(all []Assessment) (least int, found bool) {
	for _, a := range all {
		if !a.Tried && (!found || a.Problem < least) {
			least, found = a.Problem, true
		}
	}
	return least, found
}
