// Package daisybucket decides how a workspace's rate and burst are shared by
// the hosts that serve it.
//
// One host owns the workspace's token bucket and serves itself from it. Other
// hosts hold purses that the owner fills with grants that expire. The tokens in
// the bucket and in all purses never exceed the burst, and none come into being
// faster than the rate, so in every window of any length the fleet takes at
// most burst + rate × length.
//
// An owner that begins anew cannot know what its predecessor granted. It starts
// with an empty bucket and leaves room for the most that may be outstanding
// until that has expired.
package daisybucket

import (
	"math"
	"time"
)

const (
	// GrantLifetime is how long granted tokens last, counted by the purse from the
	// sending of its request.
	GrantLifetime = 500 * time.Millisecond
	// driftMargin is what the owner adds to the lifetime for clocks that drift.
	driftMargin = 50 * time.Millisecond
	// minRetry is the least time until a purse asks again.
	minRetry = 10 * time.Millisecond
	// purseShare is the share of the burst that purses may hold together.
	purseShare = 0.5
)

// Limit is a workspace's rate in tokens per second and its burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// purseLimit returns how many tokens purses may hold together.
func (l Limit) purseLimit() float64 { return math.Max(1, l.Burst*purseShare) }

// grant is what a purse may still hold.
type grant struct {
	tokens  float64
	expires time.Time
}

// Bucket is the owner's side. It is not safe for concurrent use.
type Bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	grants  map[string][]grant // By host; the predecessor's under "".
}

// NewBucket returns the bucket of a new owner.
func NewBucket(l Limit, now time.Time) *Bucket {
	b := &Bucket{limit: l, updated: now, grants: make(map[string][]grant)}
	b.grants[""] = []grant{{tokens: l.purseLimit(), expires: now.Add(GrantLifetime + driftMargin)}}
	return b
}

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(l Limit, now time.Time) {
	b.refill(now)
	b.limit = l
	b.clamp()
}

// refill adds what has come in since the last time. While grants were
// outstanding, less room was left for it, so it goes from expiry to expiry.
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

func (b *Bucket) accrue(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.level += b.limit.Rate * d.Seconds()
		b.updated = now
	}
	b.clamp()
}

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

func (b *Bucket) clamp() {
	b.level = math.Min(b.level, b.limit.Burst-b.outstanding())
}

// outstanding returns how many tokens purses may hold.
func (b *Bucket) outstanding() float64 {
	total := 0.0
	for _, grants := range b.grants {
		for _, g := range grants {
			total += g.tokens
		}
	}
	return total
}

// Take takes n tokens for the owner itself. It returns 0 if it did, and
// otherwise how long it takes until they are there.
func (b *Bucket) Take(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.level >= n {
		b.level -= n
		return 0
	}
	return b.delay(n)
}

// Delay returns how long it takes until n tokens are there, at the soonest; 0
// if they are there now.
func (b *Bucket) Delay(now time.Time, n float64) time.Duration {
	b.refill(now)
	return max(0, b.delay(n))
}

// delay returns how long it takes delay n tokens are there, at the soonest.
func (b *Bucket) delay(n float64) time.Duration {
	return time.Duration(math.Ceil((n - b.level) / b.limit.Rate * float64(time.Second)))
}

// GrantRequest is a purse's report and request.
type GrantRequest struct {
	Host     string
	Want     float64
	Used     float64 // Tokens taken since the last report.
	Returned float64 // Tokens given back unused.
}

// Grant settles what the purse reports and returns the tokens granted, which
// may be fewer than wanted, and if none were, how long to wait.
func (b *Bucket) Grant(now time.Time, a GrantRequest) (tokens float64, retry time.Duration) {
	b.refill(now)
	b.level += b.settle(a.Host, a.Used, a.Returned)
	b.clamp()
	room := b.limit.purseLimit() - b.outstanding()
	tokens = math.Floor(math.Min(a.Want, math.Min(b.level, room)))
	if tokens < 1 {
		if a.Want <= 0 {
			return 0, 0
		}
		return 0, max(b.delay(1), minRetry)
	}
	b.level -= tokens
	b.grants[a.Host] = append(b.grants[a.Host], grant{tokens: tokens, expires: now.Add(GrantLifetime + driftMargin)})
	return tokens, 0
}

// settle removes used and returned tokens from the host's grants, the oldest
// first, and returns how many of the returned ones had not expired.
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
