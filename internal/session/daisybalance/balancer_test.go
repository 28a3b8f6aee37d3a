package daisybalance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
)

// loaded returns a host of region 1 whose server there has stated the wait.
func loaded(now time.Time, wait time.Duration) *host {
	h := &host{region: 1}
	for i := range h.views {
		l := daisyrequest.Load{Run: runTime}
		if i == 1 {
			l.Wait = wait
		}
		h.views[i].State(now, "class", 0, l)
	}
	return h
}

// share returns the share of the host's own region after an update.
func (h *host) share(now time.Time) float64 {
	return h.balancer.Update(now, daisybalance.Costs{}, daisybalance.NewClass(objective), h.candidates(now))[h.region].Share
}

// Guards against a host that goes on to move, or stays away, on a view that nothing
// has confirmed for seconds.
func TestStaleView(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{region: 1}
	assert.Equal(t, h.share(now), 1.0)
	h.views[1].State(now, "class", 0, daisyrequest.Load{Wait: time.Second, Run: runTime})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		h.share(now)
	}
	assert.Check(t, h.share(now) < 0.1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.share(now)
	}
	assert.Equal(t, h.share(now), 1.0)
}

// Guards against hosts that all learn of a full queue at once and all leave: as each
// moves a bounded step, only a part of the reads goes before the next views arrive.
func TestAllMoveAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		least float64
	}{
		{"FirstView", 0, 1},
		{"RoundTrip", 25 * time.Millisecond, 0.98},
		{"StatementThatWaited", 200 * time.Millisecond, 0.89},
		{"Pause", 1900 * time.Millisecond, 0.74},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := loaded(now, 0)
			h.share(now)
			h.views[1].State(now, "class", 0, daisyrequest.Load{Wait: 2 * time.Second, Run: runTime})
			share := h.share(now.Add(test.after))
			assert.Check(t, share >= test.least && (test.after == 0 || share < 1), "%.3f", share)
		})
	}
}

// Guards against a surge on a server that comes back: it is offered its share over 2 s.
func TestReturningServer(t *testing.T) {
	now := time.Unix(1000, 0)
	h := loaded(now, 0)
	update := func() []daisybalance.Assessment {
		return h.balancer.Update(now, daisybalance.Costs{}, daisybalance.NewClass(objective), h.candidates(now))
	}
	update()
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		all := h.candidates(now)
		h.balancer.Update(now, daisybalance.Costs{}, daisybalance.NewClass(objective), []daisybalance.Candidate{all[0], all[2]})
	}
	assert.Equal(t, update()[1].Share, 0.0)
	now = now.Add(200 * time.Millisecond)
	share := update()[1].Share
	assert.Check(t, share > 0 && share < 0.11, "%.2f", share)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		update()
	}
	assert.Equal(t, update()[1].Share, 1.0)
}

// Guards against reads that leave their region for a gain that no caller notices.
func TestWorthLeaving(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
		costs     daisybalance.Costs
		wait      time.Duration
		leaves    bool
	}{
		{"TensOfMilliseconds", objective, daisybalance.Costs{}, 80 * time.Millisecond, false},
		{"MostOfObjective", objective, daisybalance.Costs{}, 400 * time.Millisecond, true},
		{"SameWaitWithMoreSlack", 1500 * time.Millisecond, daisybalance.Costs{}, 400 * time.Millisecond, false},
		{"CrossingIsCheap", objective, daisybalance.Costs{Region: time.Nanosecond}, 170 * time.Millisecond, true},
		{"CrossingIsDear", objective, daisybalance.Costs{Region: time.Second}, 400 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := loaded(now, test.wait)
			all := h.balancer.Update(now, test.costs, daisybalance.NewClass(test.objective), h.candidates(now))
			assert.Equal(t, all[1].Target < 1, test.leaves, "target %.3f, costs %v and %v", all[1].Target, all[1].Cost, all[2].Cost)
		})
	}
}

// Guards against the exclusion of all servers of a service when all fail, such as by
// the fault of the host's own network.
func TestAtMostHalfAreExcluded(t *testing.T) {
	for n := 1; n <= 5; n++ {
		var candidates []daisybalance.Candidate
		for i := range n {
			candidates = append(candidates, daisybalance.Candidate{Name: fmt.Sprint("m", i), Distance: daisybalance.OtherRegion, Success: 0.01 * float64(i)})
		}
		var b daisybalance.Balancer
		excluded := 0
		for _, a := range b.Update(time.Unix(1000, 0), daisybalance.Costs{}, daisybalance.NewClass(objective), candidates) {
			if a.Excluded {
				excluded++
				assert.Equal(t, a.Share, 0.0)
			}
		}
		assert.Equal(t, excluded, n/2)
	}
}

// Guards against shares that lose or invent reads, whatever the views are and whichever
// servers are candidates.
func TestSharesAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b daisybalance.Balancer
		now := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(1, 2))
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "passed")) * time.Millisecond)
			var candidates []daisybalance.Candidate
			for i := range 5 {
				if !rapid.Bool().Draw(t, "candidate") {
					continue
				}
				candidates = append(candidates, daisybalance.Candidate{
					Name: fmt.Sprint("m", i), Primary: i == 0, Tried: rapid.Bool().Draw(t, "tried"),
					Distance: daisybalance.Distance(rapid.IntRange(0, 2).Draw(t, "distance")),
					Expected: daisybalance.Expected{Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond},
					Success:  rapid.Float64Range(0, 1).Draw(t, "success"), Problem: rapid.IntRange(0, 2).Draw(t, "problem"),
				})
			}
			all := b.Update(now, daisybalance.Costs{}, daisybalance.NewClass(objective), candidates)
			checkShares(t, all)
			checkChances(t, all, b.Pick(now, random, all))
		}
	})
}

func checkShares(t *rapid.T, all []daisybalance.Assessment) {
	sum, targets := 0.0, 0.0
	for _, a := range all {
		if a.Share < 0 || a.Target < -1e-9 || a.Excluded && a.Share != 0 {
			t.Fatalf("%s has the share %v and the target %v", a.Name, a.Share, a.Target)
		}
		sum, targets = sum+a.Share, targets+a.Target
	}
	if len(all) > 0 && (math.Abs(sum-1) > 1e-9 || math.Abs(targets-1) > 1e-9) {
		t.Fatalf("shares add up to %v, targets to %v", sum, targets)
	}
}

func checkChances(t *rapid.T, all []daisybalance.Assessment, picked int) {
	sum, open := 0.0, false
	for i, chance := range daisybalance.Chances(all) {
		sum += chance
		open = open || !all[i].Tried
		if chance < 0 || all[i].Tried && chance > 0 {
			t.Fatalf("%s has the chance %v", all[i].Name, chance)
		}
	}
	for i, e := range daisybalance.Explain(all, func(int) string { return "problem" }) {
		if (e.Reason == "") != (e.Chance == 1) || e.Chance != daisybalance.Chances(all)[i] {
			t.Fatalf("%s with the chance %v is explained by %q", e.Name, e.Chance, e.Reason)
		}
	}
	if open != (picked >= 0) || open && math.Abs(sum-1) > 1e-9 || picked >= 0 && all[picked].Tried {
		t.Fatalf("picked %d with chances that add up to %v", picked, sum)
	}
}
