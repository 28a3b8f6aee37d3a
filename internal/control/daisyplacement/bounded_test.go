package daisyplacement_test

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// fleet is a control state with hosts in some failure domains and servers in a part of
// them.
type fleet struct {
	state    daisyfleet.State
	index    uint64
	topology daisyplacement.Topology
}

func newFleet(hosts, hostDomains, servers, serverDomains int) *fleet {
	f := &fleet{topology: daisyplacement.Topology{Regions: make(map[string]string)}}
	for d := range hostDomains {
		f.topology.Regions[fmt.Sprint("d", d)] = fmt.Sprint("r", d%3)
	}
	for i := range hosts {
		f.put(daisyfleet.KindHost, fmt.Sprint("h", i), daisyfleet.Host{Address: address, FailureDomain: fmt.Sprint("d", i%hostDomains), Up: true})
	}
	for i := range servers {
		f.put(daisyfleet.KindServer, fmt.Sprint("m", i), daisyfleet.Server{Service: "s", Address: address, FailureDomain: fmt.Sprint("d", i%serverDomains)})
	}
	return f
}

func (f *fleet) put(kind daisyfleet.Kind, name string, v daisyfleet.Value) {
	f.index++
	id := daisyfleet.ID{Kind: kind, Name: name}
	o, _ := f.state.Get(id)
	f.state.Apply(f.index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
}

func (f *fleet) setUp(i, domains int, up bool) {
	f.put(daisyfleet.KindHost, fmt.Sprint("h", i), daisyfleet.Host{Address: address, FailureDomain: fmt.Sprint("d", i%domains), Up: up})
}

// loads returns of how many servers each host is a gateway.
func loads(all map[string]daisyplacement.Gateways) map[string]int {
	n := make(map[string]int)
	for _, g := range all {
		for _, h := range g.Ranked {
			n[h.Host]++
		}
	}
	return n
}

// Guards against links of single hosts that carry several servers, and against the loss of
// a host that moves the gateways of servers that it did not serve: at most one in five of
// the places that move is another host's.
func TestGatewaysAreBoundedAndStay(t *testing.T) {
	tests := []struct {
		name                                       string
		hosts, hostDomains, servers, serverDomains int
		bound                                      int
	}{
		{"Records", 89, 6, 24, 3, 3}, // 15 hosts for 24 places.
		{"Registry", 109, 6, 24, 3, 3},
		{"Large", 295, 6, 60, 3, 3}, // 49 hosts for 60 places.
		{"AllDomains", 295, 6, 60, 6, 2},
		{"FewHosts", 10, 1, 300, 1, 91},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(test.hosts, test.hostDomains, test.servers, test.serverDomains)
			before := f.topology.Gateways(&f.state)
			assert.Equal(t, len(before), test.servers)
			held, moved, displaced := loads(before), 0, 0
			for _, n := range held {
				assert.Assert(t, n <= test.bound, "%v", held)
			}
			for i := range test.hosts {
				lost := fmt.Sprint("h", i)
				f.setUp(i, test.hostDomains, false)
				after := f.topology.Gateways(&f.state)
				for server, g := range after {
					assert.Equal(t, len(g.Ranked), 3)
					assert.Equal(t, g.Rank(lost), -1)
					for _, h := range g.Ranked {
						if before[server].Rank(h.Host) < 0 {
							moved++
						}
					}
				}
				displaced = moved - 3*test.servers
				f.setUp(i, test.hostDomains, true)
			}
			t.Logf("%d places moved when each host was lost once, %d of them of other hosts", moved, displaced)
			assert.Assert(t, displaced <= moved/5)
			assert.Assert(t, reflect.DeepEqual(f.topology.Gateways(&f.state), before))
		})
	}
}

