package daisyallowance

import (
	"math"
	"time"
)

const (
	// hostShare is the part of the rate that hosts spend without asking.
	hostShare = 0.55
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
	level   float64
	updated time.Time
}

// NewPool returns an empty pool, so that a new leader adds nothing to what the
// one before it handed out.
func NewPool(now time.Time, l Limit) *Pool { return &Pool{limit: l, updated: now} }

// SetLimit changes the limit from now on.
func (p *Pool) SetLimit(now time.Time, l Limit) {
	p.refill(now)
	p.limit = l
	p.refill(now)
}

func (p *Pool) refill(now time.Time) {
	elapsed := now.Sub(p.updated).Seconds()
	p.updated = now
	level := p.level + elapsed*p.limit.Rate*(1-hostShare)
	p.level = math.Min(level, p.limit.Burst*poolStock)
}

// Draw takes up to the wanted tokens and returns how many it took.
func (p *Pool) Draw(now time.Time, wanted float64) float64 {
	p.refill(now)
	taken := math.Max(0, math.Min(wanted, p.level))
	p.level -= taken
	return taken
}
