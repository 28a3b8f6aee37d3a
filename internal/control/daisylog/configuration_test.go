package daisylog_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// A joining replica that knows only followers is redirected to the leader.
func TestFollowerRedirectsJoin(t *testing.T) {
	c := newFormedCluster(t, 1, 3)
	leader, follower := c.leader(), c.follower()
	learner := daisylog.Peer{Replica: 99, Name: "c9"}
	follower.replica.Step(c.now, daisylog.Join(learner))
	ready := follower.replica.Ready()
	assert.Equal(t, len(ready.Messages), 1)
	m := ready.Messages[0]
	assert.Equal(t, m.Kind, daisylog.KindRedirect)
	assert.Equal(t, m.To, learner.Replica)
	assert.Equal(t, m.Peer.Replica, leader.disk.saved.Replica)
}

// At the maximum number of voters, a learner replaces only a silent voter.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	tests := []struct {
		name   string
		inject func(c *cluster)
		votes  bool
	}{
		{"AllAnswer", func(*cluster) {}, false},
		{"FollowerSilent", func(c *cluster) { c.crash(c.follower()) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newFormedCluster(t, 1, 3)
			for _, m := range c.members {
				m.replica.SetMaxVoters(3)
			}
			test.inject(c)
			m := &member{name: "c9", disk: &disk{}}
			m.disk.saved.Replica = c.newID()
			c.members = append(c.members, m)
			c.start(m)
			m.replica.SetMaxVoters(3)
			c.advance(daisylog.VoterReplaceTimeout+2*time.Second, 0)
			votes := false
			for _, p := range c.leader().replica.Configuration() {
				votes = votes || p.Replica == m.disk.saved.Replica && p.Voting
			}
			assert.Equal(t, votes, test.votes)
		})
	}
}

// Join carries the address to which the answer is sent.
func TestJoinCarriesAddress(t *testing.T) {
	peer := daisylog.Peer{Replica: 9, Name: "c9", Address: netip.MustParseAddrPort("10.0.0.9:7000")}
	assert.Equal(t, daisylog.Join(peer).Address, peer.Address)
}
