package daisyrouter_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

const (
	serviceName = "baskets"
	primaryName = "m1"
)

type validLease struct{}

func (validLease) Valid() bool { return true }

// newView returns a view of a service with one server, its primary.
func newView(t *testing.T) *daisyfleet.View {
	v := daisyfleet.NewView()
	objects := []daisyfleet.Operation{
		{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: primaryName}, Value: daisyfleet.Server{Service: serviceName, Address: netip.MustParseAddrPort("127.0.0.1:7000")}},
		{ID: daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: serviceName}, Value: daisyfleet.Leadership{Epoch: 1, Server: primaryName, Term: 1}},
	}
	assert.NilError(t, v.Update(func(s *daisyfleet.State) error {
		if out := s.Apply(1, daisyfleet.Change{Operations: objects}); !out.Accepted {
			return errors.New(out.Message)
		}
		return nil
	}))
	return v
}

// Guards against checks that add to the load of a primary: each host checks one
// that leaves statements unanswered ever more seldom while it can be reached, and
// still reports within seconds that it no longer can.
func TestChecksOfLatePrimaryBecomeRare(t *testing.T) {
	const lateFor, maxChecks = 12 * time.Second, 15
	synctest.Test(t, func(t *testing.T) {
		var unreachable atomic.Bool
		var checks, reports atomic.Int32
		r := daisyrouter.New(daisyrouter.Options{
			View: newView(t), Lease: validLease{}, GatewayRank: func(string) int { return 1 },
			Reach: func(context.Context, string) error {
				checks.Add(1)
				if unreachable.Load() {
					return errors.New("unreachable")
				}
				return nil
			},
			OnUnresponsive: func() { reports.Add(1) },
		})
		r.Refresh()
		r.MinPosition(serviceName, 1, time.Now(), time.Second) // The service is in use.
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		r.Started(primaryName, "") // Without a workspace, no position is sampled.
		time.Sleep(lateFor)
		assert.Assert(t, checks.Load() > 0)
		assert.Assert(t, checks.Load() <= maxChecks, "%d checks in %v", checks.Load(), lateFor)
		assert.Equal(t, reports.Load(), int32(0))
		unreachable.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, reports.Load(), int32(1))
		cancel()
		<-done
	})
}

// Guards against the replacement of all primaries at once: a gateway whose own network
// link is full cannot reach any of them in time.
func TestDelayedHostDoesNotReportPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delayed atomic.Bool
		var reports atomic.Int32
		delayed.Store(true)
		r := daisyrouter.New(daisyrouter.Options{
			View: newView(t), Lease: validLease{}, GatewayRank: func(string) int { return 0 },
			Reach:          func(context.Context, string) error { return errors.New("unreachable") },
			OnUnresponsive: func() { reports.Add(1) }, Delayed: delayed.Load,
		})
		r.Refresh()
		r.MinPosition(serviceName, 1, time.Now(), time.Second) // The service is in use.
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		r.Started(primaryName, "") // Stays unanswered.
		time.Sleep(3 * time.Second)
		assert.Equal(t, reports.Load(), int32(0))
		assert.Equal(t, len(r.Observations()), 0)
		delayed.Store(false)
		time.Sleep(time.Second)
		assert.Equal(t, reports.Load(), int32(1))
		assert.Equal(t, len(r.Observations()), 1)
		cancel()
		<-done
	})
}
