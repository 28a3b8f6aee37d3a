package daisyquota

import (
	"math"
	"time"
)

const (
	// hostShare is the part of the rate that the hosts of a small fleet spend
	// without asking.
	hostShare = 0.55
	// smallFleet is up to how many hosts the callers of one workspace reach all;
	// in a larger fleet most hosts have no use for their part.
	smallFleet = 8
	// hostStock is how much of the burst all hosts together may keep.
	hostStock = 1.2
	// poolStock is how much of the burst the pool may keep.
	poolStock = 0.2
)

// Limit is what a workspace may send, in requests.
type Limit struct {
	Workspace string
	Rate      float64 // Requests per second.
	Burst     float64 // Requests at once.
}

// Pool is the part of a workspace's limit that the control leader hands out.
// It is not safe for concurrent use.
type Pool struct {
	limit   Limit
	hosts   int
	level   float64
	updated time.Time
}

// NewPool returns an empty pool, so that a new leader adds nothing to what the
// one before it handed out.
func NewPool(now time.Time, l Limit, hosts int) *Pool {
	return &Pool{limit: l, hosts: hosts, updated: now}
}

// SetLimit changes the limit and the number of hosts from now on.
func (p *Pool) SetLimit(now time.Time, l Limit, hosts int) {
	p.refill(now)
	p.limit, p.hosts = l, hosts
	p.refill(now)
}

// ownShare returns the part of the rate that so many hosts spend without asking.
func ownShare(hosts int) float64 {
	return hostShare * math.Min(1, smallFleet/math.Max(1, float64(hosts)))
}

func (p *Pool) refill(now time.Time) {
	elapsed := now.Sub(p.updated).Seconds()
	p.updated = now
	level := p.level + elapsed*p.limit.Rate*(1-ownShare(p.hosts))
	p.level = math.Min(level, p.limit.Burst*poolStock)
}

// Draw takes up to the wanted tokens and returns how many it took.
func (p *Pool) Draw(now time.Time, wanted float64) float64 {
	p.refill(now)
	taken := math.Max(0, math.Min(wanted, p.level))
	p.level -= taken
	return taken
}
