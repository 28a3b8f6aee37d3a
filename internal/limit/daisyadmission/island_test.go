package daisyadmission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	islandHosts     = 109
	smallWorkspaces = 76
	oneWay          = 12 * time.Millisecond
	beat            = 500 * time.Millisecond
	maxWait         = 200 * time.Millisecond
	rateShare       = 0.7      // Of the rates, that is offered.
	lostAfter       = 2 * beat // When a host notices that no control host answers.
)

// island is a fleet of which some hosts may be cut off from a leader that may be lost.
type island struct {
	mu     sync.Mutex
	limits []daisyquota.WorkspaceLimit
	pools  []*daisyquota.Pool // None while there is no leader.
	hosts  []*islandHost
	wait   sync.WaitGroup
	ended  chan struct{}
	early  int // Heartbeats sent early.
}

// islandHost is a host with its time of the last answer of a control host.
type islandHost struct {
	*daisyadmission.Controller
	cutOff bool
	heard  time.Time
}

// tally counts operations that arrived in an interval.
type tally struct {
	all, overRate, unanswered, lost, admitted int
	slowest                                   time.Duration // Until a refusal for lost control.
}

func newIsland(limits []daisyquota.WorkspaceLimit) *island {
	f := &island{limits: limits, ended: make(chan struct{})}
	f.elect()
	for i := range islandHosts {
		wake := make(chan struct{}, 1)
		h := &islandHost{heard: time.Now()}
		h.Controller = daisyadmission.New(func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		h.WatchControl(func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return time.Since(h.heard) > lostAfter
		})
		h.SetLimits(limits)
		h.SetHosts(islandHosts)
		f.hosts = append(f.hosts, h)
		f.wait.Go(func() {
			time.Sleep(beat * time.Duration(i) / islandHosts)
			for {
				early := 0
				select {
				case <-f.ended:
					return
				case <-wake:
					early = 1
				case <-time.After(beat):
				}
				f.wait.Go(func() { f.heartbeat(h, early) })
			}
		})
	}
	return f
}

func (f *island) elect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools = nil
	for _, l := range f.limits {
		f.pools = append(f.pools, daisyquota.NewSuccessorPool(time.Now(), l, islandHosts))
	}
}

// loseLeader leaves the fleet without a leader for the duration of an election.
func (f *island) loseLeader(election time.Duration) {
	f.mu.Lock()
	f.pools = nil
	f.mu.Unlock()
	time.Sleep(election)
	f.elect()
}

func (f *island) cutOff(hosts []*islandHost, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hosts {
		h.cutOff = cutOff
	}
}

func (f *island) heartbeat(h *islandHost, early int) {
	demands := h.Demands()
	time.Sleep(oneWay)
	grants, ok := f.answer(h, demands, early)
	time.Sleep(oneWay)
	if ok {
		h.AddGrants(grants)
	}
}

// answer returns the leader's grants, as package daisypromotion does.
func (f *island) answer(h *islandHost, demands []daisyheartbeat.Demand, early int) (grants []daisyheartbeat.Demand, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.early += early
	if h.cutOff {
		return nil, false
	}
	h.heard = time.Now()
	if f.pools == nil {
		return nil, false
	}
	for _, d := range demands {
		var i int
		if _, err := fmt.Sscanf(d.Workspace, "w%d", &i); err != nil {
			panic(err)
		}
		granted, denied, retryAfter := f.pools[i].Reserve(time.Now(), d.Tokens)
		for _, g := range granted {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Tokens: g.Tokens, After: g.After})
		}
		if denied > 0 {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Denied: denied, RetryAfter: retryAfter})
		}
		if d.Sequence == 0 {
			continue
		}
		holder := daisyquota.ReserveHolder{Host: fmt.Sprintf("%p", h)}
		if g, ok := f.pools[i].RenewReserve(time.Now(), holder, daisyquota.ReserveDemand{Sequence: d.Sequence, Wanted: d.Reserve, Held: d.Held, Returned: d.Returned}); ok {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Sequence: g.Sequence, Reserve: g.Tokens, Lifetime: g.Lifetime})
		}
	}
	return grants, true
}

