// Package daisybucket shares a workspace's rate and burst among the hosts that
// serve it.
//
// One host owns the workspace's token bucket and takes its own tokens from it. Every
// other host has a local bucket, which the owner fills with grants that expire. The
// tokens in the bucket and in all local buckets never exceed the burst, and tokens
// are added no faster than the rate, so in any window the fleet takes at most
// burst + rate × length of the window.
//
// A new owner does not know what its predecessor granted. It starts with an empty
// bucket and reserves the maximum that may be outstanding until that has expired.
package daisybucket

import (
	"math"
	"time"
)

const (
	// GrantLifetime is how long granted tokens are valid, measured by the local bucket
	// from the time it sent its request.
	GrantLifetime = 500 * time.Millisecond
	// driftMargin is added to the lifetime by the owner to allow for clock drift.
	driftMargin = 50 * time.Millisecond
	// minRetryDelay is the minimum time until the next request of a host that was
	// granted nothing.
	minRetryDelay = 10 * time.Millisecond
	// localShare is the share of the burst that all local buckets may hold together.
	localShare = 0.5
)

// Limit is a workspace's rate in tokens per second and its burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// localLimit returns the number of tokens that all local buckets may hold together.
func (l Limit) localLimit() float64 { return math.Max(1, l.Burst*localShare) }

// grant is a number of granted tokens that are not yet taken or returned.
type grant struct {
	tokens  float64
	expires time.Time
}

// Bucket is the owner's token bucket. It is not safe for concurrent use.
type Bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	grants  map[string][]grant // By host, oldest first; "" has the predecessor's.
}

// NewBucket returns the bucket of a new owner.
func NewBucket(l Limit, now time.Time) *Bucket {
	b := &Bucket{limit: l, updated: now, grants: make(map[string][]grant)}
	b.grants[""] = []grant{{tokens: l.localLimit(), expires: now.Add(GrantLifetime + driftMargin)}}
	return b
}

// SetLimit changes the limit as of now.
func (b *Bucket) SetLimit(l Limit, now time.Time) {
	b.refill(now)
	b.limit = l
	b.clamp()
}

// refill adds the tokens accrued since the last refill. Outstanding grants reduce the
// bucket's capacity, so it accrues from one grant's expiry to the next.
func (b *Bucket) refill(now time.Time) {
	for {
		next := b.nextExpiry()
		if next.IsZero() || next.After(now) {
			break
		}
		b.accrue(next)
		b.expire(next)
	}
	b.accrue(now)
}

// accrue adds the tokens accrued until now, at the present capacity.
func (b *Bucket) accrue(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.level += b.limit.Rate * d.Seconds()
		b.updated = now
	}
	b.clamp()
}

// nextExpiry returns when the next grant expires; zero if there is none.
func (b *Bucket) nextExpiry() time.Time {
	var next time.Time
	for _, grants := range b.grants {
		if first := grants[0].expires; next.IsZero() || first.Before(next) {
			next = first
		}
	}
	return next
}

// expire drops the grants that have expired by now.
func (b *Bucket) expire(now time.Time) {
	for host, grants := range b.grants {
		for len(grants) > 0 && !now.Before(grants[0].expires) {
			grants = grants[1:]
		}
		b.grants[host] = grants
		if len(grants) == 0 {
			delete(b.grants, host)
		}
	}
}

// clamp limits the level so that it and the outstanding grants stay within the burst.
func (b *Bucket) clamp() {
	b.level = math.Min(b.level, b.limit.Burst-b.outstanding())
}

// outstanding returns the number of granted tokens that local buckets may still hold.
func (b *Bucket) outstanding() float64 {
	total := 0.0
	for _, grants := range b.grants {
		for _, g := range grants {
			total += g.tokens
		}
	}
	return total
}

// Take takes n tokens for the owner's own requests and returns 0. If there are fewer,
// it takes none and returns the time until there are n.
func (b *Bucket) Take(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.level >= n {
		b.level -= n
		return 0
	}
	return b.delay(n)
}

// Delay returns the minimum time until there are n tokens; 0 if there are now.
func (b *Bucket) Delay(now time.Time, n float64) time.Duration {
	b.refill(now)
	return max(0, b.delay(n))
}

// delay returns the minimum time until there are n tokens. It is negative if there
// are more.
func (b *Bucket) delay(n float64) time.Duration {
	return time.Duration(math.Ceil((n - b.level) / b.limit.Rate * float64(time.Second)))
}

// GrantRequest is a host's report on its local bucket and its request for tokens.
type GrantRequest struct {
	Host     string
	Want     float64 // Tokens requested.
	Used     float64 // Tokens taken since the last request.
	Returned float64 // Tokens returned unused.
}

// Grant accounts for the used and returned tokens of the request and returns the
// number of tokens granted, which may be fewer than requested. If none are granted,
// it returns the time after which to retry.
func (b *Bucket) Grant(now time.Time, r GrantRequest) (tokens float64, retry time.Duration) {
	b.refill(now)
	b.level += b.settle(r.Host, r.Used, r.Returned)
	b.clamp()
	room := b.limit.localLimit() - b.outstanding()
	tokens = math.Floor(math.Min(r.Want, math.Min(b.level, room)))
	if tokens < 1 {
		if r.Want <= 0 {
			return 0, 0
		}
		return 0, max(b.delay(1), minRetryDelay)
	}
	b.level -= tokens
	b.grants[r.Host] = append(b.grants[r.Host], grant{tokens: tokens, expires: now.Add(GrantLifetime + driftMargin)})
	return tokens, 0
}

// settle removes used and returned tokens from the host's grants, oldest first. It
// returns how many of the returned tokens had not expired.
func (b *Bucket) settle(host string, used, returned float64) float64 {
	valid := 0.0
	grants := b.grants[host]
	defer func() {
		for len(grants) > 0 && grants[0].tokens == 0 {
			grants = grants[1:]
		}
		b.grants[host] = grants
		if len(grants) == 0 {
			delete(b.grants, host)
		}
	}()
	for i := range grants {
		n := math.Min(grants[i].tokens, used)
		grants[i].tokens -= n
		used -= n
		n = math.Min(grants[i].tokens, returned)
		grants[i].tokens -= n
		returned -= n
		valid += n
	}
	return valid
}
