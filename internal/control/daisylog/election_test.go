package daisylog_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// delayed is a message on its way over a network with latency.
type delayed struct {
	at      time.Time
	message daisylog.Message
}

// latency is the one-way latency between regions.
const latency = 12 * time.Millisecond

// waitForLeader advances the clock in steps of 1 ms until a replica holds the
// lease, with every replica in a region of its own. It returns the time taken.
func (c *cluster) waitForLeader(timeout time.Duration) time.Duration {
	return c.waitForLeaderWithLatency(func(_, _ daisylog.ReplicaID) time.Duration { return latency }, timeout)
}

// regions returns the latency between members when two share each region.
func (c *cluster) regions() func(from, to daisylog.ReplicaID) time.Duration {
	region := make(map[daisylog.ReplicaID]int)
	for i, m := range c.members {
		region[m.disk.saved.Replica] = i / 2
	}
	return func(from, to daisylog.ReplicaID) time.Duration {
		if region[from] == region[to] {
			return 0
		}
		return latency
	}
}

// waitForLeaderWithLatency is waitForLeader with a latency for each pair of replicas.
func (c *cluster) waitForLeaderWithLatency(latency func(from, to daisylog.ReplicaID) time.Duration, timeout time.Duration) time.Duration {
	var onNetwork []delayed
	began := c.now
	for c.leader() == nil && c.now.Sub(began) < timeout {
		c.now = c.now.Add(time.Millisecond)
		for _, m := range c.members {
			if m.replica != nil {
				m.replica.Tick(c.now)
				c.process(m)
			}
		}
		for {
			for _, m := range c.inFlight {
				onNetwork = append(onNetwork, delayed{at: c.now.Add(latency(m.From, m.To)), message: m})
			}
			c.inFlight = nil
			next := slices.IndexFunc(onNetwork, func(d delayed) bool { return !d.at.After(c.now) })
			if next < 0 {
				break
			}
			c.inFlight = append(c.inFlight, onNetwork[next].message)
			onNetwork = slices.Delete(onNetwork, next, next+1)
			c.deliver(0, false)
		}
	}
	return c.now.Sub(began)
}

// A whole fleet loses power and two of five replicas lose their disks as well. The
// other three must all vote for the same one of them: if two became candidates at
// nearly the same time and split the votes, clients would wait for another
// election.
func TestUnanimousElection(t *testing.T) {
	const messages = 8 // Pre-vote, vote and the leader's first broadcast, with room for one retry.
	for seed := range uint64(200) {
		c := newVotingCluster(t, seed)
		stopAll(c)
		for i, m := range c.members {
			if i < 2 {
				c.loseDisk(m)
				continue
			}
			c.start(m)
		}
		took := c.waitForLeader(5 * time.Second)
		assert.Assert(t, took <= daisylog.ElectionMax+messages*latency, "seed %d: took %v", seed, took)
	}
}

// newVotingCluster returns a cluster of five in which every member is a voter.
func newVotingCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(seed, 5, defects{})
	for round := 0; c.voters() != 5; round++ {
		assert.Assert(t, round < 100, "seed %d: not every member got a vote", seed)
		c.advance(time.Second, 0)
	}
	c.advance(time.Second, 0)
	return c
}

// stopAll crashes every member and moves the clock on by a second.
func stopAll(c *cluster) {
	for _, m := range c.members {
		c.crash(m)
	}
	c.inFlight = nil
	c.now = c.now.Add(time.Second)
}

// Every control host loses power and keeps its disk: the former leader announces
// that it no longer leads, so no replica waits for its lease to expire.
func TestRestartOfAllReplicasWaitsForNoLease(t *testing.T) {
	for seed := range uint64(200) {
		c := newVotingCluster(t, seed)
		stopAll(c)
		for _, i := range c.random.Perm(len(c.members)) {
			c.start(c.members[i])
			c.waitForLeader(time.Duration(c.random.IntN(10)) * time.Millisecond)
		}
		took := c.waitForLeader(5 * time.Second)
		assert.Assert(t, took < daisylog.ElectionMin, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.violations), 0, "seed %d: %v", seed, c.violations)
	}
}

// A leader that shuts down cleanly resigns first.
func TestResignedLeaderIsReplacedAtOnce(t *testing.T) {
	for seed := range uint64(200) {
		c := newVotingCluster(t, seed)
		leader := c.leader()
		leader.replica.Resign(c.now)
		c.process(leader)
		assert.Assert(t, c.leader() == nil)
		took := c.waitForLeader(5 * time.Second)
		assert.Assert(t, took < daisylog.ElectionMin, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.violations), 0, "seed %d: %v", seed, c.violations)
	}
}

// The leader of five freezes. Two followers that become candidates at nearly the
// same time could get half of the votes each, and neither a majority.
func TestElectionAfterLeaderFreeze(t *testing.T) {
	const messages = 8 // As above.
	for seed := range uint64(400) {
		c := newVotingCluster(t, seed)
		leader := c.leader()
		c.crash(leader)
		took := c.waitForLeaderWithLatency(c.regions(), 5*time.Second)
		assert.Assert(t, took <= daisylog.ElectionMax+messages*latency, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.violations), 0, "seed %d: %v", seed, c.violations)
	}
}

// Two candidates that split the vote retry soon, at different times.
func TestSplitVoteIsRetriedSoon(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCluster(7, 3, defects{})
	c.now = now
	for c.voters() != 3 {
		c.advance(time.Second, 0)
	}
	r := c.members[0].replica
	for r.Role() != daisylog.Candidate {
		c.now = c.now.Add(5 * time.Millisecond)
		r.Tick(c.now)
		if r.Role() == daisylog.PreCandidate {
			r.Step(c.now, daisylog.Message{Kind: daisylog.KindPreVoteReply, From: c.members[1].replica.ID(), Term: r.Term()})
		}
		_ = r.Ready()
		r.Saved(c.now)
	}
	for _, m := range c.members[1:] {
		r.Step(c.now, daisylog.Message{Kind: daisylog.KindVoteReply, From: m.replica.ID(), Term: r.Term(), Reject: true})
	}
	assert.Assert(t, r.NextTick().Sub(c.now) < daisylog.ElectionMin/2, "retries after %v", r.NextTick().Sub(c.now))
}
