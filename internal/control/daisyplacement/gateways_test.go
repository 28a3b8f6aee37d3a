package daisyplacement_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

const domain = "north"

var address = netip.MustParseAddrPort("10.0.0.1:1")

// All hosts derive the same gateways from the state. The loss of a host moves
// only the servers whose first gateway it was.
func TestHostLossMovesOnlyItsServers(t *testing.T) {
	var s daisyfleet.State
	index := uint64(0)
	put := func(kind daisyfleet.Kind, name string, v daisyfleet.Value) {
		index++
		id := daisyfleet.ID{Kind: kind, Name: name}
		o, _ := s.Get(id)
		s.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
	}
	host := daisyfleet.Host{Address: address, FailureDomain: domain, Up: true}
	for i := range 10 {
		put(daisyfleet.KindHost, fmt.Sprint("h", i), host)
	}
	topology := daisyplacement.Topology{Regions: map[string]string{domain: "r"}}
	for i := range 300 {
		put(daisyfleet.KindServer, fmt.Sprint("m", i), daisyfleet.Server{Service: "s", Address: address, FailureDomain: domain})
	}
	before := topology.Gateways(&s)
	assert.Equal(t, len(before), 300)
	lost := host
	lost.Up = false
	put(daisyfleet.KindHost, "h3", lost)
	after := topology.Gateways(&s)
	for server, gateways := range before {
		was, now := gateways[0].Host, after[server][0].Host
		assert.Assert(t, now != "h3")
		assert.Assert(t, was == "h3" || now == was, "%s moved from %s to %s", server, was, now)
	}
}

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
			observers := topology.Observers(&s, "s")
			assert.Equal(t, len(observers), test.want)
			assert.Equal(t, len(topology.Observers(&s, "other")), 0)
		})
	}
}
