package daisyquota_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	largeFleet = 300
	step       = 10 * time.Millisecond
)

// grantInFlight is a grant on its way to a host.
type grantInFlight struct {
	daisyquota.Grant
	host      int
	requested time.Time
	arrives   time.Time
}

// quotaFleet is a fleet whose hosts draw on the pool of one workspace. Requests and
// grants are delayed or lost, and hosts and the owner of the pool restart.
type quotaFleet struct {
	now      time.Time
	limit    daisyquota.WorkspaceLimit
	pool     *daisyquota.Pool
	buckets  []*daisyquota.HostBucket
	waiting  []int
	inFlight []grantInFlight
	taken    []time.Time
}

func newQuotaFleet(l daisyquota.WorkspaceLimit) *quotaFleet {
	now := time.Unix(1000, 0)
	f := &quotaFleet{now: now, limit: l, pool: daisyquota.NewPool(now, l, largeFleet), waiting: make([]int, largeFleet)}
	for range largeFleet {
		f.buckets = append(f.buckets, daisyquota.NewHostBucket(now, l, largeFleet))
	}
	return f
}

// operate lets an operation arrive at a host. It waits if there is no token.
func (f *quotaFleet) operate(host int) {
	if ok, _ := f.buckets[host].Take(f.now); ok {
		f.taken = append(f.taken, f.now)
		return
	}
	f.waiting[host]++
}

// request draws the tokens that a host wants. They arrive after the delay.
func (f *quotaFleet) request(host int, delay time.Duration) {
	wanted := f.buckets[host].Request(f.now, f.waiting[host])
	grants, denied, _ := f.pool.Reserve(f.now, wanted)
	for _, g := range grants {
		f.inFlight = append(f.inFlight, grantInFlight{Grant: g, host: host, requested: f.now, arrives: f.now.Add(delay)})
	}
	f.buckets[host].Deny(denied)
}

// advance lets grants arrive, and waiting operations take the tokens.
func (f *quotaFleet) advance() {
	f.now = f.now.Add(step)
	var left []grantInFlight
	for _, g := range f.inFlight {
		switch {
		case f.now.Before(g.arrives):
			left = append(left, g)
		case f.now.Sub(g.requested) <= daisyquota.MaxGrantAge:
			f.buckets[g.host].Add(f.now, g.Tokens, g.After)
		}
	}
	f.inFlight = left
	for host := range f.waiting {
		for f.waiting[host] > 0 {
			ok, _ := f.buckets[host].RetryTake(f.now)
			if !ok {
				break
			}
			f.waiting[host]--
			f.taken = append(f.taken, f.now)
		}
	}
}

// mostTaken returns the largest number of tokens taken in any window of the length.
func (f *quotaFleet) mostTaken(window time.Duration) (most int) {
	for first, last := 0, 0; last < len(f.taken); last++ {
		for f.taken[last].Sub(f.taken[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// In no window are more tokens taken than the platform allows, rate × window + burst
// and a tenth more, whatever is delayed or lost and however often hosts and the owner
// of the pool restart.
func TestBoundHoldsAmongManyHosts(t *testing.T) {
	const (
		window  = 5 * time.Second
		overage = 0.1
	)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 160).Draw(t, "rate")
		f := newQuotaFleet(daisyquota.WorkspaceLimit{Workspace: "w", Rate: rate, Burst: math.Max(1, rate*rapid.Float64Range(0.2, 10).Draw(t, "burst"))})
		load := rapid.Float64Range(0.5, 6).Draw(t, "load") // Relative to the rate.
		active := rapid.IntRange(1, largeFleet).Draw(t, "active")
		source := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { // Xorshift; drawing each number would be slow to shrink.
			source ^= source << 13
			source ^= source >> 7
			source ^= source << 17
			return int(source % uint64(n))
		}
		if source == 0 {
			source = 1
		}
		owed := 0.0
		for tick := range 1200 {
			f.advance()
			for owed += load * rate * step.Seconds(); owed >= 1; owed-- {
				f.operate(random(active))
			}
			for range 10 {
				f.request(random(active), time.Duration(random(40))*step)
			}
			if random(100) == 0 {
				host := random(active)
				f.buckets[host], f.waiting[host] = daisyquota.NewHostBucket(f.now, f.limit, largeFleet), 0
			}
			if tick%500 == 499 {
				f.pool = daisyquota.NewPool(f.now, f.limit, largeFleet)
			}
		}
		allowed := (f.limit.Rate*window.Seconds() + f.limit.Burst) * (1 + overage)
		assert.Assert(t, float64(f.mostTaken(window)) <= allowed, "%d taken in a window, %v allowed", f.mostTaken(window), allowed)
	})
}

// A limit that is lowered or raised, and a fleet that grows or shrinks past the size
// at which limits are granted on demand, leave no tokens of the limit before.
func TestLimitChange(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := func(rate float64) daisyquota.WorkspaceLimit {
		return daisyquota.WorkspaceLimit{Workspace: "w", Rate: rate, Burst: rate}
	}
	tests := []struct {
		name          string
		before, after daisyquota.WorkspaceLimit
		hosts, next   int
		most          float64 // Tokens in the pool and in one host after the change.
	}{
		{"Lowered", limit(100), limit(10), 300, 300, 10},
		{"FleetGrows", limit(100), limit(100), 6, 300, 20},
		{"FleetShrinks", limit(100), limit(100), 300, 6, 20},
		{"Withdrawn", limit(100), limit(0), 300, 300, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := daisyquota.NewPool(now, test.before, test.hosts)
			bucket := daisyquota.NewHostBucket(now, test.before, test.hosts)
			later := now.Add(time.Hour)
			bucket.Add(later, pool.Draw(later, 5), 0)
			pool.SetLimit(later, test.after, test.next)
			bucket.SetLimit(later, test.after, test.next)
			total := pool.Draw(later, math.Inf(1))
			if test.hosts != test.next {
				total += bucket.State().Tokens
			}
			assert.Assert(t, total <= test.most, "%v tokens", total)
		})
	}
}

