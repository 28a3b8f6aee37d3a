package daisyadmission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// grantEvery returns a controller of a limit granted on demand that gets one token in each
// interval until stop is called.
func grantEvery(interval time.Duration) (c *daisyadmission.Controller, stop func()) {
	c = daisyadmission.New(func() {})
	c.SetHosts(300)
	c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 10}})
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(interval):
				c.Demands()
				c.AddGrants([]daisyheartbeat.Demand{{Workspace: "w", Tokens: 1}})
			case <-done:
				return
			}
		}
	}()
	return c, func() { close(done) }
}

// Guards against a token for an operation that has time, while one that has less misses
// its objective.
func TestTokensGoBySlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := grantEvery(100 * time.Millisecond)
		var mu sync.Mutex
		var admitted []time.Duration
		var wait sync.WaitGroup
		for _, left := range []time.Duration{900 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
			wait.Go(func() {
				ok := nil == c.Decide(t.Context(), "w", daisyorder.Order{Priority: 1, StartBy: time.Now().Add(left)}, time.Second)
				assert.Check(t, ok)
				mu.Lock()
				defer mu.Unlock()
				admitted = append(admitted, left)
			})
			synctest.Wait()
		}
		wait.Wait()
		stop()
		assert.DeepEqual(t, admitted, []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond})
	})
}

// Guards against a class that gets no token while a higher one takes all, though each of
// its operations waits for a short time only: it gets one within 2 s.
func TestNoClassIsWithoutTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := grantEvery(50 * time.Millisecond)
		var mu sync.Mutex
		admitted, longest := make([]int, 2), make([]time.Duration, 2)
		last := [2]time.Time{time.Now(), time.Now()}
		var wait sync.WaitGroup
		end := time.Now().Add(10 * time.Second)
		for i := range 16 { // Eight of each class; the high one could use eight times the tokens.
			priority := i % 2
			wait.Go(func() {
				for time.Now().Before(end) {
					ok := nil == c.Decide(t.Context(), "w", daisyorder.Order{Priority: priority}, 200*time.Millisecond)
					mu.Lock()
					if ok {
						admitted[priority]++
						longest[priority], last[priority] = max(longest[priority], time.Since(last[priority])), time.Now()
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wait.Wait()
		stop()
		assert.Assert(t, longest[0] < 2*time.Second && longest[1] < 2*time.Second, "%v %v", admitted, longest)
		assert.Assert(t, admitted[0] > 10*admitted[1], "%v", admitted)
	})
}

// Guards against a client that has left and still takes a token of its workspace.
func TestClientThatLeftTakesNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := grantEvery(100 * time.Millisecond)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, leave)
		began := time.Now()
		ok := nil == c.Decide(ctx, "w", daisyorder.Order{}, time.Second)
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), 30*time.Millisecond)
		assert.Equal(t, c.Refusals(), daisyadmission.Refusals{})
		time.Sleep(80 * time.Millisecond) // The token has come.
		stop()
		ok = nil == c.Decide(t.Context(), "w", daisyorder.Order{Priority: 2}, time.Millisecond)
		assert.Assert(t, ok)
	})
}

// Guards against hosts that request no tokens since operations that arrive behind others
// do not count as demand.
func TestOperationsThatWaitCountAsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := daisyadmission.New(func() {})
		c.SetHosts(100)
		c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 10}})
		var wait sync.WaitGroup
		for range 200 {
			wait.Go(func() {
				c.Decide(t.Context(), "w", daisyorder.Order{Priority: 1, StartBy: time.Now().Add(time.Second)}, 200*time.Millisecond)
			})
			time.Sleep(10 * time.Millisecond)
		}
		demand := c.State("w").Demand
		assert.Assert(t, demand > 70, "%v operations a second counted of 100", demand)
		wait.Wait()
	})
}
