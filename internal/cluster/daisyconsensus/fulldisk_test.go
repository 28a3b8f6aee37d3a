package daisyconsensus_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

var errFull = errors.New("no space left on device")

// space is what a disk has room for.
type space int

const (
	hasSpace    space = iota
	noSpace           // Nothing can be written, and the storage cannot be reopened.
	noSpaceLate       // The same, but what is written is on the disk though the write fails.
	noSnapshots       // Records can be written, but no snapshot.
	spaceKinds        // Number of kinds.

	// damaged is a disk that refuses writes and whose log is found to be damaged when it
	// is reopened. The host then starts with an empty log as a new replica.
	damaged
)

// disk is a node's storage.
type disk struct {
	mu              sync.Mutex
	saved           daisylog.PersistedState
	space           space
	failedSnapshots int
	damages         int // How often the log was found to be damaged.
}

func (d *disk) Append(hardState *daisylog.HardState, entries []daisylog.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == noSpace || d.space == damaged {
		return errFull
	}
	if hardState != nil {
		d.saved.HardState = *hardState
	}
	for _, e := range entries {
		d.saved.Entries = append(slices.Clone(d.saved.Entries[:e.Index-d.saved.Snapshot.Index-1]), e)
	}
	if d.space == noSpaceLate {
		return errFull
	}
	return nil
}

func (d *disk) Replace(hardState daisylog.HardState, snapshot daisylog.Snapshot, entries []daisylog.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == hasSpace || d.space == noSpaceLate {
		d.saved.HardState, d.saved.Snapshot, d.saved.Entries = hardState, snapshot, slices.Clone(entries)
	}
	if d.space != hasSpace {
		d.failedSnapshots++
		return errFull
	}
	return nil
}

func (d *disk) reopen() (daisyconsensus.Storage, daisylog.PersistedState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.space == noSpace || d.space == noSpaceLate {
		return nil, daisylog.PersistedState{}, errFull
	}
	if d.space == damaged {
		const identities = 100 // More than there are replicas.
		d.damages, d.space = d.damages+1, hasSpace
		d.saved = daisylog.PersistedState{Replica: d.saved.Replica + identities}
	}
	saved := d.saved
	saved.Entries = slices.Clone(saved.Entries)
	return d, saved, nil
}

// isDamaged reports whether the log is damaged and the host has not found out yet.
func (d *disk) isDamaged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.space == damaged
}

func (d *disk) setSpace(s space) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.space = s
}

// diskCluster is a cluster whose nodes keep what they saved.
type diskCluster struct {
	cluster
	disks    []*disk
	random   *rand.Rand
	accepted []daisyfleet.Outcome
	changes  int
}

// newDiskCluster returns a cluster of five voters and as many nodes that wait for a vote.
func newDiskCluster(t *testing.T, seed uint64, waiting int) *diskCluster {
	const voters = 5
	c := &diskCluster{random: rand.New(rand.NewPCG(seed, 1))}
	c.seed, c.maxVoters = seed, voters
	c.network = &network{nodes: make(map[netip.AddrPort]*daisyconsensus.Node), cut: make(map[netip.AddrPort]bool)}
	var peers []daisylog.Peer
	for i := range voters + waiting {
		peers = append(peers, daisylog.Peer{Replica: daisylog.ReplicaID(i + 1), Name: fmt.Sprint("c", i+1), Address: nodeAddr(i)})
		c.seeds = append(c.seeds, nodeAddr(i))
	}
	for i, peer := range peers {
		d := &disk{saved: daisylog.PersistedState{Replica: peer.Replica}}
		if i < voters {
			d.saved = daisylog.BootstrapGroup(peer.Replica, peers[:voters])
		}
		_, saved, _ := d.reopen()
		c.disks = append(c.disks, d)
		c.open(t, peer, saved, d, d.reopen)
	}
	time.Sleep(3 * time.Second)
	return c
}

