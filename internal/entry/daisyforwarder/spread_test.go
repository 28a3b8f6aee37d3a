package daisyforwarder_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Guards against a server whose statements all go through one gateway, and against a
// transaction of which later statements go to another gateway than the first.
func TestWorkspacesUseTheirGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		from := f.hosts[0]
		gateways := from.forwarder.Gateways(serverName)
		assert.Assert(t, gateways.Spread)
		for _, h := range f.hosts { // All gateways sample the primary as the first does.
			assert.Equal(t, h.forwarder.Rank(serverName), min(gateways.Rank(h.name), 0))
		}
		for i := range 30 {
			req := request(daisystatement.KindBegin, "begin")
			req.Workspace = fmt.Sprint("w", i)
			_, pinned, err := from.forwarder.Run(req)
			assert.NilError(t, err)
			used := gateways.Order(serverName, req.Workspace)[0].Host
			for _, h := range f.hosts {
				active := 0
				if h.name == used {
					active = 1 // The transaction is pinned there.
				}
				assert.Equal(t, h.gateway.Active(), active, "workspace %s at %s", req.Workspace, h.name)
			}
			_, err = pinned.Do(request(daisystatement.KindCommit, "commit"))
			assert.NilError(t, err)
			pinned.Close()
		}
	})
}

// Guards against requests that each wait for a dial of a frozen gateway: once its link is
// lost, they go to the next gateway in the workspace's order at once, and back after it
// answers again.
func TestFrozenGatewayIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		gateway, other := f.first()
		run := func() (time.Duration, error) {
			began := time.Now()
			_, _, err := other.forwarder.Run(request(daisystatement.KindWrite, "w"))
			return time.Since(began), err
		}
		_, err := run()
		assert.NilError(t, err)
		gateway.frozen.Store(true)
		gateway.silent.Store(true)
		_, err = run() // It may have run: it is not sent again.
		assert.Assert(t, err != nil)
		for range 20 {
			took, err := run()
			assert.NilError(t, err)
			assert.Assert(t, took < 50*time.Millisecond, "%v", took)
			time.Sleep(100 * time.Millisecond)
		}
		before := gateway.gateway.Counts().Requests
		gateway.frozen.Store(false)
		gateway.silent.Store(false)
		time.Sleep(time.Second)
		for range 3 {
			_, err = run()
			assert.NilError(t, err)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Assert(t, gateway.gateway.Counts().Requests > before)
	})
}

// Guards against an objective that does not reach the gateway, and against one sent to a
// host of an earlier version, whose decoder refuses the call with the whole link.
func TestObjectiveReachesGateway(t *testing.T) {
	for _, test := range []struct {
		name string
		old  bool
	}{{"SameVersion", false}, {"EarlierVersion", true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				gateway.old = test.old
				req := request(daisystatement.KindRead, "r")
				req.Objective = time.Now().Add(400 * time.Millisecond)
				_, _, err := other.forwarder.Run(req)
				assert.NilError(t, err)
				assert.Equal(t, gateway.objective.Load(), !test.old)
			})
		})
	}
}