// Guards against servers with fewer gateways than there are hosts, for any sizes of the
// fleet, and against hosts beyond the bound: the fair share, rounded up, plus one, and hosts that disagree.
func TestEveryServerHasItsGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 24).Draw(t, "hosts")
		servers := rapid.IntRange(1, 40).Draw(t, "servers")
		f := newFleet(hosts, 1, servers, 1)
		all := f.topology.Gateways(&f.state)
		for host, n := range loads(all) {
			if bound := (3*servers+hosts-1)/hosts + 1; hosts >= 3 && n > bound {
				t.Fatalf("%s is gateway of %d servers, more than %d", host, n, bound)
			}
		}
		if !reflect.DeepEqual(f.topology.Gateways(&f.state), all) {
			t.Fatalf("two hosts derive different gateways")
		}
		for server, g := range all {
			seen := make(map[string]bool)
			for _, h := range g.Ranked {
				seen[h.Host] = true
			}
			if len(seen) != min(3, hosts) {
				t.Fatalf("%s has %v", server, g)
			}
		}
	})
}

// Guards against gateways that open more connections together than a server accepts, so
// that it resets some: the sum of their shares and the control leader's connection stay
// within the limit.
func TestConnectionSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 300).Draw(t, "limit")
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		f := newFleet(hosts, rapid.IntRange(1, 3).Draw(t, "domains"), 4, 1)
		for server, g := range f.topology.Gateways(&f.state) {
			sum := 1
			for i := range hosts {
				sum += g.Connections(limit, fmt.Sprint("h", i))
			}
			if sum > limit || g.Connections(limit, g.Ranked[0].Host) < 1 {
				t.Fatalf("%s: %d of %d connections for %v", server, sum, limit, g)
			}
		}
	})
}

// Guards against a change of the shares in small fleets, which have one gateway a server.
func TestSmallFleetKeepsOneGateway(t *testing.T) {
	f := newFleet(6, 3, 3, 3)
	for server, g := range f.topology.Gateways(&f.state) {
		assert.Assert(t, !g.Spread)
		for rank, want := range []int{16, 3, 1} {
			assert.Equal(t, g.Connections(21, g.Ranked[rank].Host), want)
		}
		assert.Assert(t, reflect.DeepEqual(g.Order(server, "w1"), g.Order(server, "w2")))
	}
}

// Guards against a gateway that serves most workspaces of its server, and against
// workspaces that move to another gateway though theirs is still there.
func TestWorkspacesSpreadOverGateways(t *testing.T) {
	const workspaces = 300
	g := newFleet(18, 1, 1, 1).topology.Gateways(&newFleet(18, 1, 1, 1).state)["m0"]
	less := daisyplacement.Gateways{Ranked: g.Ranked[1:], Spread: true}
	first := make(map[string]int)
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		order := g.Order("m0", name)
		first[order[0].Host]++
		if order[0] != g.Ranked[0] {
			assert.Equal(t, less.Order("m0", name)[0], order[0])
		}
	}
	for _, h := range g.Ranked {
		assert.Assert(t, first[h.Host] >= workspaces/3*3/4, "%v", first)
	}
}

// Guards against gateways that are not derived anew after a change that moves them, and
// against work at each change that does not.
func TestFingerprint(t *testing.T) {
	f := newFleet(12, 1, 2, 1)
	before := daisyplacement.Fingerprint(&f.state)
	f.put(daisyfleet.KindServer, "m0", daisyfleet.Server{Service: "s", Address: address, FailureDomain: "d0", Slots: 9})
	assert.Equal(t, daisyplacement.Fingerprint(&f.state), before)
	f.setUp(3, 1, false)
	assert.Assert(t, daisyplacement.Fingerprint(&f.state) != before)
	f.setUp(3, 1, true)
	assert.Equal(t, daisyplacement.Fingerprint(&f.state), before)
	f.put(daisyfleet.KindServer, "m2", daisyfleet.Server{Service: "s", Address: address, FailureDomain: "d0"})
	assert.Assert(t, daisyplacement.Fingerprint(&f.state) != before)
}

func BenchmarkGateways(b *testing.B) {
	f := newFleet(300, 6, 60, 3)
	for b.Loop() {
		f.topology.Gateways(&f.state)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	f := newFleet(300, 6, 60, 3)
	for b.Loop() {
		daisyplacement.Fingerprint(&f.state)
	}
}
