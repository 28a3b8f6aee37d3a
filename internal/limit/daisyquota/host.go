package daisyquota

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxGrantAge is the maximum time between a host's request for tokens and their
	// arrival. The host must drop tokens that arrive later.
	MaxGrantAge = 300 * time.Millisecond
	// tokenLifetime is how long a host keeps a token that was granted on demand.
	tokenLifetime = 200 * time.Millisecond
	// requestTimeout is the time after which tokens that were requested on demand and
	// not granted are requested again: four round trips between regions.
	requestTimeout = 100 * time.Millisecond
	// lookahead is the time for which a host requests tokens of a divided limit in
	// advance. Heartbeats are sent every 0.5 s, and one may be lost.
	lookahead = 1200 * time.Millisecond
	// onDemandLookahead is the same for tokens on demand, which do not last longer.
	onDemandLookahead = tokenLifetime
	// demandWindow is the time constant of the demand's moving average.
	demandWindow = time.Second
)

// HostBucket is a host's token bucket of a workspace. It refills at the host's own
// part of the rate, and tokens granted from the Pool are added to it. It is not safe
// for concurrent use.
type HostBucket struct {
	limit   WorkspaceLimit
	hosts   int     // Number of hosts that share the limit.
	level   float64 // Tokens of a divided limit.
	updated time.Time
	demand  float64 // Requests per second, averaged over demandWindow.

	grants      []grant   // Unused tokens on demand, in the order in which they may be used.
	requested   float64   // Tokens on demand that were requested and have not arrived.
	requestedAt time.Time // When tokens on demand were last requested.

	reserve hostReserve // Of a limit on demand.
}

// grant is a number of tokens that may be used from one time to another.
type grant struct {
	tokens        float64
	from, expires time.Time
}

// NewHostBucket returns the empty bucket of one of the hosts that share the limit.
func NewHostBucket(now time.Time, l WorkspaceLimit, hosts int) *HostBucket {
	return &HostBucket{limit: l, hosts: max(1, hosts), updated: now}
}

// SetLimit changes the limit and the number of hosts as of now.
func (b *HostBucket) SetLimit(now time.Time, l WorkspaceLimit, hosts int) {
	b.refill(now)
	wasOnDemand := b.onDemand()
	b.limit, b.hosts = l, max(1, hosts)
	if b.onDemand() != wasOnDemand {
		b.level, b.grants, b.requested = 0, nil, 0
		b.reserve.reduce(0)
	}
	b.reserve.reduce(l.reserveCapacity())
	b.refill(now)
}

func (b *HostBucket) onDemand() bool { return b.limit.onDemand(b.hosts) }

// ownRate returns the host's own part of the rate.
func (b *HostBucket) ownRate() float64 {
	return b.limit.Rate * b.limit.ownShare(b.hosts) / float64(b.hosts)
}

func (b *HostBucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	b.updated = now
	b.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	if b.onDemand() {
		for len(b.grants) > 0 && !now.Before(b.grants[0].expires) {
			b.grants = b.grants[1:]
		}
		b.reserve.expire(now)
		return
	}
	level := b.level + elapsed.Seconds()*b.ownRate()
	b.level = math.Min(level, b.limit.hostBurst(b.hosts))
}

// tokens returns the number of tokens in the bucket as of the last refill, with those
// that may be used only later.
func (b *HostBucket) tokens() float64 {
	total := b.level + float64(b.reserve.held)
	for _, g := range b.grants {
		total += g.tokens
	}
	return total
}

// Take counts a request as demand and takes a token for it. If there is none, it
// returns the time to retry: until the host's own part of the rate yields one, but
// no longer than lookahead, since the tokens that it lacks are requested with each
// heartbeat.
func (b *HostBucket) Take(now time.Time) (ok bool, wait time.Duration) {
	b.Count(now)
	return b.takeToken()
}

// Count counts a request as demand that takes its token later.
func (b *HostBucket) Count(now time.Time) {
	b.refill(now)
	b.demand += 1 / demandWindow.Seconds()
	b.reserve.count(now)
}

// RetryTake is like Take for a request that has been counted as demand already.
func (b *HostBucket) RetryTake(now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	return b.takeToken()
}

