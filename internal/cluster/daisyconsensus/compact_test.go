package daisyconsensus_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// sizedStorage counts the bytes of the documents since the last snapshot.
type sizedStorage struct {
	bytes, most, snapshots int
}

func (s *sizedStorage) Append(_ *daisylog.HardState, entries []daisylog.Entry) error {
	for _, e := range entries {
		if e.Change != nil {
			s.bytes += len(e.Change.Operations[0].Value.(daisyfleet.Document).Content)
		}
	}
	s.most = max(s.most, s.bytes)
	return nil
}

func (s *sizedStorage) Replace(daisylog.HardState, daisylog.Snapshot, []daisylog.Entry) error {
	s.bytes = 0
	s.snapshots++
	return nil
}

// Guards against a log of large desired states that no host can read into its memory when
// it starts.
func TestLogIsBoundedInBytes(t *testing.T) {
	const (
		size      = 1 << 20
		documents = 100
		most      = 8 * size
	)
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{network: &network{nodes: make(map[netip.AddrPort]*daisyconsensus.Node)}, seed: 1}
		storage := &sizedStorage{}
		peer := daisylog.Peer{Replica: 1, Name: "c1", Address: nodeAddr(0)}
		c.open(t, peer, daisylog.Bootstrap(peer), storage, nil)
		defer c.close(t)
		time.Sleep(time.Second) // Until it leads.
		id := daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}
		var revision uint64
		for i := range documents {
			value := daisyfleet.Document{Version: uint64(i + 1), Content: string(make([]byte, size))}
			out, err := c.nodes[0].Propose(t.Context(), daisyfleet.Change{ID: fmt.Sprint(i), Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: revision, Value: value}}})
			assert.NilError(t, err)
			assert.Assert(t, out.Accepted, out.Message)
			revision = out.Revision
		}
		assert.Check(t, storage.most <= most, "%d bytes", storage.most)
		assert.Check(t, storage.snapshots > 0 && storage.snapshots < documents, "%d snapshots", storage.snapshots)
	})
}
