package daisyadmission

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// requestReserve adds to a demand what concerns the reserve of the workspace. It returns
// false if nothing is to be reported or requested.
func requestReserve(now time.Time, b *daisyquota.HostBucket, d *daisyheartbeat.Demand) bool {
	r, due := b.RequestReserve(now)
	if due {
		d.Sequence, d.Reserve, d.Held, d.Returned = r.Sequence, r.Wanted, r.Held, r.Returned
	}
	return due
}

func addReserve(now time.Time, b *daisyquota.HostBucket, d daisyheartbeat.Demand) {
	b.AddReserve(now, daisyquota.ReserveGrant{Sequence: d.Sequence, Tokens: d.Reserve, Lifetime: d.Lifetime})
}

// ReserveUsed returns how many tokens in reserve operations have used so far.
func (c *Controller) ReserveUsed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reserveUsed
}

// Reserve returns the number of tokens that the workspace has in reserve on this host.
func (c *Controller) Reserve(workspace string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.buckets[workspace]; b != nil {
		return b.Reserve(daisyclock.Now())
	}
	return 0
}
