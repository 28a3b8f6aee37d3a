package daisyquota

import (
	"math"
	"time"
)

const (
	// smallFleetShare is the part of the rate that the hosts of a small fleet spend
	// without requesting tokens from the pool.
	smallFleetShare = 0.55
	// smallFleetHosts is the largest number of hosts of a small fleet, in which the
	// clients of one workspace reach all hosts. In a larger fleet most hosts do not
	// use their own part, so the part is smaller.
	smallFleetHosts = 8
	// hostBurstRatio is the capacity of all host buckets together, relative to the
	// burst, of a divided limit.
	hostBurstRatio = 1.2
	// poolBurstRatio is the capacity of the pool of a divided limit, relative to the
	// burst.
	poolBurstRatio = 0.2
	// toleratedWindow, toleratedShare and toleratedOperations are the users' tolerance: in
	// a window this long a workspace may get this share more than its rate and burst, and
	// this many operations more.
	toleratedWindow     = 5 * time.Second
	toleratedShare      = 0.1
	toleratedOperations = 20
	// maxReservation is how far in advance of the rate tokens are granted on demand:
	// less than an operation waits for one, 0.2 s, by two round trips between regions.
	maxReservation = 150 * time.Millisecond
	// maxRetryAfter bounds the time after which a denied operation is to return.
	maxRetryAfter = 3 * time.Second
)

// WorkspaceLimit is the rate limit of a workspace.
type WorkspaceLimit struct {
	Workspace string
	Rate      float64 // Requests per second.
	Burst     float64 // Requests that may arrive at once.
}

// hostBurst returns a host's part of the burst. Where the burst is many times the rate, all
// parts and the pool together leave out what would exceed the users' tolerance.
func (l WorkspaceLimit) hostBurst(hosts int) float64 {
	tolerated := toleratedShare*l.Rate*toleratedWindow.Seconds() + toleratedOperations
	all := math.Min(hostBurstRatio*l.Burst, (1+toleratedShare-poolBurstRatio)*l.Burst+tolerated)
	return all / math.Max(1, float64(hosts))
}

// onDemand reports whether the limit is granted on demand among the given number of
// hosts. Otherwise it is divided.
func (l WorkspaceLimit) onDemand(hosts int) bool { return l.hostBurst(hosts) < 1 }

// leaderHolds reports whether nearly the whole limit is in the pool.
func (l WorkspaceLimit) leaderHolds(hosts int) bool {
	return l.onDemand(hosts) || hosts > smallFleetHosts
}

// ownShare returns the part of the rate that the given number of hosts spend without
// requesting tokens from the pool.
func (l WorkspaceLimit) ownShare(hosts int) float64 {
	if l.onDemand(hosts) {
		return 0
	}
	return smallFleetShare * math.Min(1, smallFleetHosts/math.Max(1, float64(hosts)))
}

// Pool is the part of a workspace's limit that the control leader grants to hosts.
// It is not safe for concurrent use.
type Pool struct {
	limit     WorkspaceLimit
	hosts     int
	level     float64 // Negative if tokens have been granted in advance.
	returning float64 // Operations that were denied a token and have not returned.
	updated   time.Time
	reserves  poolReserves
}

// Grant is a number of tokens granted together.
type Grant struct {
	Tokens float64
	After  time.Duration // When they may be used.
}

// NewPool returns an empty pool, so that a new leader adds nothing to what the
// previous one granted.
func NewPool(now time.Time, l WorkspaceLimit, hosts int) *Pool {
	return &Pool{limit: l, hosts: hosts, updated: now}
}

// SetLimit changes the limit and the number of hosts as of now.
func (p *Pool) SetLimit(now time.Time, l WorkspaceLimit, hosts int) {
	p.refill(now)
	wasOnDemand := p.limit.onDemand(p.hosts)
	p.limit, p.hosts = l, hosts
	if l.onDemand(hosts) != wasOnDemand {
		p.chargeReserves()
	}
	p.refill(now)
}

// capacity returns the maximum number of tokens in the pool. On demand it is at least
// 1, or a workspace with a smaller burst would get no request through, unless tokens
// in reserve leave less. After a limit was lowered, it may be negative.
func (p *Pool) capacity() float64 {
	if p.limit.onDemand(p.hosts) {
		return math.Min(math.Max(1, p.limit.Burst), p.limit.Burst+reserveAllowance-float64(p.reserves.outstanding()))
	}
	return p.limit.Burst * poolBurstRatio
}

func (p *Pool) refill(now time.Time) {
	elapsed := now.Sub(p.updated).Seconds()
	p.updated = now
	p.reserves.expire(now)
	level := p.level + elapsed*p.limit.Rate*(1-p.limit.ownShare(p.hosts))
	p.level = math.Min(level, p.capacity())
	p.returning = math.Max(0, p.returning-elapsed*p.limit.Rate)
}

// Draw takes up to the wanted number of tokens from the pool and returns how many
// it took. On demand it takes whole tokens, one for a part of a token, which hosts of
// earlier versions want.
func (p *Pool) Draw(now time.Time, wanted float64) float64 {
	p.refill(now)
	if p.limit.onDemand(p.hosts) {
		wanted = math.Ceil(wanted)
	}
	taken := math.Max(0, math.Min(wanted, p.level))
	if p.limit.onDemand(p.hosts) {
		taken = math.Floor(taken)
	}
	p.level -= taken
	return taken
}

// Reserve is like Draw, but on demand it also grants tokens in advance, up to the rate
// during maxReservation, so that operations get tokens in the order in which they were
// requested. It returns the grants, the number of tokens denied and, on demand, when
// to request these again: once those that were granted in advance, and those that
// others were denied before, have become due. Hosts of a divided limit do not need to
// know, since their own parts of the rate yield tokens.
func (p *Pool) Reserve(now time.Time, wanted float64) (grants []Grant, denied float64, retryAfter time.Duration) {
	if tokens := p.Draw(now, wanted); tokens > 0 {
		grants = append(grants, Grant{Tokens: tokens})
		wanted -= tokens
	}
	recovering := now.Before(p.reserves.recoveredAt)
	if !p.limit.onDemand(p.hosts) {
		if recovering {
			wanted = 0
		}
		return grants, math.Max(0, wanted), 0
	}
	for ; wanted >= 1; wanted-- {
		due := p.due(p.level - 1)
		if due > maxReservation {
			break
		}
		p.level--
		grants = append(grants, Grant{Tokens: 1, After: due})
	}
	if recovering {
		return grants, 0, 0
	}
	if wanted >= 1 {
		retryAfter = min(p.due(p.level-p.returning-1), maxRetryAfter)
		p.returning = math.Min(p.returning+wanted, p.limit.Rate*maxRetryAfter.Seconds())
	}
	return grants, wanted, retryAfter
}

// due returns when a level becomes 0 at the rate: maxRetryAfter if that is never.
func (p *Pool) due(level float64) time.Duration {
	if p.limit.Rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(math.Min(-level/p.limit.Rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
