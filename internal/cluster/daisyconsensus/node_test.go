package daisyconsensus_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// network delivers messages between nodes by address, after 1 ms.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*daisyconsensus.Node
	cut   map[netip.AddrPort]bool // Addresses from and to which messages are lost.
}

func (n *network) Open(netip.AddrPort) {}

func (n *network) Send(to netip.AddrPort, m daisylog.Message) {
	time.AfterFunc(time.Millisecond, func() {
		n.mu.Lock()
		node := n.nodes[to]
		if n.cut[to] || n.cut[m.Address] {
			node = nil
		}
		n.mu.Unlock()
		if node != nil {
			node.Step(m)
		}
	})
}

// discardStorage saves nothing, after a delay, and returns fail.
type discardStorage struct {
	delay time.Duration
	fail  error
}

func (d *discardStorage) Append(*daisylog.HardState, []daisylog.Entry) error {
	time.Sleep(d.delay)
	return d.fail
}

func (d *discardStorage) Replace(daisylog.HardState, daisylog.Snapshot, []daisylog.Entry) error {
	return d.fail
}

// replicas is the number of nodes in a cluster.
const replicas = 3

type cluster struct {
	network  *network
	nodes    []*daisyconsensus.Node
	views    []*daisyfleet.View
	storages []*discardStorage
	// reopen holds the functions that reopen the nodes' storages, by the node's index.
	// Reopening fails without one.
	reopen    map[int]func() (daisyconsensus.Storage, daisylog.PersistedState, error)
	seeds     []netip.AddrPort
	maxVoters int
	seed      uint64 // Of the nodes' random numbers.
}

func newCluster(t *testing.T) *cluster { return newClusterOf(t, replicas, 0) }

// newClusterOf returns a cluster of as many nodes once all have joined.
func newClusterOf(t *testing.T, size, maxVoters int) *cluster {
	c := &cluster{
		network:   &network{nodes: make(map[netip.AddrPort]*daisyconsensus.Node), cut: make(map[netip.AddrPort]bool)},
		reopen:    make(map[int]func() (daisyconsensus.Storage, daisylog.PersistedState, error)),
		maxVoters: maxVoters, seed: 1,
	}
	for i := range size {
		c.seeds = append(c.seeds, nodeAddr(i))
	}
	for range size {
		c.add(t)
	}
	time.Sleep(10 * time.Second)
	return c
}

// nodeAddr returns the address of the i-th node.
func nodeAddr(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)) }

// add starts another node. The first one bootstraps the cluster.
func (c *cluster) add(t *testing.T) {
	i := len(c.nodes)
	peer := daisylog.Peer{Replica: daisylog.ReplicaID(i + 1), Name: fmt.Sprint("c", i+1), Address: nodeAddr(i)}
	saved := daisylog.PersistedState{Replica: peer.Replica}
	if i == 0 {
		saved = daisylog.Bootstrap(peer)
	}
	c.storages = append(c.storages, &discardStorage{})
	c.open(t, peer, saved, c.storages[i], func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
		if c.reopen[i] == nil {
			return nil, daisylog.PersistedState{}, errors.ErrUnsupported
		}
		return c.reopen[i]()
	})
}

// open opens a node and connects it to the network.
func (c *cluster) open(t *testing.T, peer daisylog.Peer, saved daisylog.PersistedState, storage daisyconsensus.Storage, reopen func() (daisyconsensus.Storage, daisylog.PersistedState, error)) {
	view := daisyfleet.NewView()
	node, err := daisyconsensus.Open(daisyconsensus.Options{
		Self: peer, Peers: c.seeds, Saved: saved, Storage: storage, Transport: c.network, View: view, Reopen: reopen,
		Random: rand.New(rand.NewPCG(c.seed, uint64(len(c.nodes)))), MaxVoters: c.maxVoters, Log: &log.Logger{Handler: text.New(io.Discard)},
	})
	assert.NilError(t, err)
	c.network.mu.Lock()
	c.network.nodes[peer.Address] = node
	c.network.mu.Unlock()
	c.views, c.nodes = append(c.views, view), append(c.nodes, node)
}

// setCut cuts a node off from the network, or connects it again.
func (c *cluster) setCut(i int, cut bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.cut[nodeAddr(i)] = cut
}

// voters returns the indexes of the voters in the leader's configuration, in order.
func (c *cluster) voters() (voters []int) {
	leader := c.leader()
	if leader < 0 {
		return nil
	}
	for _, peer := range c.nodes[leader].Configuration() {
		if peer.Voting {
			voters = append(voters, int(peer.Replica)-1)
		}
	}
	slices.Sort(voters)
	return voters
}

func (c *cluster) close(t *testing.T) {
	for _, n := range c.nodes {
		assert.Check(t, n.Close())
	}
	time.Sleep(time.Second) // Let the messages in flight arrive.
}

