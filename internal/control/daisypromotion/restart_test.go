package daisypromotion_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// A new control leader remembers no announcements. A delayed one of a server that has
// been replaced at its address since must not bring that server back into use.
func TestNewLeaderIgnoresDelayedAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	tests := []struct {
		name    string
		started time.Time // Of the server that announces itself.
		added   bool
	}{
		{"Replaced", time.Unix(100, 0), false},
		{"Successor", time.Unix(300, 0), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s daisyfleet.State
			stored := daisyfleet.Server{Service: service, Address: addr, FailureDomain: "a", Started: time.Unix(200, 0)}
			s.Apply(1, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "present"}, Value: stored}}})
			l := daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: now, LeaseDuration: lease})
			l.Announce(now, daisypromotion.Announcement{ID: "other", Service: service, Address: addr, FailureDomain: "a", Started: test.started, Sequence: 9})
			added := false
			for _, c := range l.Due(now, &s) {
				for _, op := range c.Operations {
					added = added || op.ID == (daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "other"}) && op.Value != nil
				}
			}
			assert.Equal(t, added, test.added)
		})
	}
}

// Guards against a start of a large fleet in which the control leader probes all servers at
// once, and against services that wait behind others whose servers do not answer.
func TestServersAreProbedInTurn(t *testing.T) {
	const services, most = 300, 64
	now := time.Unix(1000, 0)
	var s daisyfleet.State
	var operations []daisyfleet.Operation
	for i := range services {
		operations = append(operations, daisyfleet.Operation{
			ID:    daisyfleet.ID{Kind: daisyfleet.KindServer, Name: fmt.Sprintf("i%03d", i)},
			Value: daisyfleet.Server{Service: fmt.Sprintf("s%03d", i), Address: netip.MustParseAddrPort("10.0.0.1:1")},
		})
	}
	s.Apply(1, daisyfleet.Change{Operations: operations})
	l := daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: now, LeaseDuration: lease})
	probed := make(map[string]bool)
	pending := 0
	for range 8 {
		orders := l.Orders(now, &s)
		pending += len(orders)
		assert.Assert(t, pending <= most, "%d probes at once", pending)
		for i, o := range orders {
			probed[o.Server] = true
			if i%10 != 0 { // The others do not answer within the test.
				l.RecordResult(now, daisypromotion.Result{Order: o, Reached: true})
				pending--
			}
		}
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, len(probed), services)
}