// propose proposes some changes to the leader, if there is one, and records the accepted ones.
func (c *diskCluster) propose(t *testing.T) (accepted bool) {
	leader := c.leader()
	if leader < 0 {
		return false
	}
	const batch = 12
	var changes []daisyfleet.Change
	for range batch {
		c.changes++
		name := fmt.Sprint("w", c.changes)
		changes = append(changes, daisyfleet.Change{ID: name, Operations: []daisyfleet.Operation{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: name}, Value: daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 1},
		}}})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	decisions, err := c.nodes[leader].ProposeAll(ctx, changes)
	if err != nil {
		return false
	}
	for _, d := range decisions {
		if d.Err == nil && d.Outcome.Accepted {
			c.accepted = append(c.accepted, d.Outcome)
			accepted = true
		}
	}
	return accepted
}

// proposeFor proposes changes for the duration.
func (c *diskCluster) proposeFor(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.propose(t)
		time.Sleep(time.Duration(10+c.random.IntN(150)) * time.Millisecond)
	}
}

// duration returns one that may be short, some seconds or longer than a voter may be silent.
func (c *diskCluster) duration() time.Duration {
	most := []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 10 * time.Second}
	return time.Duration(c.random.Int64N(int64(most[c.random.IntN(len(most))]))) + time.Millisecond
}

// Guards against control that stays out of service after disks of control hosts were full
// one after another, though all have space again, and against the loss of accepted changes.
func TestFullDisksOneAfterAnother(t *testing.T) {
	const (
		episodes = 12
		recovery = 6 * time.Second // Within which an operator's call must be acknowledged.
	)
	tests := []struct {
		name    string
		waiting int // Nodes that take the votes of those that are silent for some seconds.
		seeds   uint64
	}{
		{"AllVote", 0, 20},
		{"OneWaits", 1, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			failedSnapshots := 0
			for seed := range test.seeds {
				synctest.Test(t, func(t *testing.T) {
					c := newDiskCluster(t, seed, test.waiting)
					defer c.close(t)
					c.fillDisks(t, episodes)
					c.checkService(t, recovery)
					for _, d := range c.disks {
						failedSnapshots += d.failedSnapshots
					}
				})
				assert.Assert(t, !t.Failed(), "seed %d", seed)
			}
			t.Logf("%d snapshots failed", failedSnapshots)
			assert.Assert(t, failedSnapshots > 0, "no snapshot failed")
		})
	}
}

// fillDisks lets one disk after another be full for some time.
func (c *diskCluster) fillDisks(t *testing.T, episodes int) {
	last := 0
	for range episodes {
		switch leader := c.leader(); {
		case c.random.IntN(3) == 0: // The same disk again.
		case leader >= 0 && c.random.IntN(2) == 0:
			last = leader
		default:
			last = c.random.IntN(len(c.disks))
		}
		c.disks[last].setSpace(space(1 + c.random.IntN(int(spaceKinds)-1)))
		c.proposeFor(t, c.duration())
		c.disks[last].setSpace(hasSpace)
		if c.random.IntN(2) == 0 {
			c.proposeFor(t, c.duration())
		}
	}
}

// checkService checks that changes are accepted again within the time, that all nodes take
// part, and that no accepted change is lost.
func (c *diskCluster) checkService(t *testing.T, within time.Duration) {
	restored := time.Now()
	for !c.propose(t) {
		assert.Assert(t, time.Since(restored) < within, "no change is accepted %v after the last disk has space", within)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(c.nodes[c.leader()].Configuration()), len(c.nodes))
	for i, n := range c.nodes {
		assert.NilError(t, n.Failed())
		assert.Equal(t, c.views[i].Revision(), c.views[0].Revision())
	}
	for i := range c.views {
		c.checkAccepted(t, i)
	}
	assert.Assert(t, len(c.accepted) > 100, "%d changes accepted", len(c.accepted))
}

// checkAccepted checks that the node has all accepted changes.
func (c *diskCluster) checkAccepted(t *testing.T, node int) {
	var lost []string
	c.views[node].Read(func(s *daisyfleet.State) {
		for _, o := range c.accepted {
			if _, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: o.ID}); !ok {
				lost = append(lost, o.ID)
			}
		}
	})
	assert.Assert(t, len(lost) == 0, "%d accepted changes are lost on %d", len(lost), node)
}
