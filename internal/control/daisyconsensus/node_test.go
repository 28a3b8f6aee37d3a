package daisyconsensus_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// wires delivers messages between nodes by address, after a moment.
type wires struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*daisyconsensus.Node
}

func (w *wires) Open(netip.AddrPort) {}

func (w *wires) Send(to netip.AddrPort, m daisylog.Message) {
	time.AfterFunc(time.Millisecond, func() {
		w.mu.Lock()
		n := w.nodes[to]
		w.mu.Unlock()
		if n != nil {
			n.Step(m)
		}
	})
}

// noDisk saves nothing and takes time for it.
type noDisk struct {
	delay time.Duration
	fail  error
}

func (d *noDisk) Append(*daisylog.HardState, []daisylog.Entry) error {
	time.Sleep(d.delay)
	return d.fail
}

func (d *noDisk) Replace(daisylog.HardState, daisylog.Snapshot, []daisylog.Entry) error {
	return d.fail
}

// replicas is how many nodes a quorum of the tests has.
const replicas = 3

type quorum struct {
	wires *wires
	nodes []*daisyconsensus.Node
	views []*daisyfleet.View
	disks []*noDisk
	// reopen is how each node's storage is read again; nil if it is not.
	reopen [replicas]func() (daisyconsensus.Storage, daisylog.PersistedState, error)
}

func newQuorum(t *testing.T) *quorum {
	q := &quorum{wires: &wires{nodes: make(map[netip.AddrPort]*daisyconsensus.Node)}}
	var addrs []netip.AddrPort
	for i := range replicas {
		addrs = append(addrs, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)))
	}
	for i, addr := range addrs {
		seat := daisylog.Seat{Replica: daisylog.ReplicaID(i + 1), Name: fmt.Sprint("c", i+1), Address: addr}
		saved := daisylog.PersistedState{Replica: seat.Replica}
		if i == 0 {
			saved = daisylog.Bootstrap(seat)
		}
		q.views = append(q.views, daisyfleet.NewView())
		q.disks = append(q.disks, &noDisk{})
		node, err := daisyconsensus.Open(daisyconsensus.Options{
			Self: seat, Peers: addrs, Saved: saved, Storage: q.disks[i], Transport: q.wires, View: q.views[i],
			Random: rand.New(rand.NewPCG(1, uint64(i))), Log: &log.Logger{Handler: text.New(io.Discard)},
			Reopen: func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
				if q.reopen[i] == nil {
					return nil, daisylog.PersistedState{}, errors.ErrUnsupported
				}
				return q.reopen[i]()
			},
		})
		assert.NilError(t, err)
		q.wires.mu.Lock()
		q.wires.nodes[addr] = node
		q.wires.mu.Unlock()
		q.nodes = append(q.nodes, node)
	}
	time.Sleep(10 * time.Second)
	return q
}

func (q *quorum) close(t *testing.T) {
	for _, n := range q.nodes {
		assert.Check(t, n.Close())
	}
	time.Sleep(time.Second) // Messages in flight end.
}

func (q *quorum) leader() int {
	for i, n := range q.nodes {
		if _, ok := n.Leads(); ok {
			return i
		}
	}
	return -1
}

func change(id string, against uint64) daisyfleet.Change {
	return daisyfleet.Change{ID: id, Operations: []daisyfleet.Operation{{
		ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: "w"}, ExpectedRevision: against, Value: daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 1},
	}}}
}

// TestNewcomersGetVotes checks that newcomers that know no seats are reached
// and can answer. Their answers were once dropped, so that a single replica
// kept all votes.
func TestNewcomersGetVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		defer q.close(t)
		voters := 0
		for _, s := range q.nodes[2].Seats() {
			if s.Voting {
				voters++
			}
		}
		assert.Equal(t, voters, 3)
	})
}

