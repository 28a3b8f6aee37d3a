package daisypacer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
)

const (
	linkSpeed   = 2e6 // Bits a second.
	messageSize = 910 // With its overhead 1,000 bytes: 4 ms on the link.
	messageTime = 4 * time.Millisecond
	backlog     = 20 * time.Millisecond // The value of maxBacklog.
)

// flow sends messages of a class at a rate and returns the longest wait and the longest
// time without a message.
func flow(p *daisypacer.Pacer, o daisyorder.Order, interval, span time.Duration) (longest, gap time.Duration) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	last := time.Now()
	for range int(span / interval) {
		wait.Go(func() {
			began := time.Now()
			if p.Wait(ctx, messageSize, o) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			longest, gap, last = max(longest, time.Since(began)), max(gap, time.Since(last)), time.Now()
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return longest, gap
}

// Guards against high classes that wait behind others for a full link, and against low
// ones that are never sent.
func TestFullLinkIsOrdered(t *testing.T) {
	high, low := daisyorder.Order{Priority: 0, Class: "high"}, daisyorder.Order{Priority: 2, Class: "low"}
	tests := []struct {
		name            string
		high, low       time.Duration // Intervals between messages.
		wait, gap       time.Duration // The longest wait of the high class and pause of the low one.
		lowWaitsAtLeast time.Duration
	}{
		{"Room", 20 * time.Millisecond, 20 * time.Millisecond, 0, 20 * time.Millisecond, 0},
		{"LowFloods", 20 * time.Millisecond, 3 * time.Millisecond, 2 * messageTime, 20 * time.Millisecond, time.Second},
		{"HighFloods", 3 * time.Millisecond, 20 * time.Millisecond, 5 * time.Second, 2 * time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := daisypacer.New(linkSpeed)
				var wait sync.WaitGroup
				var highWait, lowWait, lowGap time.Duration
				wait.Go(func() { highWait, _ = flow(p, high, test.high, 8*time.Second) })
				wait.Go(func() { lowWait, lowGap = flow(p, low, test.low, 8*time.Second) })
				wait.Wait()
				assert.Assert(t, highWait <= test.wait, "%v", highWait)
				assert.Assert(t, lowGap <= test.gap, "%v", lowGap)
				assert.Assert(t, lowWait >= test.lowWaitsAtLeast, "%v", lowWait)
				assert.NilError(t, p.Close())
			})
		})
	}
}

// Guards against a link that idles though messages wait, and against a Pacer that hands
// over more than the link can send.
func TestLinkIsUsedWhole(t *testing.T) {
	const messages = 500
	synctest.Test(t, func(t *testing.T) {
		p := daisypacer.New(linkSpeed)
		began := time.Now()
		var wait sync.WaitGroup
		for range messages {
			wait.Go(func() { assert.Check(t, p.Wait(t.Context(), messageSize, daisyorder.Order{})) })
		}
		wait.Wait()
		took, full := time.Since(began), messages*messageTime
		assert.Assert(t, took <= full && took >= full-backlog-messageTime, "%v", took)
		p.Charge(25000) // 100 ms of answers to clients.
		began = time.Now()
		assert.NilError(t, p.Wait(t.Context(), messageSize, daisyorder.Order{}))
		assert.Assert(t, time.Since(began) >= 80*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against messages that wait after their deadline or after the host has stopped, and
// against a host without a known speed that waits at all.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := daisypacer.New(linkSpeed)
		p.Charge(1e6) // 4 s.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, p.Wait(ctx, messageSize, daisyorder.Order{}), context.DeadlineExceeded)
		time.AfterFunc(time.Second, func() { _ = p.Close() })
		began := time.Now()
		assert.NilError(t, p.Wait(t.Context(), messageSize, daisyorder.Order{}))
		assert.Equal(t, time.Since(began), time.Second)
		none := daisypacer.New(0)
		none.Charge(1e9)
		assert.NilError(t, none.Wait(t.Context(), messageSize, daisyorder.Order{}))
		assert.NilError(t, none.Close())
	})
}
