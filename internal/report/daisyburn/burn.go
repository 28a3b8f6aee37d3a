package daisyburn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

// budgetTime is the time over which an objective is meant.
const budgetTime = 30 * 24 * time.Hour

// Burn is how fast a workspace burns the error budget of a profile.
type Burn struct {
	Workspace string
	Profile   string
	Objective float64
	Requests  uint64
	Replica   float64 // The share of requests that replicas served.
	Rates     []Rate  // By window, the shortest first.
}

// Rate is a burn rate over a window.
type Rate struct {
	Window  time.Duration
	Total   uint64
	Bad     uint64
	Rate    float64       // 1 uses up the budget over 30 days.
	Lasts   time.Duration // How long a whole budget lasts at the rate; 0 if nothing burns.
	Causes  map[daisystream.Cause]uint64
	Slow    uint64
	BadRate float64 // The share of bad requests.
}

// Merge sums what hosts counted and works out the burn rates, the fastest over
// the first window first.
func Merge(reports []Report) []Burn {
	sums := make(map[seriesKey]*Series)
	for _, r := range reports {
		for _, s := range r.Series {
			addSeries(sums, s)
		}
	}
	var burns []Burn
	for _, s := range sums {
		burns = append(burns, newBurn(s))
	}
	slices.SortFunc(burns, func(a, b Burn) int {
		return cmp.Or(cmp.Compare(b.fastest(), a.fastest()), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Profile, b.Profile))
	})
	return burns
}

func (b *Burn) fastest() float64 {
	fastest := 0.0
	for _, r := range b.Rates {
		fastest = math.Max(fastest, r.Rate)
	}
	return fastest
}

func addSeries(sums map[seriesKey]*Series, s Series) {
	k := seriesKey{workspace: s.Workspace, profile: s.Profile}
	sum := sums[k]
	if sum == nil {
		sum = &Series{Workspace: s.Workspace, Profile: s.Profile, Objective: s.Objective}
		for _, c := range s.Counts {
			sum.Counts = append(sum.Counts, Count{Window: c.Window, Bad: make(map[daisystream.Cause]uint64)})
		}
		sums[k] = sum
	}
	sum.Requests += s.Requests
	sum.Replica += s.Replica
	for i, c := range s.Counts {
		if i >= len(sum.Counts) {
			break
		}
		sum.Counts[i].Good += c.Good
		sum.Counts[i].Slow += c.Slow
		for cause, n := range c.Bad {
			sum.Counts[i].Bad[cause] += n
		}
	}
}

func newBurn(s *Series) Burn {
	b := Burn{Workspace: s.Workspace, Profile: s.Profile, Objective: s.Objective, Requests: s.Requests}
	if s.Requests > 0 {
		b.Replica = float64(s.Replica) / float64(s.Requests)
	}
	for _, c := range s.Counts {
		b.Rates = append(b.Rates, newRate(c, s.Objective))
	}
	return b
}

func newRate(c Count, objective float64) Rate {
	r := Rate{Window: c.Window, Causes: c.Bad, Slow: c.Slow, Bad: c.Slow}
	for _, n := range c.Bad {
		r.Bad += n
	}
	r.Total = r.Bad + c.Good
	if r.Total == 0 || r.Bad == 0 {
		return r
	}
	r.BadRate = float64(r.Bad) / float64(r.Total)
	r.Rate = r.BadRate / math.Max(1-objective, 1e-9)
	r.Lasts = time.Duration(float64(budgetTime) / r.Rate)
	return r
}
