package daisyconsensus_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// Guards against a control host that loses its vote while it is out of reach and never
// takes part again: a host that was replaced for good kept its vote in its place, and
// the loss of two disks then ended control.
func TestReplacedVoterRejoins(t *testing.T) {
	tests := []struct {
		name     string
		cut      func(c *cluster) int // Returns the node that is out of reach.
		cutFirst bool                 // It is out of reach before the other one is gone.
	}{
		{"Leader", func(c *cluster) int { return c.leader() }, false},
		{"Follower", func(c *cluster) int { return (c.leader() + 1) % 5 }, false},
		{"FollowerFirst", func(c *cluster) int { return (c.leader() + 1) % 5 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size, catchUp = 5, 4 * time.Second
				c := newClusterOf(t, size, size)
				defer c.close(t)
				assert.Equal(t, len(c.voters()), size)
				cut := test.cut(c)
				gone := (c.leader() + 3) % size
				if test.cutFirst {
					c.setCut(cut, true)
					time.Sleep(time.Second)
				}
				c.setCut(gone, true)
				time.Sleep(time.Second)
				c.add(t)
				time.Sleep(time.Second)
				c.setCut(cut, true)
				time.Sleep(daisylog.VoterReplaceTimeout + 2*time.Second)
				c.setCut(cut, false)
				time.Sleep(catchUp)

				var want []int
				for i := range size + 1 {
					if i != gone {
						want = append(want, i)
					}
				}
				assert.DeepEqual(t, c.voters(), want)
				out, err := c.nodes[c.leader()].Propose(t.Context(), change("before", 0))
				assert.NilError(t, err)

				// Of five voters, two may be lost.
				c.setCut(c.leader(), true)
				c.setCut(size, true)
				time.Sleep(catchUp)
				leader := c.leader()
				assert.Assert(t, leader >= 0, "no leader after the loss of two of five voters")
				again, err := c.nodes[leader].Propose(t.Context(), change("before", 0))
				assert.NilError(t, err)
				assert.DeepEqual(t, again, out)
			})
		})
	}
}
