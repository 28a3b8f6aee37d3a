package daisyentryhost

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// Guards against refreshes that take all of a small host's processor while a large fleet
// starts, and against a change that is never seen.
func TestRefreshesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 100 * time.Millisecond
		var p pacedWork
		runs, newest, done := 0, 0, 0
		work := func() { runs++; done = newest; time.Sleep(took) }
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			newest++
			p.run(false, work)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, runs <= 11, "%d refreshes in 10 s", runs)
		if due := p.due(); due != nil {
			<-due
			p.run(false, work)
		}
		assert.Equal(t, done, newest)
		runs = 0
		p.run(true, work)
		assert.Equal(t, runs, 1)
	})
}

// noServers opens no connections.
type noServers struct{}

func (noServers) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	return nil, errors.New("no server")
}

func (noServers) Reach(context.Context, netip.AddrPort) error { return nil }

// Guards against limits of a server that reach only some of its gateways: whether its
// requests are spread over three or not, each refuses for an evacuated or cold server.
func TestGatewaysLearnTheLimitsOfServers(t *testing.T) {
	tests := []struct {
		name      string
		hosts     []string
		evacuated bool
		want      error
	}{
		{"OneGateway", []string{"h1"}, true, daisyrequest.ErrEvacuated},
		{"Spread", []string{"h1", "h2", "h3"}, true, daisyrequest.ErrEvacuated},
		{"OneGatewayOfCold", []string{"h1"}, false, daisyrequest.ErrOverBudget},
		{"SpreadOfCold", []string{"h1", "h2", "h3"}, false, daisyrequest.ErrOverBudget},
	}
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
			h := &EntryHost{view: daisyfleet.NewView(), pool: daisypool.New(noServers{})}
			defer func() { assert.NilError(t, h.pool.Close()) }()
			h.options.Settings = daisynode.Settings{Host: "h1", FailureDomain: "a", Regions: map[string]string{"a": "r"}}
			h.gateway = daisygateway.New(h.pool, logger)
			h.forwarder = daisyforwarder.New(daisyforwarder.Options{Host: "h1", Local: h.gateway, Topology: daisyplacement.Topology{Regions: h.options.Settings.Regions}, Log: logger})
			h.index.Store(daisyspec.NewIndex(&daisyspec.Document{Services: []daisyspec.Service{{Name: "s", Connections: 20, Cold: daisyspec.Cold{Rate: 1e-6, Duration: time.Hour}}}}))
			var operations []daisyfleet.Operation
			put := func(name string, v daisyfleet.Value) {
				operations = append(operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: v.Kind(), Name: name}, Value: v})
			}
			for _, name := range test.hosts {
				put(name, daisyfleet.Host{Address: addr, FailureDomain: "a", Up: true})
			}
			put("i", daisyfleet.Server{Service: "s", Address: addr, FailureDomain: "a", Cold: true})
			if test.evacuated {
				put("a", daisyfleet.Evacuation{})
			}
			assert.NilError(t, h.view.Update(func(s *daisyfleet.State) error {
				s.Apply(1, daisyfleet.Change{Operations: operations})
				return nil
			}))
			h.view.Read(h.forwarder.Refresh)
			h.refreshServers()
			_, _, err := h.gateway.Run(daisyrequest.Request{Service: "s", Server: "i", Workspace: "w", SendDeadline: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)})
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}
