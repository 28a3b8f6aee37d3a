package daisyadmission_test

import (
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

// restartedFleet is a fleet of hosts without tokens that draw on the pool of one
// workspace with heartbeats.
type restartedFleet struct {
	mu    sync.Mutex
	pool  *daisyquota.Pool
	hosts []*daisyadmission.Controller
	wait  sync.WaitGroup
	ended chan struct{}
}

func newRestartedFleet(hosts int, l daisyquota.WorkspaceLimit) *restartedFleet {
	const heartbeatInterval = 500 * time.Millisecond
	f := &restartedFleet{pool: daisyquota.NewPool(time.Now(), l, hosts), ended: make(chan struct{})}
	for i := range hosts {
		wake := make(chan struct{}, 1)
		c := daisyadmission.New(func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		c.SetLimits([]daisyquota.WorkspaceLimit{l})
		c.SetHosts(hosts)
		f.hosts = append(f.hosts, c)
		f.wait.Go(func() {
			time.Sleep(heartbeatInterval * time.Duration(i) / time.Duration(hosts))
			for {
				select {
				case <-f.ended:
					return
				case <-wake:
				case <-time.After(heartbeatInterval):
				}
				f.heartbeat(c)
			}
		})
	}
	return f
}

// heartbeat requests tokens for a host and adds those that it is granted.
func (f *restartedFleet) heartbeat(c *daisyadmission.Controller) {
	const oneWay = 8 * time.Millisecond
	demands := c.Demands()
	time.Sleep(oneWay)
	f.mu.Lock()
	var grants []daisyheartbeat.Demand
	for _, d := range demands {
		if tokens := f.pool.Draw(time.Now(), d.Tokens); tokens > 0 {
			grants = append(grants, daisyheartbeat.Demand{Workspace: d.Workspace, Tokens: tokens})
		}
	}
	f.mu.Unlock()
	time.Sleep(oneWay)
	c.AddGrants(grants)
}

// singleBucket is a token bucket that all operations can reach at once.
type singleBucket struct {
	limit   daisyquota.WorkspaceLimit
	level   float64
	updated time.Time
}

func (b *singleBucket) take(now time.Time) bool {
	b.level = min(b.limit.Burst, b.level+now.Sub(b.updated).Seconds()*b.limit.Rate)
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Guards against refusals within the rate after a restart of all hosts: tokens must
// go to the hosts whose operations wait, not in fractions or in advance to all hosts.
func TestRateIsUsableSoonAfterRestart(t *testing.T) {
	const (
		hosts   = 79
		ramp    = time.Second // From the restart on; the pool is empty at first.
		span    = 5 * time.Second
		share   = 0.9 // Of what a single bucket admits that all hosts could reach at once.
		maxWait = 200 * time.Millisecond
	)
	tests := []struct {
		name  string
		limit daisyquota.WorkspaceLimit
	}{
		{"Small", daisyquota.WorkspaceLimit{Workspace: "w", Rate: 12, Burst: 12}},
		{"Medium", daisyquota.WorkspaceLimit{Workspace: "w", Rate: 30, Burst: 30}},
		{"Large", daisyquota.WorkspaceLimit{Workspace: "w", Rate: 164, Burst: 164}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartedFleet(hosts, test.limit)
				random := rand.New(rand.NewPCG(17, 1))
				var mu sync.Mutex
				var wait sync.WaitGroup
				began := time.Now()
				offered, admitted, ideal := 0, 0, 0
				reference := &singleBucket{limit: test.limit, updated: began}
				for time.Since(began) < ramp+span {
					c := f.hosts[random.IntN(hosts)]
					counts := time.Since(began) >= ramp
					wait.Go(func() {
						arrived := time.Now()
						for time.Since(arrived) <= maxWait {
							mu.Lock()
							ok := reference.take(time.Now())
							if ok && counts {
								ideal++
							}
							mu.Unlock()
							if ok {
								return
							}
							time.Sleep(10 * time.Millisecond)
						}
					})
					wait.Go(func() {
						ok, _ := c.Admit("w", 1, maxWait)
						mu.Lock()
						defer mu.Unlock()
						if counts {
							offered++
							if ok {
								admitted++
							}
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() / (0.7 * test.limit.Rate) * float64(time.Second)))
				}
				wait.Wait()
				close(f.ended)
				f.wait.Wait()
				assert.Assert(t, float64(admitted) >= share*float64(ideal), "%d of %d operations admitted, %d by a single bucket", admitted, offered, ideal)
			})
		})
	}
}
