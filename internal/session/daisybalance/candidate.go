package daisybalance

import "time"

// Candidate is a server that may serve a read of a class.
type Candidate struct {
	Name     string
	Distance Distance
	Primary  bool
	Expected Expected
	Penalty  time.Duration // Added to the cost undiscounted, for a server that is to be spared.
	Success  float64       // The fraction of requests that it is expected to answer.
	// Problem ranks a recent problem that speaks against the server for this request;
	// 0 is none. A server with a lesser problem goes first, whatever the shares are.
	Problem int
	// Tried is set if the request was sent to the server before.
	Tried bool
}

// Assessment is what the decision holds of a candidate.
type Assessment struct {
	Candidate
	Cost     time.Duration // The worth of the expected time, and the costs of crossing.
	Target   float64       // The share that the costs call for.
	Share    float64       // The share that the server has now.
	Excluded bool          // It fails too much and gets single statements only.
}

// standing returns the part of a candidate's cost that does not depend on load.
func standing(c Costs, candidate Candidate) time.Duration {
	cost := c.crossing(candidate.Distance) + candidate.Penalty
	if candidate.Primary {
		cost += primaryPenalty
	}
	return cost
}