// load lets operations arrive for the duration, on 30 hosts for each small workspace and
// on all for each large one. It returns what became of those on hosts that count reports
// true for, by the size of the workspace.
func (f *island) load(random *rand.Rand, duration time.Duration, counts func(h *islandHost) bool) (small, large *tally) {
	small, large = &tally{}, &tally{}
	var wait sync.WaitGroup
	rates := 0.0
	for _, l := range f.limits {
		rates += l.Rate
	}
	for began := time.Now(); time.Since(began) < duration; time.Sleep(time.Duration(random.ExpFloat64() / (rateShare * rates) * float64(time.Second))) {
		w, left := 0, random.Float64()*rates
		for left -= f.limits[w].Rate; left > 0; left -= f.limits[w].Rate {
			w++
		}
		h, t := f.hosts[(w*7+random.IntN(30)*3)%islandHosts], small
		if w >= smallWorkspaces {
			h, t = f.hosts[random.IntN(islandHosts)], large
		}
		wait.Go(func() { f.operate(h, f.limits[w].Workspace, t, counts) })
	}
	f.wait.Go(wait.Wait)
	return small, large
}

// settled returns the tallies once their operations have been decided.
func (f *island) settled(tallies ...*tally) (copies []tally) {
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range tallies {
		copies = append(copies, *t)
	}
	return copies
}

// takeEarly returns the number of heartbeats sent early since it was last called.
func (f *island) takeEarly() (early int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	early, f.early = f.early, 0
	return early
}

func (f *island) operate(h *islandHost, workspace string, t *tally, counts func(h *islandHost) bool) {
	arrived := time.Now()
	refused := h.Decide(context.Background(), workspace, daisyorder.Order{Priority: 1}, maxWait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !counts(h) {
		return
	}
	t.all++
	switch {
	case refused == nil:
		t.admitted++
	case refused.Cause == daisyadmission.CauseOverRate:
		t.overRate++
	case refused.Cause == daisyadmission.CauseUnanswered:
		t.unanswered++
	default:
		t.lost++
		t.slowest = max(t.slowest, time.Since(arrived))
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d operations: %d admitted, refused over rate %d, unanswered %d, lost control %d", t.all, t.admitted, t.overRate, t.unanswered, t.lost)
}

// registryLimits are workspaces with the rates of the customer's, a few of them large.
// The limits of these are divided among the hosts.
func registryLimits() []daisyquota.WorkspaceLimit {
	var limits []daisyquota.WorkspaceLimit
	for i := range smallWorkspaces {
		limits = append(limits, daisyquota.WorkspaceLimit{Workspace: fmt.Sprint("w", i), Rate: 12 + float64(i%4), Burst: 10 + float64(i%8)})
	}
	for i := range 3 {
		limits = append(limits, daisyquota.WorkspaceLimit{Workspace: fmt.Sprint("w", smallWorkspaces+i), Rate: 100, Burst: 110})
	}
	return limits
}

func everyHost(*islandHost) bool { return true }

// Guards against operations that are refused for the rate, though their workspace is
// within it, since no control leader answers: on a quiet day, in an election, and on 76 of
// 109 hosts that are cut off.
func TestReservesOutlastControl(t *testing.T) {
	const warmUp = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(4, 1))
		f := newIsland(registryLimits())
		defer f.wait.Wait()
		defer close(f.ended)
		f.load(random, warmUp, everyHost)

		f.takeEarly()
		quietSmall, quietLarge := f.load(random, 10*time.Second, everyHost)
		early := f.takeEarly()
		f.wait.Go(func() { f.loseLeader(750 * time.Millisecond) })
		electionSmall, electionLarge := f.load(random, 1500*time.Millisecond, everyHost)
		f.load(random, warmUp, everyHost)
		cut := f.hosts[:76]
		f.cutOff(cut, true)
		onIsland := func(h *islandHost) bool { return h.cutOff }
		leasedSmall, leasedLarge := f.load(random, 3*time.Second, onIsland)
		laterSmall, laterLarge := f.load(random, 4*time.Second, onIsland)
		f.cutOff(cut, false)

		all := f.settled(quietSmall, quietLarge, electionSmall, electionLarge, leasedSmall, leasedLarge, laterSmall, laterLarge)
		for i, step := range []struct {
			name    string
			allowed float64 // Share of operations refused for the rate or without a reason.
		}{{"quiet", 0.001}, {"election", 0.01}, {"island while leases last", 0.01}, {"island later", 0}} {
			for _, got := range all[2*i : 2*i+2] {
				t.Logf("%s: %v", step.name, &got)
				assert.Check(t, float64(got.overRate+got.unanswered) <= step.allowed*float64(got.all), step.name)
			}
		}
		t.Logf("quiet: %d heartbeats sent early", early)
		assert.Check(t, early <= all[0].all/2)
		for _, later := range all[6:] {
			assert.Check(t, later.slowest <= time.Millisecond, "refused after %v", later.slowest)
		}
	})
}
