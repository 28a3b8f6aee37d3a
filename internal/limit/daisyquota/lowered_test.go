package daisyquota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// Guards against reserves that many hosts keep after the limit was lowered far below
// them: together they would exceed the new limit, and the pool would grant nothing.
func TestReservesShrinkWithTheLimit(t *testing.T) {
	const hosts, busy = 300, 130
	now := time.Unix(1000, 0)
	limit := daisyquota.WorkspaceLimit{Workspace: "w", Rate: 200, Burst: 240}
	pool := daisyquota.NewPool(now, limit, hosts)
	buckets := make([]*daisyquota.HostBucket, busy)
	for i := range buckets {
		buckets[i] = daisyquota.NewHostBucket(now, limit, hosts)
	}
	beat := func(d time.Duration) {
		now = now.Add(d)
		for i, b := range buckets {
			if demand, due := b.RequestReserve(now); due {
				if g, ok := pool.RenewReserve(now, daisyquota.ReserveHolder{Host: fmt.Sprint(i)}, demand); ok {
					b.AddReserve(now, g)
				}
			}
		}
	}
	for _, b := range buckets {
		b.Take(now.Add(time.Minute))
	}
	beat(time.Minute)
	for range 4 {
		beat(500 * time.Millisecond)
	}
	lowered := daisyquota.WorkspaceLimit{Workspace: "w", Rate: 1, Burst: 5}
	pool.SetLimit(now, lowered, hosts)
	for _, b := range buckets {
		b.SetLimit(now, lowered, hosts)
	}
	for range 14 { // Reserves of the old limit have expired after 5.5 s.
		beat(500 * time.Millisecond)
	}
	admitted := 0
	for _, b := range buckets {
		if ok, _ := b.Take(now); ok {
			admitted++
		}
	}
	allowed := (lowered.Rate*5+lowered.Burst)*1.1 + 20
	assert.Assert(t, float64(admitted) <= allowed, "%d operations at once, %v are allowed in 5 s", admitted, allowed)
}
