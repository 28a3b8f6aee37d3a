package daisylog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLimitedCluster returns a cluster of five voters, at most.
func newLimitedCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := newFormedCluster(t, seed, 5)
	for _, m := range c.members {
		m.replica.SetMaxVoters(5)
	}
	return c
}

// addMember starts a replica that joins.
func (c *cluster) addMember() *member {
	m := &member{name: "c9", disk: &disk{}}
	m.disk.saved.Replica = c.newID()
	c.members = append(c.members, m)
	c.start(m)
	m.replica.SetMaxVoters(5)
	return m
}

// restart starts a member from its disk.
func (c *cluster) restart(m *member) {
	c.start(m)
	m.replica.SetMaxVoters(5)
}

// voteOnly reports whether the leader's committed configuration has exactly the members as voters.
func (c *cluster) voteOnly(members ...*member) bool {
	leader := c.leader()
	if leader == nil || c.voters() != len(members) {
		return false
	}
	voting := 0
	for _, p := range leader.replica.ConfigurationAt(leader.replica.Commit()) {
		for _, m := range members {
			if p.Voting && p.Replica == m.disk.saved.Replica {
				voting++
			}
		}
	}
	return voting == len(members)
}

// Guards against a voter that stops, or is killed, at any moment while it hands its vote over and
// leaves the others with six voters or with four, and against commits that are lost then.
func TestVoterEndsWhileItHandsItsVoteOver(t *testing.T) {
	for steps := range 24 {
		c := newLimitedCluster(t, uint64(steps)+1)
		successor := c.addMember()
		c.advance(4*time.Second, 0)
		c.propose("before")
		gone := c.follower()
		if steps%2 == 1 {
			gone = c.leader()
		}
		for range steps {
			if gone.replica.Retire(c.now) {
				break
			}
			c.process(gone)
			c.advance(10*time.Millisecond, 0)
		}
		c.crash(gone)
		all := steps%3 == 0 // All are killed at once and come back with their disks.
		var stay []*member
		for _, m := range c.members {
			if m == gone {
				continue
			}
			stay = append(stay, m)
			if all {
				c.crash(m)
				c.restart(m)
			}
		}
		c.advance(4*time.Second, 0)
		assert.Assert(t, c.voteOnly(stay...), "after %d steps: %d voters", steps, c.voters())
		c.propose("then")
		c.advance(200*time.Millisecond, 0)
		c.loseDisk(stay[0])
		c.loseDisk(successor)
		for _, m := range []*member{stay[0], successor} {
			m.replica.SetMaxVoters(5)
		}
		c.advance(4*time.Second, 0)
		c.checkDecided()
		assert.Equal(t, len(c.violations), 0, "after %d steps: %v", steps, c.violations)
	}
}

// retire has the member stop within the time, in steps, and reports whether it may end.
func (c *cluster) retire(m *member, within time.Duration) bool {
	const step = 10 * time.Millisecond
	for end := c.now.Add(within); c.now.Before(end); c.advance(step, 0) {
		if m.replica.Retire(c.now) {
			return true
		}
		c.process(m)
	}
	return false
}

// Guards against a voter that ends with its vote since the learner that takes it over answers
// late, as with a slow disk, or was not heard yet by a leader that has just been elected.
func TestStopAwaitsSlowLearner(t *testing.T) {
	tests := []struct {
		name      string
		silent    time.Duration // How long the learner has been silent.
		awaited   bool
		newLeader bool
	}{
		{"Answers", 0, true, false},
		{"Slow", time.Second, true, false},
		{"SlowAndNewLeader", time.Second, true, true},
		{"Away", 4 * time.Second, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLimitedCluster(t, 1)
			successor := c.addMember()
			c.advance(4*time.Second, 0)
			if test.silent > 0 {
				c.isolate(successor, false)
				c.advance(test.silent, 0)
			}
			if test.newLeader {
				c.leader().replica.Resign(c.now)
				c.advance(500*time.Millisecond, 0)
			}
			gone := c.members[0]
			if gone == c.leader() {
				gone = c.members[1]
			}
			if test.silent > 0 {
				assert.Equal(t, c.retire(gone, 500*time.Millisecond), !test.awaited)
				c.heal()
			}
			assert.Assert(t, c.retire(gone, time.Second))
			voting := false
			for _, p := range c.leader().replica.Configuration() {
				voting = voting || p.Voting && p.Replica == successor.replica.ID()
			}
			assert.Equal(t, voting, test.awaited)
			assert.Equal(t, c.voters(), 5)
		})
	}
}

// Guards against votes that are given up by restarts: after all voters have stopped and come back
// with their disks, one after the other, two disks may go.
func TestRestartsKeepVotes(t *testing.T) {
	for _, spare := range []bool{false, true} { // Whether a sixth replica waits for a vote.
		c := newLimitedCluster(t, 1)
		if spare {
			c.addMember()
			c.advance(4*time.Second, 0)
		}
		c.propose("before")
		for _, m := range c.members[:5] {
			for range 100 {
				if m.replica.Retire(c.now) {
					break
				}
				c.process(m)
				c.advance(10*time.Millisecond, 0)
			}
			c.crash(m)
			c.advance(500*time.Millisecond, 0)
			c.restart(m)
			c.advance(4*time.Second, 0)
			assert.Equal(t, c.voters(), 5)
			assert.Assert(t, c.runningVoters() == 5, "%d voters run", c.runningVoters())
		}
		c.propose("then")
		c.advance(200*time.Millisecond, 0)
		c.loseDisk(c.leader())
		c.loseDisk(c.members[2])
		c.advance(4*time.Second, 0)
		c.checkDecided()
		assert.Equal(t, len(c.violations), 0, "%v", c.violations)
	}
}

// runningVoters returns how many voters of the leader's configuration run.
func (c *cluster) runningVoters() (n int) {
	for _, p := range c.leader().replica.Configuration() {
		for _, m := range c.members {
			if p.Voting && m.replica != nil && p.Replica == m.disk.saved.Replica {
				n++
			}
		}
	}
	return n
}
