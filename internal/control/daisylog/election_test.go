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

// latency is that of the tests' network between regions, one way.
const latency = 12 * time.Millisecond

// elect lets time pass in steps of 1 ms on a network on which all replicas are in
// regions of their own, until one leads for certain. It returns how long it took.
func (c *cluster) elect(patience time.Duration) time.Duration {
	return c.electApart(func(_, _ daisylog.ReplicaID) time.Duration { return latency }, patience)
}

// regions returns the latency between members that are in regions by twos.
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

// electApart is elect with a latency for each pair of replicas.
func (c *cluster) electApart(latency func(from, to daisylog.ReplicaID) time.Duration, patience time.Duration) time.Duration {
	var way []delayed
	began := c.now
	for c.leader() == nil && c.now.Sub(began) < patience {
		c.now = c.now.Add(time.Millisecond)
		for _, m := range c.members {
			if m.replica != nil {
				m.replica.Tick(c.now)
				c.settle(m)
			}
		}
		for {
			for _, m := range c.inFlight {
				way = append(way, delayed{at: c.now.Add(latency(m.From, m.To)), message: m})
			}
			c.inFlight = nil
			next := slices.IndexFunc(way, func(d delayed) bool { return !d.at.After(c.now) })
			if next < 0 {
				break
			}
			c.inFlight = append(c.inFlight, way[next].message)
			way = slices.Delete(way, next, next+1)
			c.deliver(0, false)
		}
	}
	return c.now.Sub(began)
}

// A whole fleet loses power and two of five replicas lose their disks as well:
// the other three must all vote for the same one of them. Two that stand at
// nearly the same time must not use up the vote, or callers wait for another
// election.
func TestUnanimousElection(t *testing.T) {
	const trips = 8 // Pre-vote, vote and first round of the leader, with room for one retry.
	for seed := range uint64(200) {
		c := settled(t, seed)
		stopAll(c)
		for i, m := range c.members {
			if i < 2 {
				c.loseDisk(m)
				continue
			}
			c.start(m)
		}
		took := c.elect(5 * time.Second)
		assert.Assert(t, took <= daisylog.ElectionMax+trips*latency, "seed %d: took %v", seed, took)
	}
}

// settled returns a cluster of five of which all vote.
func settled(t *testing.T, seed uint64) *cluster {
	c := newCluster(seed, 5, breaks{})
	for round := 0; c.voters() != 5; round++ {
		assert.Assert(t, round < 100, "seed %d: not every member got a vote", seed)
		c.advance(time.Second, 0)
	}
	c.advance(time.Second, 0)
	return c
}

// stopAll crashes every member and lets a second pass.
func stopAll(c *cluster) {
	for _, m := range c.members {
		c.crash(m)
	}
	c.inFlight = nil
	c.now = c.now.Add(time.Second)
}

// Every control host loses power and keeps its disk: the one that led says that
// it does not lead any more, and nobody waits for its lease to run out.
func TestRestartOfAllWaitsForNoLease(t *testing.T) {
	for seed := range uint64(200) {
		c := settled(t, seed)
		stopAll(c)
		for _, i := range c.random.Perm(len(c.members)) {
			c.start(c.members[i])
			c.elect(time.Duration(c.random.IntN(10)) * time.Millisecond)
		}
		took := c.elect(5 * time.Second)
		assert.Assert(t, took < daisylog.ElectionMin, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.faults), 0, "seed %d: %v", seed, c.faults)
	}
}

// A leader that stops in order resigns first.
func TestResignedLeaderIsReplacedAtOnce(t *testing.T) {
	for seed := range uint64(200) {
		c := settled(t, seed)
		lead := c.leader()
		lead.replica.Resign(c.now)
		c.settle(lead)
		assert.Assert(t, c.leader() == nil)
		took := c.elect(5 * time.Second)
		assert.Assert(t, took < daisylog.ElectionMin, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.faults), 0, "seed %d: %v", seed, c.faults)
	}
}

// The leader of five is frozen: of two followers that stand at nearly the same
// time each may have half of the votes, and none a majority.
func TestElectionBesideFrozenLeader(t *testing.T) {
	const trips = 8 // As above.
	for seed := range uint64(400) {
		c := settled(t, seed)
		lead := c.leader()
		c.crash(lead)
		took := c.electApart(c.regions(), 5*time.Second)
		assert.Assert(t, took <= daisylog.ElectionMax+trips*latency, "seed %d: took %v", seed, took)
		assert.Equal(t, len(c.faults), 0, "seed %d: %v", seed, c.faults)
	}
}

// Two candidates that split the vote stand again soon, at different times.
func TestSplitVoteIsRepeatedSoon(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCluster(7, 3, breaks{})
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
	assert.Assert(t, r.NextTick().Sub(c.now) < daisylog.ElectionMin/2, "stands again after %v", r.NextTick().Sub(c.now))
}
