package daisypromotion_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// Guards against a new leader that grants reserves beside those that its predecessor may
// have granted, and against one that takes a restarted host's report for that of the
// process before.
func TestNewLeaderWaitsForReserves(t *testing.T) {
	began, addr := time.Unix(1000, 0), netip.MustParseAddrPort("10.0.0.1:7000")
	var s daisyfleet.State
	for i := range 109 {
		id := daisyfleet.ID{Kind: daisyfleet.KindHost, Name: fmt.Sprint("h", i)}
		out := s.Apply(uint64(i+1), daisyfleet.Change{ID: fmt.Sprint(i), Operations: []daisyfleet.Operation{{ID: id, Value: daisyfleet.Host{Up: true, Address: addr, FailureDomain: "a"}}}})
		assert.Assert(t, out.Accepted, "%s", out.Message)
	}
	l := daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: began, LeaseDuration: lease})
	l.SetDesired(began, &s, daisypromotion.Desired{Limits: []daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 10}}})
	const most = 20 // Tokens in reserve.
	steps := []struct {
		name        string
		at          time.Duration
		incarnation uint64
		demand      daisyheartbeat.Demand
		want        []daisyheartbeat.Demand
	}{
		{"NoneWhilePredecessorsLast", 5 * time.Second, 1, daisyheartbeat.Demand{Sequence: 1, Reserve: 1}, []daisyheartbeat.Demand{{Sequence: 1, Lifetime: daisyquota.ReserveLifetime}}},
		{"ReportedOnesAreKept", 5 * time.Second, 2, daisyheartbeat.Demand{Sequence: 1, Reserve: 1, Held: 1}, []daisyheartbeat.Demand{{Sequence: 1, Reserve: 1, Lifetime: daisyquota.ReserveLifetime}}},
		{"Expired", 6 * time.Second, 1, daisyheartbeat.Demand{Sequence: 2, Reserve: 1}, []daisyheartbeat.Demand{{Sequence: 2, Reserve: 1, Lifetime: daisyquota.ReserveLifetime}}},
		{"Outdated", 6 * time.Second, 1, daisyheartbeat.Demand{Sequence: 1, Reserve: 1}, nil},
		{"OneEachWhileScarce", 6 * time.Second, 5, daisyheartbeat.Demand{Sequence: 1, Reserve: 3}, []daisyheartbeat.Demand{{Sequence: 1, Reserve: 1, Lifetime: daisyquota.ReserveLifetime}}},
		{"OtherProcess", 6 * time.Second, 3, daisyheartbeat.Demand{Sequence: 1, Reserve: 1}, []daisyheartbeat.Demand{{Sequence: 1, Reserve: 1, Lifetime: daisyquota.ReserveLifetime}}},
		{"OperationsFirst", 8 * time.Second, 4, daisyheartbeat.Demand{Tokens: 1, Sequence: 1, Reserve: most}, []daisyheartbeat.Demand{{Tokens: 1}, {Sequence: 1, Reserve: 6, Lifetime: daisyquota.ReserveLifetime}}},
	}
	for _, step := range steps {
		step.demand.Workspace = "w"
		for i := range step.want {
			step.want[i].Workspace = "w"
		}
		b := daisyheartbeat.Heartbeat{Host: "a", Incarnation: step.incarnation, Demands: []daisyheartbeat.Demand{step.demand}}
		assert.DeepEqual(t, l.Grants(began.Add(step.at), &s, b), step.want)
	}
}
