package daisylease

import (
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
)

const (
	// contactTimeout is the time without a message of any control host after which a
	// host has lost control: two heartbeats. In an election the followers answer.
	contactTimeout = 2 * daisycontroller.HeartbeatInterval
	// leaderTimeout is the same for messages of a leader, if there was one: followers may
	// be cut off together with the host. No election takes as long.
	leaderTimeout = 3 * time.Second
)

// contact records when control hosts were last heard from. It is safe for concurrent
// use.
type contact struct {
	mu     sync.Mutex
	any    time.Time // The start of the client before the first message.
	leader time.Time // Zero before the first message of a leader.
}

// begin records that the client started.
func (c *contact) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.any = daisyclock.Now()
}

// heard records a message of a control host. Only a leader grants leases and sends the
// state.
func (c *contact) heard(r daisyheartbeat.Reply) {
	now := daisyclock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.any = now
	if r.Lease > 0 || r.Delta != nil {
		c.leader = now
	}
}

// Disconnected reports whether the host has lost control, and since when: no control
// host has sent it anything for two heartbeats, or no leader for the length of a lease.
// Before Start it reports false.
func (c *Client) Disconnected() (since time.Time, ok bool) {
	now := daisyclock.Now()
	c.mu.Lock()
	progress := c.lastProgress()
	c.mu.Unlock()
	c.contact.mu.Lock()
	defer c.contact.mu.Unlock()
	heard := later(c.contact.any, progress) // A large change of the state arrives for seconds.
	switch {
	case c.contact.any.IsZero():
		return since, false
	case now.Sub(heard) > contactTimeout:
		return heard, true
	case !c.contact.leader.IsZero() && now.Sub(c.contact.leader) > leaderTimeout:
		return c.contact.leader, true
	}
	return since, false
}

// Lost reports whether the host has lost control; see Disconnected.
func (c *Client) Lost() bool {
	_, ok := c.Disconnected()
	return ok
}

// understood returns the demands that the control host at the other end of a link
// understands.
func understood(link Link, demands []daisyheartbeat.Demand) []daisyheartbeat.Demand {
	if l, ok := link.(interface{ Protocol() int }); ok && l.Protocol() < daisylink.ProtocolLoad {
		return daisyheartbeat.WithoutReserves(demands)
	}
	return demands
}
