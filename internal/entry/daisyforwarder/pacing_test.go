package daisyforwarder_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
)

// Guards against replies of a high class that leave a gateway host with a full link after
// those of low ones, and against a link that is thought dead while its replies wait.
func TestRepliesLeaveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		gateway, other := f.first()
		gateway.pacer = daisypacer.New(2e6)
		_, _, err := other.forwarder.Run(request(daisystatement.KindRead, "warm"))
		assert.NilError(t, err)
		gateway.pacer.Charge(150000) // 0.6 s of other traffic.
		var mu sync.Mutex
		var replied []int
		var wait sync.WaitGroup
		began := time.Now()
		for _, priority := range []int{2, 1, 0} {
			wait.Go(func() {
				req := request(daisystatement.KindRead, "r")
				req.Priority, req.Deadline = priority, began.Add(5*time.Second)
				_, _, err := other.forwarder.Run(req)
				assert.Check(t, err)
				mu.Lock()
				defer mu.Unlock()
				replied = append(replied, priority)
			})
			time.Sleep(10 * time.Millisecond)
		}
		wait.Wait()
		assert.Assert(t, time.Since(began) >= 500*time.Millisecond)
		assert.DeepEqual(t, replied, []int{0, 1, 2})
		assert.Equal(t, other.forwarder.Counts().LinksLost, uint64(0))
		assert.NilError(t, gateway.pacer.Close())
	})
}
