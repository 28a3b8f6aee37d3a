package daisyconsensus_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// tolerated is the number of five voters that may lose their logs at once.
const tolerated = 2

// Guards against the loss of accepted changes, and against control that stays out of service,
// after logs were found to be damaged while their hosts run.
func TestDamageWhileRunning(t *testing.T) {
	const episodes = 8
	tests := []struct {
		name    string
		waiting int // Nodes that take the votes of those that are silent for some seconds.
		seeds   uint64
	}{
		{"AllVote", 0, 12},
		{"OneWaits", 1, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			damages := 0
			for seed := range test.seeds {
				synctest.Test(t, func(t *testing.T) {
					c := newDiskCluster(t, seed, test.waiting)
					defer c.close(t)
					for range episodes {
						c.damageDisks()
						c.proposeFor(t, c.duration())
						c.awaitRepair(t)
					}
					c.checkService(t, 6*time.Second)
					for _, d := range c.disks {
						damages += d.damages
					}
				})
				assert.Assert(t, !t.Failed(), "seed %d", seed)
			}
			t.Logf("%d logs were found to be damaged", damages)
			assert.Assert(t, damages > int(test.seeds)*episodes/2, "%d logs were found to be damaged", damages)
		})
	}
}

// damageDisks damages up to the tolerated number of logs, half of the time the leader's.
func (c *diskCluster) damageDisks() {
	if leader := c.leader(); leader >= 0 && c.random.IntN(2) == 0 {
		c.disks[leader].setSpace(damaged)
	}
	already := 0
	for _, d := range c.disks {
		if d.isDamaged() {
			already++
		}
	}
	for _, i := range c.random.Perm(len(c.disks))[:1+c.random.IntN(tolerated-already)] {
		c.disks[i].setSpace(damaged)
	}
}

// awaitRepair proposes changes until all damage was found and all nodes are in the
// configuration again, five of them with a vote.
func (c *diskCluster) awaitRepair(t *testing.T) {
	const (
		voters = 5
		within = time.Minute
	)
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		c.propose(t)
		voting, repaired := 0, true
		for i, n := range c.nodes {
			if n.IsVoter() {
				voting++
			}
			repaired = repaired && !c.disks[i].isDamaged() && n.Joined() && len(n.Configuration()) == len(c.nodes)
		}
		if repaired && voting == voters {
			return
		}
		assert.Assert(t, time.Now().Before(end), "not repaired within %v", within)
	}
}

// Guards against changes that are lost after more logs were damaged at once than is
// tolerated: no accepted change may be missing on a node that leads.
func TestTooMuchDamageWhileRunning(t *testing.T) {
	const (
		seeds    = 24
		duration = 10 * time.Second
	)
	unserved := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newDiskCluster(t, seed, 0)
			defer c.close(t)
			c.proposeFor(t, time.Second)
			pause := time.Duration(seed%4) * 300 * time.Millisecond // The longer ones leave time for repair.
			for _, i := range c.random.Perm(len(c.disks))[:tolerated+1+c.random.IntN(len(c.disks)-tolerated)] {
				c.disks[i].setSpace(damaged)
				c.proposeFor(t, time.Duration(c.random.Int64N(int64(pause+1))))
			}
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				c.propose(t)
				c.checkLeader(t)
			}
			if c.leader() < 0 {
				unserved++
			}
		})
		assert.Assert(t, !t.Failed(), "seed %d", seed)
	}
	t.Logf("%d of %d clusters have no leader at the end", unserved, seeds)
	assert.Assert(t, unserved > 0 && unserved < seeds, "%d of %d clusters have no leader at the end", unserved, seeds)
}

// Guards against accepted changes that are lost since hosts whose logs were damaged vote for one
// that lacks these changes: two of five hosts are cut off while the others accept changes, and
// two of the others then lose their logs.
func TestDamageBesideHostsThatLag(t *testing.T) {
	const (
		seeds    = 12
		duration = 10 * time.Second
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newDiskCluster(t, seed, 0)
			defer c.close(t)
			order := c.random.Perm(len(c.nodes))
			lagging, damagedOnes, last := order[:2], order[2:4], order[4]
			for _, i := range lagging {
				c.setCut(i, true)
			}
			c.proposeFor(t, 5*time.Second)
			c.setCut(last, true) // No leader is left, and the others lag.
			for _, i := range damagedOnes {
				c.disks[i].setSpace(damaged)
			}
			c.proposeFor(t, 3*time.Second) // The elections write to the disks.
			for _, i := range lagging {
				c.setCut(i, false)
			}
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				c.checkLeader(t)
			}
			c.setCut(last, false)
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				c.checkLeader(t)
			}
			c.checkService(t, 6*time.Second)
		})
		assert.Assert(t, !t.Failed(), "seed %d", seed)
	}
}

// checkLeader checks that the leader, if there is one, has all accepted changes.
func (c *diskCluster) checkLeader(t *testing.T) {
	leader := c.leader()
	if leader < 0 {
		return
	}
	c.checkAccepted(t, leader)
}
