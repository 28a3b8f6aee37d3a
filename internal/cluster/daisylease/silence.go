package daisylease

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
)

// awaitNext waits until the next heartbeat is due. It returns an error if a reply is
// overdue or ctx ends.
func (c *Client) awaitNext(ctx context.Context) error {
	next := daisyclock.Now().Add(c.interval())
	for {
		left := next.Sub(daisyclock.Now())
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(min(left, max(c.untilOverdue(), time.Millisecond)))
		woken := false
		select {
		case <-timer.C:
		case <-c.wake:
			woken = true
		case <-ctx.Done():
		}
		timer.Stop()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case c.untilOverdue() <= 0:
			return errSilent
		case woken:
			return nil
		}
	}
}

// untilOverdue returns the time until a reply is overdue. It counts from the last reply
// or, for an eager client, from the first heartbeat that is not answered.
func (c *Client) untilOverdue() time.Duration {
	now := daisyclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	progress := c.lastProgress()
	left := replyTimeout - now.Sub(later(c.lastReply, progress))
	if !c.options.Eager || now.Before(c.delayedUntil) {
		return left
	}
	for _, sentAt := range c.sentAt {
		left = min(left, eagerReplyTimeout-now.Sub(later(sentAt, progress)))
	}
	return left
}

// lastProgress returns when bytes last arrived from the control host, if that counts as
// an answer; c.mu is held.
func (c *Client) lastProgress() time.Time {
	link, ok := c.link.(interface{ LastReceived() time.Time })
	if !ok {
		return time.Time{}
	}
	received := link.LastReceived()
	if received.Sub(c.lastReply) > progressTimeout {
		return time.Time{}
	}
	return received
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// interval returns the time until the next heartbeat.
func (c *Client) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Eager && (!c.noLeaderSince.IsZero() || !c.Valid()) {
		interval := c.eagerInterval
		c.eagerInterval = min(2*interval, maxEagerInterval)
		return interval
	}
	return daisycontroller.HeartbeatInterval
}

// Delayed reports whether messages between this host and the control host are held up,
// or were a short time ago.
func (c *Client) Delayed() bool {
	now := daisyclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.delayedUntil) {
		return true
	}
	for _, sentAt := range c.sentAt {
		if now.Sub(sentAt) > maxRoundTrip {
			return true
		}
	}
	return false
}
