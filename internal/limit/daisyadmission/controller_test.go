package daisyadmission_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// In a workspace that sends more than its rate, bookings, which have the higher
// priority, are admitted before lookups that wait as long.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := daisyadmission.New(func() {})
		c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 20, Burst: 10}})
		time.Sleep(time.Second)
		const maxWait = 200 * time.Millisecond
		var mu sync.Mutex
		admitted := make(map[int]int)
		var wait sync.WaitGroup
		for range 100 { // 10 s of 10 bookings and 40 lookups a second.
			for i := range 5 {
				priority := 2
				if i == 0 {
					priority = 1
				}
				wait.Go(func() {
					if ok, _ := c.Admit("w", priority, maxWait); ok {
						mu.Lock()
						defer mu.Unlock()
						admitted[priority]++
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		wait.Wait()
		assert.Assert(t, admitted[1] >= 95, "%v", admitted)
		assert.Assert(t, admitted[1]+admitted[2] >= 115, "%v", admitted)
	})
}

func TestRefusalReturnsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := daisyadmission.New(func() {})
		c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 1}})
		ok, retryAfter := c.Admit("w", 1, 0)
		assert.Assert(t, !ok)
		time.Sleep(retryAfter + time.Millisecond)
		ok, _ = c.Admit("w", 1, 0)
		assert.Assert(t, ok)
	})
}

// Guards against clients told to stay away for minutes: in a large fleet a host's own
// part of the rate is small, but the tokens that it lacks come with heartbeats.
func TestRetryAfterCountsOnTheNextHeartbeats(t *testing.T) {
	const most = 2 * time.Second // Some heartbeats, at 0.5 s.
	tests := []struct {
		name  string
		hosts int
		rate  float64
	}{
		{"SmallFleet", 6, 10},
		{"LargeFleet", 79, 10},
		{"TargetFleet", 410, 1},
		{"NoRate", 79, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := daisyadmission.New(func() {})
				c.SetHosts(test.hosts)
				c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: test.rate, Burst: 10}})
				ok, retryAfter := c.Admit("w", 1, 0)
				assert.Assert(t, !ok)
				assert.Assert(t, 0 < retryAfter && retryAfter <= most, "%v", retryAfter)
			})
		})
	}
}

// While a workspace is overloaded and its pool is empty, a host requests tokens less
// often; while its requests are granted, it requests them at the full rate.
func TestOverloadRequestsTokensLessOften(t *testing.T) {
	for _, test := range []struct {
		name        string
		granted     bool
		least, most int // In 10 s.
	}{
		{"PoolEmpty", false, 38, 45}, // Every 240 ms, after the first few at shorter intervals.
		{"PoolFull", true, 130, 170}, // Every 60 to 70 ms.
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				var c *daisyadmission.Controller
				c = daisyadmission.New(func() {
					requests++
					time.AfterFunc(8*time.Millisecond, func() {
						demands := c.Demands()
						if test.granted {
							c.AddGrants(demands)
						}
					})
				})
				c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 20, Burst: 10}})
				c.SetHosts(5)
				for range 1000 {
					_, _ = c.Admit("w", 1, 0)
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, test.least <= requests && requests <= test.most, "requested %d times", requests)
			})
		})
	}
}

func TestGrantsAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		c := daisyadmission.New(func() { requests++ })
		c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 50}})
		c.SetHosts(5)
		ok, _ := c.Admit("w", 1, 0)
		assert.Assert(t, !ok)
		assert.Equal(t, requests, 1)
		assert.Assert(t, len(c.Demands()) == 1)
		c.AddGrants([]daisyheartbeat.Demand{{Workspace: "w", Tokens: 3}})
		ok, _ = c.Admit("w", 1, 0)
		assert.Assert(t, ok)
	})
}
