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

// electionLimit is the time within which a healthy majority has a leader.
const electionLimit = 5 * time.Second

func formed(t *testing.T, seed uint64, names int) *cluster {
	t.Helper()
	c := newCluster(seed, names, breaks{})
	c.advance(2*electionLimit, 0)
	assert.Equal(t, c.voters(), names)
	return c
}

func (c *cluster) checkHealed(t *testing.T) {
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
	c.checkAcked()
	assert.DeepEqual(t, c.faults, []string(nil))
	_, decided := c.acked["after"]
	assert.Check(t, decided, "no change is decided after the faults are over")
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		strike func(c *cluster)
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
		{"CompactedLeaderMeetsNewcomer", func(c *cluster) {
			c.compact(c.leader())
			c.loseDisk(c.follower())
		}},
		{"LossyNetwork", func(c *cluster) { c.advance(electionLimit, 0.3) }},
	}
	for _, test := range tests {
		for _, names := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s%d", test.name, names), func(t *testing.T) {
				for seed := range uint64(8) {
					c := formed(t, seed, names)
					for i := range 5 {
						c.propose(fmt.Sprintf("before%d", i))
					}
					c.advance(100*time.Millisecond, 0)
					test.strike(c)
					for i := range 20 {
						c.propose(fmt.Sprintf("during%d", i))
						c.advance(200*time.Millisecond, 0.02)
					}
					c.checkHealed(t)
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
// partition neither raises the term nor unseats the leader when it returns.
func TestIsolatedReplicaDoesNotDisturb(t *testing.T) {
	c := formed(t, 1, 3)
	lead := c.leader()
	term := lead.replica.Term()
	away := c.follower()
	c.isolate(away, false)
	c.advance(time.Hour/10, 0)
	assert.Check(t, !away.replica.HoldsLease(c.now))
	c.heal()
	c.advance(electionLimit, 0)
	assert.Equal(t, c.leader(), lead)
	assert.Equal(t, lead.replica.Term(), term)
}

// TestNewcomerTicksSlowly checks that a replica without a vote sets its next
// tick into the future; it once ticked in a busy loop.
func TestNewcomerTicksSlowly(t *testing.T) {
	c := newCluster(1, 2, breaks{})
	c.now = c.now.Add(daisylog.ElectionMax)
	newcomer := c.members[1].replica
	newcomer.Tick(c.now)
	assert.Check(t, newcomer.NextTick().After(c.now))
}

// scenario runs random faults from one seed.
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
			if c.whole() {
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
		names := rapid.SampledFrom([]int{3, 5}).Draw(rt, "names")
		c := formed(t, rapid.Uint64().Draw(rt, "seed"), names)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		scenario(c, 40, pick)
		c.checkHealed(t)
	})
}

// TestChecksCatchBreaks switches one mechanism off at a time and demands that
// some random run shows a fault.
func TestChecksCatchBreaks(t *testing.T) {
	tests := []struct {
		name   string
		breaks breaks
		run    func(c *cluster)
	}{
		{"ForgottenBallot", breaks{forgetBallot: true, earlyVote: true}, randomRun},
		{"LostDiskKeepsIdentity", breaks{keepIdentity: true}, randomRun},
		{"EarlyVote", breaks{earlyVote: true}, restartBesideLonelyReplica},
		{"FalseWinner", breaks{falseWinner: true}, restartBesideLonelyReplica},
		{"UnsavedEntriesCount", breaks{ackUnsaved: true}, randomRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(400) {
				c := newCluster(seed, 3, test.breaks)
				c.advance(2*electionLimit, 0)
				if caught(c, test.run) {
					t.Logf("seed %d: %s", seed, c.faults[0])
					return
				}
			}
			t.Error("no run shows the break")
		})
	}
}

// caught runs a scenario and reports whether it shows a fault. A replica that
// lost what it promised may also panic, which shows the break as well.
func caught(c *cluster, run func(*cluster)) (found bool) {
	defer func() {
		if r := recover(); r != nil {
			c.fault("panic: %v", r)
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
		c.checkAcked()
	}
	return len(c.faults) > 0
}

func randomRun(c *cluster) { scenario(c, 60, c.random.IntN) }

// restartBesideLonelyReplica cuts one follower off from the leader and then
// restarts the other, whose support for the leader's lease must outlast it.
func restartBesideLonelyReplica(c *cluster) {
	lead := c.leader()
	if lead == nil {
		return
	}
	var lonely, other *member
	for _, m := range c.members {
		switch {
		case m == lead:
		case lonely == nil:
			lonely = m
		default:
			other = m
		}
	}
	ids := [2]daisylog.ReplicaID{lead.replica.ID(), lonely.replica.ID()}
	c.cut[ids] = true
	c.cut[[2]daisylog.ReplicaID{ids[1], ids[0]}] = true
	c.advance(daisylog.ElectionMax, 0)
	for range 20 {
		c.crash(other)
		c.start(other)
		c.advance(time.Duration(c.random.IntN(400))*time.Millisecond, 0)
	}
}

// TestRestartBesideLonelyReplica checks that the replica that restarts keeps
// the promise that the lease rests on.
func TestRestartBesideLonelyReplica(t *testing.T) {
	for seed := range uint64(50) {
		c := formed(t, seed, 3)
		restartBesideLonelyReplica(c)
		c.checkHealed(t)
	}
}
