package daisylog_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// electionLimit is the time within which a healthy majority must have a leader.
const electionLimit = 5 * time.Second

func newFormedCluster(t *testing.T, seed uint64, size int) *cluster {
	t.Helper()
	c := newCluster(seed, size, defects{})
	c.advance(2*electionLimit, 0)
	assert.Equal(t, c.voters(), size)
	return c
}

func (c *cluster) checkRecovery(t *testing.T) {
	t.Helper()
	c.heal()
	for _, m := range c.members {
		if m.replica == nil {
			c.start(m)
		}
	}
	c.advance(2*electionLimit, 0)
	c.propose("after")
	c.advance(time.Second, 0)
	c.checkDecided()
	assert.DeepEqual(t, c.violations, []string(nil))
	_, decided := c.decided["after"]
	assert.Check(t, decided, "no change is decided after the faults ended")
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"Nothing", func(*cluster) {}},
		{"LeaderCrashes", func(c *cluster) { c.crash(c.leader()) }},
		{"LeaderCutOff", func(c *cluster) { c.isolate(c.leader(), false) }},
		{"LeaderHearsNothing", func(c *cluster) { c.isolate(c.leader(), true) }},
		{"FollowerCutOff", func(c *cluster) { c.isolate(c.follower(), false) }},
		{"FollowerHearsNothing", func(c *cluster) { c.isolate(c.follower(), true) }},
		{"FollowerLosesDisk", func(c *cluster) { c.loseDisk(c.follower()) }},
		{"LeaderLosesDisk", func(c *cluster) { c.loseDisk(c.leader()) }},
		{"SecondCrashAfterRepair", func(c *cluster) {
			lost := c.follower()
			c.loseDisk(lost)
			c.advance(electionLimit, 0)
			c.crash(c.leader())
		}},
		{"SecondDiskLostAfterRepair", func(c *cluster) {
			c.loseDisk(c.follower())
			c.advance(electionLimit, 0)
			c.loseDisk(c.leader())
		}},
		{"AllRestart", func(c *cluster) {
			for _, m := range c.members {
				c.crash(m)
				c.start(m)
			}
		}},
		{"CompactedLeaderMeetsLearner", func(c *cluster) {
			c.compact(c.leader())
			c.loseDisk(c.follower())
		}},
		{"LossyNetwork", func(c *cluster) { c.advance(electionLimit, 0.3) }},
	}
	for _, test := range tests {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s%d", test.name, size), func(t *testing.T) {
				for seed := range uint64(8) {
					c := newFormedCluster(t, seed, size)
					for i := range 5 {
						c.propose(fmt.Sprintf("before%d", i))
					}
					c.advance(100*time.Millisecond, 0)
					test.inject(c)
					for i := range 20 {
						c.propose(fmt.Sprintf("during%d", i))
						c.advance(200*time.Millisecond, 0.02)
					}
					c.checkRecovery(t)
				}
			})
		}
	}
}

func (c *cluster) follower() *member {
	for _, m := range c.members {
		if m.replica != nil && m.replica.Role() != daisylog.Leader {
			return m
		}
	}
	return nil
}

// TestIsolatedReplicaDoesNotDisturb checks that a replica behind a long
// partition neither raises the term nor makes the leader step down when it returns.
func TestIsolatedReplicaDoesNotDisturb(t *testing.T) {
	c := newFormedCluster(t, 1, 3)
	leader := c.leader()
	term := leader.replica.Term()
	isolated := c.follower()
	c.isolate(isolated, false)
	c.advance(time.Hour/10, 0)
	assert.Check(t, !isolated.replica.HoldsLease(c.now))
	c.heal()
	c.advance(electionLimit, 0)
	assert.Equal(t, c.leader(), leader)
	assert.Equal(t, leader.replica.Term(), term)
}

// TestLearnerSchedulesNextTick checks that a replica without a vote sets its next
// tick in the future. It once set it in the past and ticked in a busy loop.
func TestLearnerSchedulesNextTick(t *testing.T) {
	c := newCluster(1, 2, defects{})
	c.now = c.now.Add(daisylog.ElectionMax)
	learner := c.members[1].replica
	learner.Tick(c.now)
	assert.Check(t, learner.NextTick().After(c.now))
}

