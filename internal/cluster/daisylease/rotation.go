package daisylease

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

// run connects to one control host after the other, to the leader if it is known.
func (c *Client) run() {
	next := 0
	for c.ctx.Err() == nil {
		addr := c.takeLeaderHint()
		hinted := addr.IsValid()
		if !hinted {
			hosts := c.hosts()
			addr = hosts[next%len(hosts)]
			next++
			if c.avoided(addr) { // Often the leader that the client has just left.
				addr = hosts[next%len(hosts)]
				next++
			}
		}
		err := c.runLink(addr)
		if errors.Is(err, errSilent) || errors.Is(err, errDial) {
			c.avoid(addr)
		}
		if err != nil {
			c.options.Log.WithError(err).WithField("control", addr).Info("keeper: left the control host; trying another")
		}
		if !hinted && c.redirected(addr) {
			continue // Only the first redirect is followed without a pause: two hosts may name each other.
		}
		select {
		case <-time.After(c.redialPause()):
		case <-c.ctx.Done():
		}
	}
}

// redialPause returns the pause before the next control host is tried: none if the
// client has just stayed with one that knew no leader.
func (c *Client) redialPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stayed {
		c.stayed = false
		return 0
	}
	if c.served {
		c.failures = 0
	}
	pause := min(minRedialPause<<min(c.failures, maxDoublings), maxRedialPause)
	c.failures++
	return jitter(pause)
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// avoid records that the control host did not answer.
func (c *Client) avoid(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent, c.silentUntil = addr, daisyclock.Now().Add(silenceMemory)
}

// avoided reports whether the control host did not answer a short time ago.
func (c *Client) avoided(addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return addr == c.silent && daisyclock.Now().Before(c.silentUntil)
}

// takeLeaderHint returns the leader's address as named by the last control host,
// and clears it.
func (c *Client) takeLeaderHint() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.leaderHint
	c.leaderHint = netip.AddrPort{}
	return addr
}

// redirected reports whether the control host just left named another one as the
// leader.
func (c *Client) redirected(left netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderHint.IsValid() && c.leaderHint != left
}

// hosts returns the control hosts learned from replies, followed by the configured
// ones, so that the client finds the fleet even if all hosts of one of the two
// lists were replaced.
func (c *Client) hosts() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := slices.Clone(c.learnedHosts)
	for _, h := range c.options.Hosts {
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// SetHosts replaces the configured control hosts.
func (c *Client) SetHosts(hosts []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Hosts = hosts
}
