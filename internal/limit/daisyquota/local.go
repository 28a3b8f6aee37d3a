package daisyquota

import (
	"math"
	"time"
)

const (
	// horizon is how far ahead a host draws tokens for its demand; heartbeats
	// come every 0.5 s, and one may be lost.
	horizon = 1200 * time.Millisecond
	// memory is the time over which demand is averaged.
	memory = time.Second
)

// LocalBucket holds a workspace's tokens on one host. It is not safe for concurrent
// use.
type LocalBucket struct {
	limit   Limit
	hosts   int // How many share the limit.
	level   float64
	updated time.Time
	demand  float64 // Requests per second, averaged over memory.
}

// NewLocalBucket returns an empty purse of one among so many hosts.
func NewLocalBucket(now time.Time, l Limit, hosts int) *LocalBucket {
	return &LocalBucket{limit: l, hosts: max(1, hosts), updated: now}
}

// SetLimit changes the limit and the number of hosts from now on.
func (p *LocalBucket) SetLimit(now time.Time, l Limit, hosts int) {
	p.refill(now)
	p.limit, p.hosts = l, max(1, hosts)
	p.refill(now)
}

// stock is the most that the purse keeps; one request at least, or a workspace
// with a small burst would get none through.
func (p *LocalBucket) stock() float64 { return math.Max(1, p.limit.Burst*hostStock/float64(p.hosts)) }

// own is the host's own part of the rate.
func (p *LocalBucket) own() float64 { return p.limit.Rate * ownShare(p.hosts) / float64(p.hosts) }

func (p *LocalBucket) refill(now time.Time) {
	elapsed := now.Sub(p.updated)
	p.updated = now
	p.demand *= math.Exp(-elapsed.Seconds() / memory.Seconds())
	level := p.level + elapsed.Seconds()*p.own()
	p.level = math.Min(level, p.stock())
}

// Take takes a token for one request. If there is none it returns how long the
// host's own part takes to bring one.
func (p *LocalBucket) Take(now time.Time) (ok bool, wait time.Duration) {
	p.refill(now)
	p.demand += 1 / memory.Seconds()
	return p.takeToken()
}

// RetryTake is Take for a request that was counted as demand before.
func (p *LocalBucket) RetryTake(now time.Time) (ok bool, wait time.Duration) {
	p.refill(now)
	return p.takeToken()
}

func (p *LocalBucket) takeToken() (ok bool, wait time.Duration) {
	if p.level >= 1 {
		p.level--
		return true, 0
	}
	rate := p.own()
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - p.level) / rate * float64(time.Second))
}

// State is what a purse decides by.
type State struct {
	Rate   float64 // Of the workspace, in requests per second.
	Tokens float64
	Demand float64 // Of this host, in requests per second.
	Hosts  int
}

// State returns what the purse decides by.
func (p *LocalBucket) State() State {
	return State{Rate: p.limit.Rate, Tokens: p.level, Demand: p.demand, Hosts: p.hosts}
}

// Add adds granted tokens.
func (p *LocalBucket) Add(now time.Time, tokens float64) {
	p.refill(now)
	p.level = math.Min(p.level+tokens, p.stock())
}

// Wanted returns how many tokens the demand lacks for the time ahead.
func (p *LocalBucket) Wanted(now time.Time) float64 {
	p.refill(now)
	own := p.own()
	ahead := (p.demand - own) * horizon.Seconds()
	if p.demand <= own && p.level >= 1 {
		return 0
	}
	return math.Max(0, math.Min(math.Max(ahead, 1), p.stock())-p.level)
}
