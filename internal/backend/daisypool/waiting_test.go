package daisypool_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

// Guards against a waiter that opens a connection which is not counted, since the idle ones
// turned out to be closed and the server had refused one.
func TestOpenedConnectionsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{limit: 2}
		p := newPool(s, 4)
		acquire := func(workspace string) (*daisypool.Conn, error) {
			return p.Acquire(t.Context(), serverName, workspace, daisypool.Use{}, daisyorder.Order{})
		}
		first, err := acquire("w1")
		assert.NilError(t, err)
		second, err := acquire("w1")
		assert.NilError(t, err)
		var wait sync.WaitGroup
		wait.Go(func() {
			c, err := acquire("w1") // Refused by the server, and waits.
			assert.Check(t, err)
			c.Release()
		})
		synctest.Wait()
		refused := s.refused
		s.mu.Lock()
		s.closes = true
		s.mu.Unlock()
		second.Release()
		synctest.Wait()
		s.mu.Lock()
		assert.Check(t, s.refused == refused && s.open == 1, "%d connections refused, %d open", s.refused, s.open)
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		wait.Wait()
		first.Release()
		assert.NilError(t, p.Close())
	})
}
