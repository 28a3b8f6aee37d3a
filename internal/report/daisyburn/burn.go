package daisyburn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// budgetPeriod is the period to which an objective applies.
const budgetPeriod = 30 * 24 * time.Hour

// Burn is how fast a workspace consumes the error budget of a profile.
type Burn struct {
	Workspace string
	Profile   string
	Objective float64
	Requests  uint64
	Replica   float64 // The fraction of requests that replicas served.
	Rates     []Rate  // One for each window, the shortest first.
}

// Rate is the burn rate over a window.
type Rate struct {
	Window  time.Duration
	Total   uint64
	Bad     uint64
	Rate    float64       // 1 consumes the budget in exactly 30 days.
	Lasts   time.Duration // How long a full budget lasts at this rate; 0 if no request was bad.
	Causes  map[daisystream.Cause]uint64
	Slow    uint64  // Answered, but over the profile's latency; counted as bad.
	BadRate float64 // The fraction of requests that were bad.
}

// Merge sums the counts of all hosts and returns the burn rates, sorted by the
// highest rate over any window in descending order.
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
		return cmp.Or(cmp.Compare(b.maxRate(), a.maxRate()), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Profile, b.Profile))
	})
	return burns
}

func (b *Burn) maxRate() float64 {
	highest := 0.0
	for _, r := range b.Rates {
		highest = math.Max(highest, r.Rate)
	}
	return highest
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
	r.Lasts = time.Duration(float64(budgetPeriod) / r.Rate)
	return r
}
