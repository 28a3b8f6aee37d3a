package daisyadmission_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// quotaTraffic is a fleet with many workspaces in which the messages about tokens are
// counted.
type quotaTraffic struct {
	mu       sync.Mutex
	pools    map[string]*daisyquota.Pool
	hosts    []*daisyadmission.Controller
	wait     sync.WaitGroup
	ended    chan struct{}
	early    int // Heartbeats sent early.
	demands  int // Demands in all heartbeats.
	offered  int
	admitted int
	within   int                      // Operations within the rate and burst of their workspace when they arrive.
	buckets  map[string]*singleBucket // By workspace; all operations reach them at once.
}

func newQuotaTraffic(hosts int, limits []daisyquota.WorkspaceLimit) *quotaTraffic {
	const heartbeatInterval = 500 * time.Millisecond
	f := &quotaTraffic{pools: make(map[string]*daisyquota.Pool), buckets: make(map[string]*singleBucket), ended: make(chan struct{})}
	for _, l := range limits {
		f.buckets[l.Workspace] = &singleBucket{limit: l, updated: time.Now()}
		f.pools[l.Workspace] = daisyquota.NewPool(time.Now(), l, hosts)
	}
	for i := range hosts {
		wake := make(chan struct{}, 1)
		c := daisyadmission.New(func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		c.SetLimits(limits)
		c.SetHosts(hosts)
		f.hosts = append(f.hosts, c)
		f.wait.Go(func() {
			time.Sleep(heartbeatInterval * time.Duration(i) / time.Duration(hosts))
			for {
				early := 0
				select {
				case <-f.ended:
					return
				case <-wake:
					early = 1
				case <-time.After(heartbeatInterval):
				}
				f.wait.Go(func() { f.heartbeat(c, early) })
			}
		})
	}
	return f
}

func (f *quotaTraffic) heartbeat(c *daisyadmission.Controller, early int) {
	const oneWay = 12 * time.Millisecond
	demands := c.Demands()
	time.Sleep(oneWay)
	f.mu.Lock()
	f.early += early
	f.demands += len(demands)
	var grants []daisyheartbeat.Demand
	for _, d := range demands {
		granted, denied, retryAfter := f.pools[d.Workspace].Reserve(time.Now(), d.Tokens)
		for _, g := range granted {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Tokens: g.Tokens, After: g.After})
		}
		if denied > 0 {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Denied: denied, RetryAfter: retryAfter})
		}
	}
	f.mu.Unlock()
	time.Sleep(oneWay)
	c.AddGrants(grants)
}

// operate lets an operation arrive at a host.
func (f *quotaTraffic) operate(host int, workspace string) {
	const maxWait = 200 * time.Millisecond
	f.mu.Lock()
	if f.buckets[workspace].take(time.Now()) {
		f.within++
	}
	f.mu.Unlock()
	f.wait.Go(func() {
		ok, _ := f.hosts[host].Admit(workspace, 1, maxWait)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.offered++
		if ok {
			f.admitted++
		}
	})
}

// Guards against rates that cannot be used in a large fleet, and against messages that
// grow with hosts times workspaces: each host sees an operation of a workspace every
// half minute, and the fleet grows with the number of workspaces.
func TestSparseWorkspacesUseTheirRates(t *testing.T) {
	const (
		workspacesPerHost = 0.64
		rate              = 10.0
		load              = 0.7 // Relative to the rate.
		span              = 5 * time.Second
		refusedShare      = 0.001 // Of operations within the rate.
		most              = 1.2   // Early heartbeats per operation.
	)
	for _, hosts := range []int{30, 100, 300, 1000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limits []daisyquota.WorkspaceLimit
				for i := range int(workspacesPerHost * float64(hosts)) {
					limits = append(limits, daisyquota.WorkspaceLimit{Workspace: fmt.Sprint("w", i), Rate: rate, Burst: rate})
				}
				f := newQuotaTraffic(hosts, limits)
				time.Sleep(time.Second) // The pools are empty after a restart.
				random := rand.New(rand.NewPCG(20, 1))
				perSecond := load * rate * float64(len(limits))
				began := time.Now()
				for time.Since(began) < span {
					f.operate(random.IntN(hosts), limits[random.IntN(len(limits))].Workspace)
					time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				}
				time.Sleep(time.Second) // Operations still wait.
				close(f.ended)
				f.wait.Wait()
				perHost := float64(hosts) * span.Seconds()
				t.Logf("%d hosts, %d workspaces: %d operations, %d refused, %d beyond their rates; a host and second: %.2f operations, %.2f early heartbeats, %.2f demands",
					hosts, len(limits), f.offered, f.offered-f.admitted, f.offered-f.within, float64(f.offered)/perHost, float64(f.early)/perHost, float64(f.demands)/perHost)
				wrongful := f.within - f.admitted
				assert.Assert(t, float64(wrongful) <= refusedShare*float64(f.offered), "%d of %d wrongfully refused", wrongful, f.offered)
				assert.Assert(t, float64(f.early) <= most*float64(f.offered), "%d early heartbeats for %d operations", f.early, f.offered)
			})
		})
	}
}
