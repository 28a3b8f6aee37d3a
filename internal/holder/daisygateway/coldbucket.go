package daisygateway

import (
	"math"
	"time"
)

const (
	// firstCapacity and otherCapacity are the capacities of the buckets of the first
	// gateway and of the others. With a host that becomes the first they make 5, the
	// requests that are allowed beyond the rate.
	firstCapacity = 2
	otherCapacity = 1
	// raiseDelay is how long a host that rises among the gateways waits before it uses
	// its greater share. By then the leases of 3 s have ended on which others acted as
	// the gateways before.
	raiseDelay = 4 * time.Second
	// firstRaise is by how much the share of a host that becomes the first gateway grows
	// at once, since the server would get next to nothing meanwhile. The gateways before
	// had the whole rate, so all together stay within 1.5 times the rate.
	firstRaise = 0.5
	// usageWindow is the time constant of the average by which the use of the budget is
	// reported.
	usageWindow = time.Second
)

// budgetShares are the gateways' shares of a cold server's rate, by rank.
var budgetShares = [...]float64{0.7, 0.2, 0.1}

// spreadShare is the share of each gateway of a server whose requests are spread over
// three by workspace.
const spreadShare = 1.0 / 3

// coldBucket is the token bucket of one gateway for a cold server. The zero value is empty
// and has no share. It is not safe for concurrent use.
type coldBucket struct {
	known    bool // set was called.
	rank     int  // -1 if this host is no gateway of the server.
	rate     float64
	share    float64   // From raiseAt on.
	before   float64   // The share until raiseAt.
	raiseAt  time.Time // Zero if share holds already.
	level    float64
	used     float64 // Requests in the last usageWindow, averaged.
	lastSeen time.Time
}

// set sets the rank of this host, the rate of the cold server and whether its requests are
// spread over its gateways. Then no gateway is the first.
func (b *coldBucket) set(now time.Time, rank int, rate float64, spread bool) {
	b.advance(now)
	b.rate = rate
	next := 0.0
	switch {
	case rank < 0 || rank >= len(budgetShares):
	case spread:
		rank, next = 1, spreadShare
	default:
		next = budgetShares[rank]
	}
	if next == b.share && rank == b.rank {
		return
	}
	b.before, b.raiseAt = b.shareAt(now), time.Time{}
	if rank == 0 {
		b.before += firstRaise
	}
	// A host that has just learned of the server rises from no share. It may be one that
	// joined, or all hosts may have started.
	if b.known && next > b.before || rank == 0 {
		b.raiseAt = now.Add(raiseDelay)
	}
	b.before = min(b.before, next)
	b.rank, b.share, b.known = rank, next, true
	b.level = min(b.level, b.capacity(now))
}

func (b *coldBucket) shareAt(now time.Time) float64 {
	if now.Before(b.raiseAt) {
		return b.before
	}
	return b.share
}

func (b *coldBucket) capacity(now time.Time) float64 {
	if b.rank == 0 && !now.Before(b.raiseAt) {
		return firstCapacity
	}
	return otherCapacity
}

// advance adds the tokens for the time since the last call.
func (b *coldBucket) advance(now time.Time) {
	if b.lastSeen.IsZero() || !now.After(b.lastSeen) {
		b.lastSeen = now
		return
	}
	passed := now.Sub(b.lastSeen)
	late := min(passed, max(0, now.Sub(b.raiseAt))) // The part for which share holds.
	tokens := b.rate * (b.share*late.Seconds() + b.before*(passed-late).Seconds())
	b.level = min(b.level+tokens, b.capacity(now))
	b.used *= math.Exp(-passed.Seconds() / usageWindow.Seconds())
	b.lastSeen = now
}

// available reports whether take would succeed.
func (b *coldBucket) available(now time.Time) bool {
	b.advance(now)
	return b.level >= 1
}

// take takes a token for a request.
func (b *coldBucket) take(now time.Time) bool {
	if !b.available(now) {
		return false
	}
	b.level--
	b.used++
	return true
}

// hopeless reports whether this host has no share and waits for none.
func (b *coldBucket) hopeless(now time.Time) bool {
	return b.share <= 0 && b.shareAt(now) <= 0
}

// until returns how long it takes until there is a token, if none is taken meanwhile.
func (b *coldBucket) until(now time.Time) time.Duration {
	rate := b.rate * b.shareAt(now)
	if b.available(now) || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}

// left returns the share of the budget that recent requests have left, from 0 to 1.
func (b *coldBucket) left(now time.Time) float64 {
	b.advance(now)
	rate := b.rate * b.shareAt(now) * usageWindow.Seconds()
	if rate <= 0 {
		return 0
	}
	return max(0, 1-b.used/rate)
}