// TestRacingOperators lets two operators change the same object against the
// same revision, and one of them send its change again to another leader.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		defer q.close(t)
		lead := q.leader()
		first, err := q.nodes[lead].Propose(t.Context(), change("first", 0))
		assert.NilError(t, err)
		assert.Check(t, first.Accepted)
		second, err := q.nodes[lead].Propose(t.Context(), change("second", 0))
		assert.NilError(t, err)
		assert.Check(t, !second.Accepted)
		assert.NilError(t, q.nodes[lead].Close())
		q.wires.mu.Lock()
		for addr, n := range q.wires.nodes {
			if n == q.nodes[lead] {
				delete(q.wires.nodes, addr)
			}
		}
		q.wires.mu.Unlock()
		time.Sleep(10 * time.Second)
		next := q.leader()
		for next == lead {
			t.Fatal("a closed node leads")
		}
		again, err := q.nodes[next].Propose(t.Context(), change("first", 0))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
		again, err = q.nodes[next].Propose(t.Context(), change("second", first.Revision))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, second)
	})
}

// TestManyChangesAreCompacted checks that the log is cut back and that state
// and outcomes outlive it.
func TestManyChangesAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		defer q.close(t)
		lead := q.nodes[q.leader()]
		var revision uint64
		for i := range 1200 {
			out, err := lead.Propose(t.Context(), change(fmt.Sprint(i), revision))
			assert.NilError(t, err)
			assert.Check(t, out.Accepted, out.Message)
			revision = out.Revision
		}
		out, err := lead.Propose(t.Context(), change("0", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted && out.Revision < revision)
	})
}

// TestFailedDiskStopsReplica checks that a leader whose disk fails decides
// nothing more and that another takes over.
func TestFailedDiskStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		defer q.close(t)
		lead := q.leader()
		q.disks[lead].fail = io.ErrShortWrite
		_, err := q.nodes[lead].Propose(t.Context(), change("a", 0))
		assert.ErrorIs(t, err, io.ErrShortWrite)
		time.Sleep(10 * time.Second)
		next := q.leader()
		assert.Check(t, next >= 0 && next != lead)
		out, err := q.nodes[next].Propose(t.Context(), change("a", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted, out.Message)
	})
}

// A replica whose disk was full begins anew from what is saved, as after a
// restart, and a leader that stopped so refers nobody to itself.
func TestFullDiskRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		defer q.close(t)
		lead := q.leader()
		var room atomic.Bool
		q.reopen[lead] = func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
			if !room.Load() {
				return nil, daisylog.PersistedState{}, io.ErrShortWrite
			}
			return &noDisk{}, daisylog.PersistedState{Replica: daisylog.ReplicaID(lead + 1)}, nil
		}
		q.disks[lead].fail = io.ErrShortWrite
		_, err := q.nodes[lead].Propose(t.Context(), change("a", 0))
		assert.ErrorIs(t, err, io.ErrShortWrite)
		assert.Check(t, !q.nodes[lead].Leader().IsValid())
		time.Sleep(3 * time.Second)
		next := q.leader()
		out, err := q.nodes[next].Propose(t.Context(), change("b", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted, out.Message)
		room.Store(true)
		time.Sleep(3 * time.Second)
		assert.NilError(t, q.nodes[lead].Failed())
		q.views[lead].Read(func(s *daisyfleet.State) { assert.Check(t, s.Revision() >= out.Revision) })
	})
}

// A leader that is closed resigns: another leads before any follower would have
// stood without that, which is ElectionMin after the last heartbeat.
func TestClosedLeaderIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(t)
		const (
			election = 50 * time.Millisecond // Six messages of 1 ms, with room.
			within   = daisylog.RestandMax + election
		)
		assert.Assert(t, within < daisylog.ElectionMin-daisylog.HeartbeatInterval)
		lead := q.leader()
		assert.NilError(t, q.nodes[lead].Close())
		time.Sleep(within)
		next := q.leader()
		assert.Check(t, next >= 0 && next != lead)
		q.close(t)
	})
}
