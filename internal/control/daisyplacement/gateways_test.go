package daisyplacement_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

var address = netip.MustParseAddrPort("10.0.0.1:1")

// In a large fleet a service has a few observers near each of its servers; in a small
// one, all hosts are.
func TestObservers(t *testing.T) {
	domains := []string{"cardiff", "aberystwyth", "bangor"}
	tests := []struct {
		name  string
		hosts int
		want  int
	}{
		{"Six", 6, 6},
		{"Nine", 9, 9},
		{"ThreeHundred", 300, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s daisyfleet.State
			var operations []daisyfleet.Operation
			for i, d := range domains {
				operations = append(operations, daisyfleet.Operation{
					ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: fmt.Sprint("m", i)}, Value: daisyfleet.Server{Service: "s", Address: address, FailureDomain: d},
				})
			}
			for i := range test.hosts {
				operations = append(operations, daisyfleet.Operation{
					ID:    daisyfleet.ID{Kind: daisyfleet.KindHost, Name: fmt.Sprint("h", i)},
					Value: daisyfleet.Host{Address: address, FailureDomain: domains[i%len(domains)], Up: true},
				})
			}
			s.Apply(1, daisyfleet.Change{Operations: operations})
			topology := daisyplacement.Topology{Regions: map[string]string{"cardiff": "south", "aberystwyth": "mid", "bangor": "north"}}
			observers := daisyplacement.ServiceObservers(topology.Gateways(&s), &s, "s")
			assert.Equal(t, len(observers), test.want)
			assert.Equal(t, len(daisyplacement.ServiceObservers(topology.Gateways(&s), &s, "other")), 0)
		})
	}
}
