package daisypromotion_test

import (
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
