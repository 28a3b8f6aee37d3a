package daisyconsensus_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// stop stops a node as a control host does, and returns how long that took.
func (c *cluster) stop(t *testing.T, i int) time.Duration {
	began := time.Now()
	c.nodes[i].Retire()
	took := time.Since(began)
	assert.NilError(t, c.nodes[i].Close())
	c.setCut(i, true)
	return took
}

// Guards against the loss of control when two of five control hosts lose their disks right after
// a sixth has replaced another: the host that was replaced kept its vote for 2.5 s (review/8).
func TestTwoDisksMayGoAfterReplacement(t *testing.T) {
	const (
		size, successor = 5, 5
		catchUp         = 4 * time.Second
		handOver        = time.Second // Longest, with messages that take 1 ms.
	)
	add := func(t *testing.T, c *cluster) {
		c.add(t)
		time.Sleep(catchUp)
	}
	tests := []struct {
		name    string
		replace func(t *testing.T, c *cluster, leader, follower int) (gone int)
	}{
		{"Follower", func(t *testing.T, c *cluster, _, follower int) int {
			add(t, c)
			assert.Assert(t, c.stop(t, follower) < handOver)
			return follower
		}},
		{"Leader", func(t *testing.T, c *cluster, leader, _ int) int {
			add(t, c)
			assert.Assert(t, c.stop(t, leader) < handOver)
			time.Sleep(daisylog.ElectionMax)
			return leader
		}},
		{"RightAfterElection", func(t *testing.T, c *cluster, leader, follower int) int {
			add(t, c)
			c.setCut(leader, true)
			for c.leader() < 0 || c.leader() == leader {
				time.Sleep(time.Millisecond)
			}
			if follower == c.leader() {
				follower = (follower + 1) % size
			}
			assert.Assert(t, c.stop(t, follower) < handOver)
			c.setCut(leader, false)
			time.Sleep(catchUp)
			return follower
		}},
		{"WithoutStop", func(t *testing.T, c *cluster, _, follower int) int {
			add(t, c)
			c.setCut(follower, true)
			time.Sleep(daisylog.VoterReplaceTimeout + daisylog.ElectionMin)
			return follower
		}},
		{"LeaderWithoutStop", func(t *testing.T, c *cluster, leader, _ int) int {
			add(t, c)
			c.setCut(leader, true)
			time.Sleep(daisylog.ElectionMax + daisylog.ElectionMin + daisylog.VoterReplaceTimeout + daisylog.ElectionMin)
			return leader
		}},
		{"SuccessorStartsLate", func(t *testing.T, c *cluster, _, follower int) int {
			assert.Equal(t, c.stop(t, follower), time.Duration(0))
			time.Sleep(time.Second)
			add(t, c)
			return follower
		}},
		{"SuccessorIsAwayFirst", func(t *testing.T, c *cluster, _, follower int) int {
			add(t, c)
			c.setCut(successor, true)
			time.Sleep(time.Second)
			assert.Assert(t, c.stop(t, follower) < handOver)
			time.Sleep(daisylog.VoterReplaceTimeout)
			c.setCut(successor, false)
			time.Sleep(catchUp)
			return follower
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, size, size)
				defer c.close(t)
				leader := c.leader()
				gone := test.replace(t, c, leader, (leader+1)%size)
				var want []int
				for i := range size + 1 {
					if i != gone {
						want = append(want, i)
					}
				}
				assert.DeepEqual(t, c.voters(), want)

				leader = c.leader()
				out, err := c.nodes[leader].Propose(t.Context(), change("before", 0))
				assert.NilError(t, err)
				lost := slices.DeleteFunc(slices.Clone(want), func(i int) bool { return i == leader || i == successor })
				c.setCut(leader, true)
				c.setCut(lost[0], true)
				time.Sleep(catchUp)
				leader = c.leader()
				assert.Assert(t, leader >= 0, "no leader after the loss of two of five voters")
				again, err := c.nodes[leader].Propose(t.Context(), change("before", 0))
				assert.NilError(t, err)
				assert.DeepEqual(t, again, out)
			})
		})
	}
}

// Guards against a stop that takes the vote from a host that comes back with its disk, and
// against one that waits though nobody waits for a vote.
func TestStopWithoutSuccessorKeepsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 5
		c := newClusterOf(t, size, size)
		defer c.close(t)
		want := c.voters()
		for i := range size {
			began := time.Now()
			c.nodes[i].Retire()
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
		time.Sleep(daisylog.ElectionMin / 2)
		assert.DeepEqual(t, c.voters(), want)
	})
}
