package daisyrouter_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// statusCounter is a primary that counts the requests for its position.
type statusCounter struct{ asked atomic.Int32 }

func (c *statusCounter) Run(daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	c.asked.Add(1)
	return daisystatement.Answer{Position: daisystatement.Position{Term: 1, Number: 7}}, nil, nil
}

// Guards against a load on primaries that grows with the number of hosts: only the
// gateways of a service's servers sample its primary and check that it can be reached.
// With 300 hosts and 20 services, each host would otherwise ask 20 primaries a second.
func TestOnlyGatewaysSamplePrimaries(t *testing.T) {
	const span = 10 * time.Second
	tests := []struct {
		rank        int
		least, most int32
	}{
		{0, 18, 25},
		{2, 8, 10},
		{-1, 0, 0},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("Rank", test.rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var primary statusCounter
				var checks atomic.Int32
				r := daisyrouter.New(daisyrouter.Options{
					View: newView(t), Lease: validLease{}, Forwarder: &primary, GatewayRank: func(string) int { return test.rank },
					Reach: func(context.Context, string) error { checks.Add(1); return nil },
				})
				r.Refresh()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); r.Run(ctx) }()
				r.Started(primaryName, "w") // Stays unanswered.
				for range int(span / time.Second) {
					r.MinPosition(serviceName, 1, time.Now(), time.Second) // The service is in use.
					time.Sleep(time.Second)
				}
				asked := primary.asked.Load()
				assert.Assert(t, test.least <= asked && asked <= test.most, "asked %d times in %v", asked, span)
				assert.Equal(t, checks.Load() > 0, test.rank >= 0)
				cancel()
				<-done
			})
		})
	}
}

// A gateway samples the primary for reads of other hosts, over a connection of their
// workspace, also if no session of its own uses the service.
func TestGatewaySamplesForOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var primary statusCounter
		r := daisyrouter.New(daisyrouter.Options{
			View: newView(t), Lease: validLease{}, Forwarder: &primary, GatewayRank: func(string) int { return 0 },
			Reach: func(context.Context, string) error { return nil },
		})
		r.Refresh()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		_, ok := r.MinPosition(serviceName, 1, time.Now(), time.Second)
		assert.Assert(t, !ok)
		time.Sleep(10 * time.Millisecond) // Off the sampler's ticks.
		r.NeedPosition(serviceName, "w")
		time.Sleep(time.Millisecond) // The sampler does not wait for its next tick.
		p, ok := r.MinPosition(serviceName, 1, time.Now(), time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, p, daisystatement.Position{Term: 1, Number: 7})
		cancel()
		<-done
	})
}
