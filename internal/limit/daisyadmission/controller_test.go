package daisyadmission_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// A workspace that sends more than its rate: bookings, of the higher priority,
// are admitted before lookups that wait as long.
func TestPriorityOfAScarceWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := daisyadmission.New(func() {})
		g.SetLimits([]daisyquota.Limit{{Workspace: "w", Rate: 20, Burst: 10}})
		time.Sleep(time.Second)
		const patience = 200 * time.Millisecond
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
					if ok, _ := g.Admit("w", priority, patience); ok {
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

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := daisyadmission.New(func() {})
		g.SetLimits([]daisyquota.Limit{{Workspace: "w", Rate: 10, Burst: 1}})
		ok, retryAfter := g.Admit("w", 1, 0)
		assert.Assert(t, !ok)
		time.Sleep(retryAfter + time.Millisecond)
		ok, _ = g.Admit("w", 1, 0)
		assert.Assert(t, ok)
	})
}

// A workspace floods every host while its pool is empty: the hosts ask for
// tokens less often, and at full speed again once they are granted.
func TestFloodAsksLessOften(t *testing.T) {
	for _, test := range []struct {
		name        string
		granted     bool
		least, most int // In 10 s.
	}{
		{"PoolEmpty", false, 38, 45}, // Every 240 ms, and the first ones.
		{"PoolFull", true, 130, 170}, // Every 60 to 70 ms.
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := 0
				var g *daisyadmission.Controller
				g = daisyadmission.New(func() {
					asked++
					time.AfterFunc(8*time.Millisecond, func() {
						demands := g.Demands()
						if test.granted {
							g.AddGrants(demands)
						}
					})
				})
				g.SetLimits([]daisyquota.Limit{{Workspace: "w", Rate: 20, Burst: 10}})
				g.SetHosts(5)
				for range 1000 {
					_, _ = g.Admit("w", 1, 0)
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, test.least <= asked && asked <= test.most, "asked %d times", asked)
			})
		})
	}
}

func TestGrantsAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		g := daisyadmission.New(func() { asked++ })
		g.SetLimits([]daisyquota.Limit{{Workspace: "w", Rate: 10, Burst: 50}})
		g.SetHosts(5)
		ok, _ := g.Admit("w", 1, 0)
		assert.Assert(t, !ok)
		assert.Equal(t, asked, 1)
		assert.Assert(t, len(g.Demands()) == 1)
		g.AddGrants([]daisyheartbeat.Demand{{Workspace: "w", Tokens: 3}})
		ok, _ = g.Admit("w", 1, 0)
		assert.Assert(t, ok)
	})
}
