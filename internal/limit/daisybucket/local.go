package daisybucket

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 200 * time.Millisecond
	// stockTime is for how long a purse holds tokens ahead of the demand.
	stockTime = 100 * time.Millisecond
	// lowShare is the share of the stock below which a purse asks for more.
	lowShare = 0.5
)

// LocalBucket is the side of a host that does not own the bucket. The zero value is
// empty and usable. It is not safe for concurrent use.
type LocalBucket struct {
	grants  []grant
	used    float64 // Since the last report.
	demand  float64 // Tokens per second, averaged.
	updated time.Time
}

// balance drops expired grants and returns what is left.
func (p *LocalBucket) balance(now time.Time) float64 {
	kept := p.grants[:0]
	total := 0.0
	for _, g := range p.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
			total += g.tokens
		}
	}
	p.grants = kept
	return total
}

// AddDemand notes a demand for n tokens, whether or not they are there.
func (p *LocalBucket) AddDemand(now time.Time, n float64) {
	p.decay(now)
	p.demand += n / demandWindow.Seconds()
}

func (p *LocalBucket) decay(now time.Time) {
	if d := now.Sub(p.updated); d > 0 {
		p.demand *= math.Exp(-d.Seconds() / demandWindow.Seconds())
		p.updated = now
	}
}

// Take takes n tokens if they are there.
func (p *LocalBucket) Take(now time.Time, n float64) bool {
	if p.balance(now) < n {
		return false
	}
	p.used += n
	for i := range p.grants {
		part := math.Min(p.grants[i].tokens, n)
		p.grants[i].tokens -= part
		n -= part
	}
	return true
}

func (p *LocalBucket) stock(now time.Time) float64 {
	p.decay(now)
	return math.Floor(p.demand * stockTime.Seconds())
}

// Low reports whether the purse should ask for more, with the queued demand.
func (p *LocalBucket) Low(now time.Time, queued float64) bool {
	return p.balance(now) < queued+lowShare*p.stock(now)
}

// Surplus reports whether the purse holds more than the demand calls for, so
// that it should give some back before it expires.
func (p *LocalBucket) Surplus(now time.Time, queued float64) bool {
	return p.balance(now) > queued+p.stock(now)
}

// Empty reports whether the purse holds nothing and has nothing to report.
func (p *LocalBucket) Empty(now time.Time) bool { return p.balance(now) == 0 && p.used == 0 }

// Request returns the report and request to send now. What it returns to the owner
// it takes out of the purse.
func (p *LocalBucket) Request(now time.Time, host string, queued float64) GrantRequest {
	balance, target := p.balance(now), queued+p.stock(now)
	a := GrantRequest{Host: host, Used: p.used}
	p.used = 0
	if balance > target {
		a.Returned = p.remove(balance - target)
		return a
	}
	a.Want = math.Ceil(target - balance)
	return a
}

func (p *LocalBucket) remove(n float64) float64 {
	removed := 0.0
	for i := range p.grants {
		part := math.Min(p.grants[i].tokens, n-removed)
		p.grants[i].tokens -= part
		removed += part
	}
	return removed
}

// AddGrant adds tokens that were granted to a request sent at the time.
func (p *LocalBucket) AddGrant(sent time.Time, tokens float64) {
	if tokens > 0 {
		p.grants = append(p.grants, grant{tokens: tokens, expires: sent.Add(GrantLifetime)})
	}
}
