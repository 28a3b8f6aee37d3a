package daisygateway

import "sync/atomic"

// Counts are totals of a gateway since it was created.
type Counts struct {
	Requests   uint64 // Requests received, without those on pinned connections.
	Overloaded uint64 // Of these, refused because the server's queue was too long.
	NotSent    uint64 // Of these, not sent to the server for another reason.
	Evacuated  uint64 // Of these, refused because the server is evacuated.
	OverBudget uint64 // Of these, refused because the server is cold.
}

// counters are the running Counts.
type counters struct {
	requests, overloaded, notSent, evacuated, overBudget atomic.Uint64
}

// Counts returns the totals so far.
func (g *Gateway) Counts() Counts {
	return Counts{
		Requests: g.counters.requests.Load(), Overloaded: g.counters.overloaded.Load(),
		NotSent: g.counters.notSent.Load(), Evacuated: g.counters.evacuated.Load(), OverBudget: g.counters.overBudget.Load(),
	}
}