func (c *cluster) leader() int {
	for i, n := range c.nodes {
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

// TestJoiningReplicasBecomeVoters checks that replicas which start without a
// configuration are reached and that their replies arrive. The replies were once
// dropped, which left the first replica as the only voter.
func TestJoiningReplicasBecomeVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		voters := 0
		for _, p := range c.nodes[2].Configuration() {
			if p.Voting {
				voters++
			}
		}
		assert.Equal(t, voters, 3)
	})
}

// TestConcurrentChangesOfOneObject checks that of two changes to an object against
// the same revision one is accepted, and that another leader returns the recorded
// outcome for a change with an ID that it knows.
func TestConcurrentChangesOfOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		leader := c.leader()
		first, err := c.nodes[leader].Propose(t.Context(), change("first", 0))
		assert.NilError(t, err)
		assert.Check(t, first.Accepted)
		second, err := c.nodes[leader].Propose(t.Context(), change("second", 0))
		assert.NilError(t, err)
		assert.Check(t, !second.Accepted)
		assert.NilError(t, c.nodes[leader].Close())
		c.network.mu.Lock()
		for addr, n := range c.network.nodes {
			if n == c.nodes[leader] {
				delete(c.network.nodes, addr)
			}
		}
		c.network.mu.Unlock()
		time.Sleep(10 * time.Second)
		next := c.leader()
		for next == leader {
			t.Fatal("a closed node leads")
		}
		again, err := c.nodes[next].Propose(t.Context(), change("first", 0))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
		again, err = c.nodes[next].Propose(t.Context(), change("second", first.Revision))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, second)
	})
}

// TestCompactionKeepsOutcomes checks that the state and the recorded outcomes
// survive the compaction of the log.
func TestCompactionKeepsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		leader := c.nodes[c.leader()]
		var revision uint64
		for i := range 1200 {
			out, err := leader.Propose(t.Context(), change(fmt.Sprint(i), revision))
			assert.NilError(t, err)
			assert.Check(t, out.Accepted, out.Message)
			revision = out.Revision
		}
		out, err := leader.Propose(t.Context(), change("0", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted && out.Revision < revision)
	})
}

// TestStorageFailureStopsReplica checks that a leader whose storage fails stops
// accepting changes and that another replica becomes the leader.
func TestStorageFailureStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		leader := c.leader()
		c.storages[leader].fail = io.ErrShortWrite
		_, err := c.nodes[leader].Propose(t.Context(), change("a", 0))
		assert.ErrorIs(t, err, io.ErrShortWrite)
		time.Sleep(10 * time.Second)
		next := c.leader()
		assert.Check(t, next >= 0 && next != leader)
		out, err := c.nodes[next].Propose(t.Context(), change("a", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted, out.Message)
	})
}

// A replica whose disk was full restarts from its saved state. A leader that has
// stopped for this reason no longer names itself as the leader.
func TestReplicaRestartsAfterStorageFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		leader := c.leader()
		var hasSpace atomic.Bool
		c.reopen[leader] = func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
			if !hasSpace.Load() {
				return nil, daisylog.PersistedState{}, io.ErrShortWrite
			}
			return &discardStorage{}, daisylog.PersistedState{Replica: daisylog.ReplicaID(leader + 1)}, nil
		}
		c.storages[leader].fail = io.ErrShortWrite
		_, err := c.nodes[leader].Propose(t.Context(), change("a", 0))
		assert.ErrorIs(t, err, io.ErrShortWrite)
		assert.Check(t, !c.nodes[leader].Leader().IsValid())
		time.Sleep(3 * time.Second)
		next := c.leader()
		out, err := c.nodes[next].Propose(t.Context(), change("b", 0))
		assert.NilError(t, err)
		assert.Check(t, out.Accepted, out.Message)
		hasSpace.Store(true)
		time.Sleep(3 * time.Second)
		assert.NilError(t, c.nodes[leader].Failed())
		c.views[leader].Read(func(s *daisyfleet.State) { assert.Check(t, s.Revision() >= out.Revision) })
	})
}

// A leader that is closed resigns: another replica leads before ElectionMin after
// the last heartbeat, the earliest time at which a follower would otherwise have
// started an election.
func TestClosedLeaderIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		const (
			election = 50 * time.Millisecond // Six messages of 1 ms, with a margin.
			within   = daisylog.ElectionRetryMax + election
		)
		assert.Assert(t, within < daisylog.ElectionMin-daisylog.HeartbeatInterval)
		leader := c.leader()
		assert.NilError(t, c.nodes[leader].Close())
		time.Sleep(within)
		next := c.leader()
		assert.Check(t, next >= 0 && next != leader)
		c.close(t)
	})
}
