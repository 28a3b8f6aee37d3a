package daisyquota

import (
	"math"
	"time"
)

const (
	// lookahead is the time for which a host requests tokens in advance. Heartbeats
	// are sent every 0.5 s, and one may be lost.
	lookahead = 1200 * time.Millisecond
	// demandWindow is the time constant of the demand's moving average.
	demandWindow = time.Second
)

// HostBucket is a host's token bucket of a workspace. It refills at the host's own
// part of the rate, and tokens granted from the Pool are added to it. It is not safe
// for concurrent use.
type HostBucket struct {
	limit   WorkspaceLimit
	hosts   int // Number of hosts that share the limit.
	level   float64
	updated time.Time
	demand  float64 // Requests per second, averaged over demandWindow.
}

// NewHostBucket returns the empty bucket of one of the hosts that share the limit.
func NewHostBucket(now time.Time, l WorkspaceLimit, hosts int) *HostBucket {
	return &HostBucket{limit: l, hosts: max(1, hosts), updated: now}
}

// SetLimit changes the limit and the number of hosts as of now.
func (b *HostBucket) SetLimit(now time.Time, l WorkspaceLimit, hosts int) {
	b.refill(now)
	b.limit, b.hosts = l, max(1, hosts)
	b.refill(now)
}

// capacity returns the maximum number of tokens in the bucket. It is at least 1, or a
// workspace with a small burst would get no request through.
func (b *HostBucket) capacity() float64 {
	return math.Max(1, b.limit.Burst*hostBurstRatio/float64(b.hosts))
}

// ownRate returns the host's own part of the rate.
func (b *HostBucket) ownRate() float64 { return b.limit.Rate * ownShare(b.hosts) / float64(b.hosts) }

func (b *HostBucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	b.updated = now
	b.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	level := b.level + elapsed.Seconds()*b.ownRate()
	b.level = math.Min(level, b.capacity())
}

// Take counts a request as demand and takes a token for it. If there is none, it
// returns the time to retry: until the host's own part of the rate yields one, but
// no longer than lookahead, since the tokens that it lacks are requested with each
// heartbeat.
func (b *HostBucket) Take(now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	b.demand += 1 / demandWindow.Seconds()
	return b.takeToken()
}

// RetryTake is like Take for a request that Take has already counted as demand.
func (b *HostBucket) RetryTake(now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	return b.takeToken()
}

func (b *HostBucket) takeToken() (ok bool, wait time.Duration) {
	if b.level >= 1 {
		b.level--
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
	return State{Rate: b.limit.Rate, Tokens: b.level, Demand: b.demand, Hosts: b.hosts}
}

// Add adds granted tokens.
func (b *HostBucket) Add(now time.Time, tokens float64) {
	b.refill(now)
	b.level = math.Min(b.level+tokens, b.capacity())
}

// Wanted returns the number of tokens to request, so that the bucket covers the
// demand beyond the host's own part for lookahead.
func (b *HostBucket) Wanted(now time.Time) float64 {
	b.refill(now)
	own := b.ownRate()
	needed := (b.demand - own) * lookahead.Seconds()
	if b.demand <= own && b.level >= 1 {
		return 0
	}
	return math.Max(0, math.Min(math.Max(needed, 1), b.capacity())-b.level)
}
