package daisyplacement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Guards against gateways in a failure domain that is about to be lost, and against
// servers without a gateway where all hosts are in evacuated domains.
func TestHostsOfEvacuatedDomainsRankLast(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		server    string // Failure domain of the server.
		want      string // Failure domain of its first gateway.
		last      string // Failure domain of its last gateway.
	}{
		{"None", nil, "a1", "a1", "b1"},
		{"OtherDomainOfRegion", []string{"a2"}, "a1", "a1", "a2"},
		{"OwnDomain", []string{"a1"}, "a1", "a1", "b1"},
		{"OwnAndOtherDomain", []string{"a1", "a2"}, "a1", "a1", "a2"},
		{"All", []string{"a1", "a2", "b1"}, "a1", "a1", "b1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s daisyfleet.State
			operations := []daisyfleet.Operation{{
				ID:    daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "m1"},
				Value: daisyfleet.Server{Service: "s", Address: address, FailureDomain: test.server},
			}}
			for _, d := range []string{"a1", "a2", "b1"} {
				operations = append(operations, daisyfleet.Operation{
					ID: daisyfleet.ID{Kind: daisyfleet.KindHost, Name: d}, Value: daisyfleet.Host{Address: address, FailureDomain: d, Up: true},
				})
			}
			for _, d := range test.evacuated {
				operations = append(operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindEvacuation, Name: d}, Value: daisyfleet.Evacuation{}})
			}
			out := s.Apply(1, daisyfleet.Change{Operations: operations})
			assert.Assert(t, out.Accepted, out.Message)
			gateways := daisyplacement.Topology{Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}.Gateways(&s)["m1"].Ranked
			assert.Equal(t, len(gateways), 3)
			assert.Equal(t, gateways[0].Host, test.want)
			assert.Equal(t, gateways[2].Host, test.last)
		})
	}
}