func (b *HostBucket) takeToken() (ok bool, wait time.Duration) {
	switch {
	case b.level >= 1:
		b.level--
		return true, 0
	case len(b.grants) > 0 && !b.updated.Before(b.grants[0].from):
		if b.grants[0].tokens--; b.grants[0].tokens < 1 {
			b.grants = b.grants[1:]
		}
		return true, 0
	case b.reserve.take():
		return true, 0
	}
	seconds := math.Min(lookahead.Seconds(), (1-b.level)/b.ownRate()) // A rate of 0 yields +Inf.
	return false, time.Duration(seconds * float64(time.Second))
}

// State is the state that a HostBucket decides by, for log lines.
type State struct {
	Rate   float64 // Of the workspace, in requests per second.
	Tokens float64
	Demand float64 // Of this host, in requests per second.
	Hosts  int     // Number of hosts that share the limit.
}

// State returns the state that the bucket decides by.
func (b *HostBucket) State() State {
	return State{Rate: b.limit.Rate, Tokens: b.tokens(), Demand: b.demand, Hosts: b.hosts}
}

// Add adds granted tokens, which may be used after the given time. On demand these are
// whole tokens that were requested at most MaxGrantAge ago.
func (b *HostBucket) Add(now time.Time, tokens float64, after time.Duration) {
	b.refill(now)
	if !b.onDemand() {
		b.level = math.Min(b.level+tokens, b.limit.hostBurst(b.hosts))
		return
	}
	b.requested = math.Max(0, b.requested-tokens)
	if tokens = math.Floor(tokens); tokens > 0 {
		from := now.Add(after)
		g := grant{tokens: tokens, from: from, expires: from.Add(tokenLifetime)}
		at, _ := slices.BinarySearchFunc(b.grants, g, func(a, b grant) int { return a.from.Compare(b.from) })
		b.grants = slices.Insert(b.grants, at, g)
	}
}

// Deny records that requested tokens are not granted.
func (b *HostBucket) Deny(tokens float64) { b.requested = math.Max(0, b.requested-tokens) }

// NextToken returns when the next token may be used that the bucket holds, and whether
// it holds one.
func (b *HostBucket) NextToken() (from time.Time, ok bool) {
	if len(b.grants) == 0 {
		return from, false
	}
	return b.grants[0].from, true
}

// Expected returns how many tokens on demand the bucket holds or still expects.
func (b *HostBucket) Expected() float64 { return b.tokens() + b.requested }

// OnDemand reports whether the bucket holds only tokens that operations waited for.
func (b *HostBucket) OnDemand() bool { return b.onDemand() }

// LeaderHolds reports whether the control leader holds nearly the whole limit, as in
// large fleets, so that the host can admit little without it.
func (b *HostBucket) LeaderHolds() bool { return b.limit.leaderHolds(b.hosts) }

// Wanted returns the number of tokens to request. Those of a divided limit cover the
// demand beyond the host's own part for lookahead. Those on demand are for the
// operations that wait and the demand during onDemandLookahead; tokens that were
// requested less than requestTimeout ago are not requested again.
func (b *HostBucket) Wanted(now time.Time, waiting int) float64 {
	b.refill(now)
	if b.onDemand() {
		if now.Sub(b.requestedAt) >= requestTimeout {
			b.requested = 0
		}
		needed := float64(waiting) + math.Floor(b.demand*onDemandLookahead.Seconds())
		return math.Max(0, needed-b.tokens()-b.requested)
	}
	own := b.ownRate()
	if b.demand <= own && b.level >= 1 {
		return 0
	}
	needed := (b.demand - own) * lookahead.Seconds()
	return math.Max(0, math.Min(math.Max(needed, 1), b.limit.hostBurst(b.hosts))-b.level)
}

// Request returns the number of tokens to request, which the caller does, and records
// them as requested.
func (b *HostBucket) Request(now time.Time, waiting int) float64 {
	wanted := b.Wanted(now, waiting)
	if b.onDemand() && wanted > 0 {
		b.requested += wanted
		b.requestedAt = now
	}
	return wanted
}
