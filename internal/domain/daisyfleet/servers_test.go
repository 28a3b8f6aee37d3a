package daisyfleet_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Guards against an index that misses or keeps a server, after which a service would
// have no primary or one that is gone: by service and by address it finds what a pass over
// all servers finds, through changes, deltas and snapshots.
func TestServersAreFoundByServiceAndAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, host daisyfleet.State
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "server"))
			id := daisyfleet.ID{Kind: daisyfleet.KindServer, Name: name}
			current, _ := leader.Get(id)
			var next daisyfleet.Value
			if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
				port := uint16(7000 + rapid.IntRange(0, 3).Draw(t, "port"))
				next = daisyfleet.Server{
					Service: fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "service")),
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
				}
			}
			leader.Apply(uint64(step+1), daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: current.Revision, Value: next}}})
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				assert.NilError(t, host.Merge(leader.Delta(host.Revision())))
			case 1:
				assert.NilError(t, host.Merge(leader.Delta(0)))
			case 2:
				leader.Restore(leader.Snapshot())
			}
			checkIndex(t, &leader)
			checkIndex(t, &host)
		}
	})
}

func checkIndex(t *rapid.T, s *daisyfleet.State) {
	byService, byAddress := make(map[string][]string), make(map[netip.AddrPort][]string)
	s.EachSorted(daisyfleet.KindServer, func(o daisyfleet.Object) {
		v, _ := o.Value.(daisyfleet.Server)
		byService[v.Service] = append(byService[v.Service], o.Name)
		byAddress[v.Address] = append(byAddress[v.Address], o.Name)
	})
	for service, names := range byService {
		var found []string
		s.EachServer(service, func(name string, _ daisyfleet.Server) { found = append(found, name) })
		assert.DeepEqual(t, found, names)
		assert.Assert(t, slices.Contains(s.Services(), service))
	}
	assert.Equal(t, len(s.Services()), len(byService))
	for addr, names := range byAddress {
		var found []string
		s.EachServerAt(addr, func(name string, _ daisyfleet.Server) { found = append(found, name) })
		assert.DeepEqual(t, found, names)
	}
}
