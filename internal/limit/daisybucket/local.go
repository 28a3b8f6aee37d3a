package daisybucket

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand's moving average.
	demandWindow = 200 * time.Millisecond
	// targetTime is how much future demand a local bucket holds tokens for.
	targetTime = 100 * time.Millisecond
	// lowRatio is the fraction of the target below which a local bucket requests more.
	lowRatio = 0.5
)

// LocalBucket holds granted tokens on a host that does not own the bucket; it does not
// refill by itself. The zero value is empty and usable. It is not safe for concurrent use.
type LocalBucket struct {
	grants  []grant
	used    float64 // Tokens taken since the last request.
	demand  float64 // Tokens per second, averaged.
	updated time.Time
}

// balance drops expired grants and returns the number of tokens left.
func (b *LocalBucket) balance(now time.Time) float64 {
	kept := b.grants[:0]
	total := 0.0
	for _, g := range b.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
			total += g.tokens
		}
	}
	b.grants = kept
	return total
}

// AddDemand counts a demand for n tokens, whether or not it is met.
func (b *LocalBucket) AddDemand(now time.Time, n float64) {
	b.decay(now)
	b.demand += n / demandWindow.Seconds()
}

func (b *LocalBucket) decay(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.demand *= math.Exp(-d.Seconds() / demandWindow.Seconds())
		b.updated = now
	}
}

// Take takes n tokens. If there are fewer, it takes none and returns false.
func (b *LocalBucket) Take(now time.Time, n float64) bool {
	if b.balance(now) < n {
		return false
	}
	b.used += n
	for i := range b.grants {
		part := math.Min(b.grants[i].tokens, n)
		b.grants[i].tokens -= part
		n -= part
	}
	return true
}

// target returns the number of tokens to hold beyond the queued demand.
func (b *LocalBucket) target(now time.Time) float64 {
	b.decay(now)
	return math.Floor(b.demand * targetTime.Seconds())
}

// Low reports whether to request more tokens, given the tokens that queued requests
// need.
func (b *LocalBucket) Low(now time.Time, queued float64) bool {
	return b.balance(now) < queued+lowRatio*b.target(now)
}

// Surplus reports whether the bucket holds more tokens than the demand needs and
// should return some before they expire.
func (b *LocalBucket) Surplus(now time.Time, queued float64) bool {
	return b.balance(now) > queued+b.target(now)
}

// Empty reports whether the bucket has neither tokens nor use to report.
func (b *LocalBucket) Empty(now time.Time) bool { return b.balance(now) == 0 && b.used == 0 }

// Request returns the request to send now. Tokens that it returns to the owner are
// removed from the bucket.
func (b *LocalBucket) Request(now time.Time, host string, queued float64) GrantRequest {
	balance, needed := b.balance(now), queued+b.target(now)
	r := GrantRequest{Host: host, Used: b.used}
	b.used = 0
	if balance > needed {
		r.Returned = b.takeOut(balance - needed)
		return r
	}
	r.Want = math.Ceil(needed - balance)
	return r
}

// takeOut removes up to n tokens and returns how many it removed.
func (b *LocalBucket) takeOut(n float64) float64 {
	removed := 0.0
	for i := range b.grants {
		part := math.Min(b.grants[i].tokens, n-removed)
		b.grants[i].tokens -= part
		removed += part
	}
	return removed
}

// AddGrant adds tokens granted in reply to a request that was sent at the given
// time.
func (b *LocalBucket) AddGrant(sent time.Time, tokens float64) {
	if tokens > 0 {
		b.grants = append(b.grants, grant{tokens: tokens, expires: sent.Add(GrantLifetime)})
	}
}