// Tokens on demand are whole, are requested once while their grant may still come,
// and are lost after a short time, so that they are not kept from other hosts.
func TestTokensOnDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	b := daisyquota.NewHostBucket(now, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 10, Burst: 10}, largeFleet)
	assert.Equal(t, b.Request(now, 0), 0.0)
	ok, _ := b.Take(now)
	assert.Assert(t, !ok)
	assert.Equal(t, b.Request(now, 2), 2.0)
	assert.Equal(t, b.Request(now.Add(50*time.Millisecond), 2), 0.0)
	assert.Equal(t, b.Request(now.Add(50*time.Millisecond), 3), 1.0)
	now = now.Add(60 * time.Millisecond)
	b.Add(now, 2, 0)
	ok, _ = b.RetryTake(now)
	assert.Assert(t, ok)
	ok, _ = b.RetryTake(now.Add(time.Second))
	assert.Assert(t, !ok, "an old token was taken")
}

// Tokens are granted in advance in the order in which they are requested. Beyond that
// operations are denied at once, and told to return one after the other.
func TestReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := daisyquota.NewPool(now, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 20, Burst: 20}, largeFleet)
	now = now.Add(100 * time.Millisecond) // Two tokens.
	grants, denied, _ := pool.Reserve(now, 3)
	assert.DeepEqual(t, grants, []daisyquota.Grant{{Tokens: 2}, {Tokens: 1, After: 50 * time.Millisecond}})
	assert.Equal(t, denied, 0.0)
	grants, denied, _ = pool.Reserve(now, 1)
	assert.DeepEqual(t, grants, []daisyquota.Grant{{Tokens: 1, After: 100 * time.Millisecond}})
	assert.Equal(t, denied, 0.0)
	grants, denied, _ = pool.Reserve(now, 1)
	assert.DeepEqual(t, grants, []daisyquota.Grant{{Tokens: 1, After: 150 * time.Millisecond}})
	assert.Equal(t, denied, 0.0)
	for i := range 4 {
		grants, denied, retryAfter := pool.Reserve(now, 1)
		assert.Equal(t, len(grants), 0)
		assert.Equal(t, denied, 1.0)
		assert.Equal(t, retryAfter, time.Duration(200+50*i)*time.Millisecond)
	}
	now = now.Add(400 * time.Millisecond) // All that were denied may have returned.
	grants, denied, _ = pool.Reserve(now, 4)
	assert.DeepEqual(t, grants, []daisyquota.Grant{{Tokens: 4}})
	assert.Equal(t, denied, 0.0)
}

// A host of an earlier version, which requests parts of tokens, gets whole ones.
func TestPartOfTokenIsGrantedWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := daisyquota.NewPool(now, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 10, Burst: 10}, largeFleet)
	now = now.Add(time.Second)
	grants, denied, _ := pool.Reserve(now, 0.4)
	assert.DeepEqual(t, grants, []daisyquota.Grant{{Tokens: 1}})
	assert.Assert(t, denied <= 0)
	assert.Equal(t, pool.Draw(now, 0), 0.0)
}