// scenario injects random faults, chosen by pick.
func scenario(c *cluster, steps int, pick func(n int) int) {
	for i := range steps {
		m := c.members[pick(len(c.members))]
		switch pick(12) {
		case 0:
			c.crash(m)
		case 1, 2, 3:
			if m.replica == nil {
				c.start(m)
			}
		case 4:
			c.isolate(m, pick(2) == 0)
		case 5, 6:
			c.heal()
		case 7:
			c.compact(m)
		case 8:
			if c.allVoting() {
				c.loseDisk(m)
			}
		case 9:
			c.propose(fmt.Sprintf("again%d", pick(4)))
		default:
			c.propose(fmt.Sprintf("change%d", i))
		}
		c.advance(time.Duration(1+pick(60))*daisylog.ElectionMin/100, float64(pick(3))/10)
	}
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "names")
		c := newFormedCluster(t, rapid.Uint64().Draw(rt, "seed"), size)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		scenario(c, 40, pick)
		c.checkRecovery(t)
	})
}

// TestChecksDetectDefects switches one mechanism off at a time and checks that
// some random run then violates an invariant.
func TestChecksDetectDefects(t *testing.T) {
	tests := []struct {
		name    string
		defects defects
		run     func(c *cluster)
	}{
		{"ForgottenHardState", defects{forgetHardState: true, voteAfterStart: true}, randomRun},
		{"LostDiskKeepsReplicaID", defects{keepReplicaID: true}, randomRun},
		{"EarlyVote", defects{voteAfterStart: true}, restartBesideIsolatedFollower},
		{"FalseLeader", defects{claimLeadership: true}, restartBesideIsolatedFollower},
		{"UnsavedEntriesCount", defects{countUnsaved: true}, randomRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(400) {
				c := newCluster(seed, 3, test.defects)
				c.advance(2*electionLimit, 0)
				if causesViolation(c, test.run) {
					t.Logf("seed %d: %s", seed, c.violations[0])
					return
				}
			}
			t.Error("no run detects the defect")
		})
	}
}

// causesViolation runs a scenario and reports whether an invariant was violated. A
// replica with a defect may also panic, which counts as a violation.
func causesViolation(c *cluster, run func(*cluster)) (found bool) {
	defer func() {
		if r := recover(); r != nil {
			c.addViolation("panic: %v", r)
			found = true
		}
	}()
	run(c)
	c.heal()
	for _, m := range c.members {
		if m.replica == nil {
			c.start(m)
		}
	}
	c.advance(2*electionLimit, 0)
	if c.leader() != nil {
		c.checkDecided()
	}
	return len(c.violations) > 0
}

func randomRun(c *cluster) { scenario(c, 60, c.random.IntN) }

// restartBesideIsolatedFollower isolates one follower from the leader and then
// restarts the other repeatedly. That one must grant no vote until the lease that
// it supported before a restart has expired.
func restartBesideIsolatedFollower(c *cluster) {
	leader := c.leader()
	if leader == nil {
		return
	}
	var isolated, other *member
	for _, m := range c.members {
		switch {
		case m == leader:
		case isolated == nil:
			isolated = m
		default:
			other = m
		}
	}
	ids := [2]daisylog.ReplicaID{leader.replica.ID(), isolated.replica.ID()}
	c.blocked[ids] = true
	c.blocked[[2]daisylog.ReplicaID{ids[1], ids[0]}] = true
	c.advance(daisylog.ElectionMax, 0)
	for range 20 {
		c.crash(other)
		c.start(other)
		c.advance(time.Duration(c.random.IntN(400))*time.Millisecond, 0)
	}
}

// TestRestartBesideIsolatedFollower checks that a restarted replica does not vote
// while the leader may still hold the lease that it supported.
func TestRestartBesideIsolatedFollower(t *testing.T) {
	for seed := range uint64(50) {
		c := newFormedCluster(t, seed, 3)
		restartBesideIsolatedFollower(c)
		c.checkRecovery(t)
	}
}
