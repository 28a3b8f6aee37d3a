package daisycontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

// Guards against primaries that stay in an evacuated failure domain, and against
// takeovers without end where a takeover may choose another evacuated member.
func TestEvacuatedPrimaryMoves(t *testing.T) {
	tests := []struct {
		name      string
		domains   []string // Of m1, the primary, m2 and m3.
		evacuated []string
		term      uint64
	}{
		{"None", []string{"f1", "f2", "f3"}, nil, 1},
		{"Primary", []string{"f1", "f2", "f3"}, []string{"f1"}, 2},
		{"Replica", []string{"f1", "f2", "f3"}, []string{"f2"}, 1},
		{"PrimaryAndReplica", []string{"f1", "f2", "f3"}, []string{"f1", "f2"}, 1},
		{"All", []string{"f1", "f1", "f1"}, []string{"f1"}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newServingFixture(t)
			f.now = f.now.Add(time.Second)
			f.heartbeatAll(func(heartbeat *daisyheartbeat.Heartbeat) {
				for i, member := range []string{"m1", "m2", "m3"} {
					heartbeat.Announcements = append(heartbeat.Announcements, daisyheartbeat.Announcement{
						Member: member, Value: daisyfleet.Member{Database: "db", Address: addr, FailureDomain: test.domains[i]},
					})
				}
			})
			f.decide()
			for _, domain := range test.evacuated {
				f.put(domain, daisyfleet.Evacuation{})
			}
			f.decide()
			f.decide()
			assert.Equal(t, f.ownership().Term, test.term)
		})
	}
}
