package daisyquota

import (
	"math"
	"time"
)

const (
	// reserveAllowance is how many tokens the pool and all reserves together may hold
	// beyond the burst. The platform tolerates 20 operations beyond 1.1 times rate and
	// burst; tokens on demand use up the tenth of the rate.
	reserveAllowance = 15
	// reserveBurstShare is the part of the burst that may be held in reserves. The rest
	// is for operations on hosts without one.
	reserveBurstShare = 0.5
	// reserveFloorShare is the part of the burst that reserves leave in the pool, so that
	// they take no tokens from operations that wait.
	reserveFloorShare = 0.25
	// firstTokensShare is the part of the reserves that is kept for the first tokens of
	// hosts.
	firstTokensShare = 0.5
	// scarcityMemory is how long hosts are limited to one token after a host without any
	// got none.
	scarcityMemory = 2 * time.Second
	// reserveMargin is added to the lifetime of a reserve for drifting clocks.
	reserveMargin = 100 * time.Millisecond
	// recoveryTime is how long after its start a new leader denies no tokens of limits
	// that it holds.
	// Operations have waited for it and its pool is empty; a denial would refuse them
	// though their workspace is within its rate.
	recoveryTime = 1600 * time.Millisecond
)

// reserveCapacity returns the most tokens in all reserves together.
func (l WorkspaceLimit) reserveCapacity() int {
	if l.Rate <= 0 {
		return 0
	}
	return reserveAllowance + int(l.Burst*reserveBurstShare)
}

// ReserveHolder identifies a host's process, which loses its reserve when it ends.
type ReserveHolder struct {
	Host        string
	Incarnation uint64
}

// heldReserve is the most tokens that a host may hold.
type heldReserve struct {
	sequence uint64 // Of the last demand.
	tokens   int
	expires  time.Time
}

// poolReserves accounts for the reserves of all hosts. The zero value has none.
type poolReserves struct {
	held             map[ReserveHolder]*heldReserve
	total            int       // Of held.
	predecessor      int       // Tokens that earlier leaders may have granted, without those in held.
	predecessorUntil time.Time // When predecessor has expired.
	nextExpiry       time.Time // No reserve expires earlier.
	scarceUntil      time.Time
	recoveredAt      time.Time // Until when a new leader denies nothing.
}

// outstanding returns the most tokens that hosts may hold.
func (r *poolReserves) outstanding() int { return r.total + r.predecessor }

// expire removes reserves that have expired. Whether their tokens were used is not known,
// so that they do not return to the pool.
func (r *poolReserves) expire(now time.Time) {
	if !now.Before(r.predecessorUntil) {
		r.predecessor = 0
	}
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(ReserveLifetime + reserveMargin)
	for holder, h := range r.held {
		switch {
		case !now.Before(h.expires):
			r.total -= h.tokens
			delete(r.held, holder)
		case h.expires.Before(r.nextExpiry):
			r.nextExpiry = h.expires
		}
	}
}

// NewSuccessorPool returns the pool of a leader that does not know what earlier leaders
// granted. The largest reserves count as outstanding until they have expired or hosts
// report them, and what an earlier leader may have granted in advance is spent.
func NewSuccessorPool(now time.Time, l WorkspaceLimit, hosts int) *Pool {
	p := NewPool(now, l, hosts)
	if l.leaderHolds(hosts) {
		p.reserves.recoveredAt = now.Add(recoveryTime)
	}
	if l.onDemand(hosts) {
		p.level = -l.Rate * maxReservation.Seconds()
		p.reserves.predecessor = l.reserveCapacity()
		p.reserves.predecessorUntil = now.Add(ReserveLifetime + reserveMargin)
	}
	return p
}

// Reserved returns the most tokens that hosts may hold in reserve.
func (p *Pool) Reserved(now time.Time) int {
	p.refill(now)
	return p.reserves.outstanding()
}

// chargeReserves takes all reserves from the pool as spent, since the limit is now shared
// in another way.
func (p *Pool) chargeReserves() {
	p.level = math.Min(p.level, 0) - float64(p.reserves.outstanding())
	p.reserves = poolReserves{recoveredAt: p.reserves.recoveredAt}
}

// RenewReserve records what a host holds in reserve, and returns what it may hold from
// now on. It returns false if the demand is outdated or the limit is divided.
func (p *Pool) RenewReserve(now time.Time, holder ReserveHolder, d ReserveDemand) (g ReserveGrant, ok bool) {
	p.refill(now)
	if !p.limit.onDemand(p.hosts) {
		return g, false
	}
	h := p.reserves.held[holder]
	if h == nil {
		h = &heldReserve{}
		if p.reserves.held == nil {
			p.reserves.held = make(map[ReserveHolder]*heldReserve)
		}
		p.reserves.held[holder] = h
	}
	if d.Sequence <= h.sequence {
		return g, false
	}
	h.sequence = d.Sequence
	p.settle(h, d)
	tokens := p.allowed(now, h, d)
	if grown := tokens - h.tokens; grown > 0 {
		p.level -= float64(grown)
		p.setTokens(h, tokens)
	}
	h.expires = now.Add(ReserveLifetime + reserveMargin)
	p.reserves.nextExpiry = earlier(p.reserves.nextExpiry, h.expires)
	p.level = math.Min(p.level, p.capacity())
	return ReserveGrant{Sequence: d.Sequence, Tokens: tokens, Lifetime: ReserveLifetime}, true
}

// settle makes the account of a host agree with its report. Tokens that it no longer
// holds and did not return count as used. Tokens that it holds without an account are
// from an earlier leader, or are taken from the pool.
func (p *Pool) settle(h *heldReserve, d ReserveDemand) {
	if unaccounted := d.Held - h.tokens; unaccounted > 0 {
		known := min(unaccounted, p.reserves.predecessor)
		p.reserves.predecessor -= known
		p.level -= float64(unaccounted - known)
	} else {
		p.level += float64(min(d.Returned, -unaccounted))
	}
	p.setTokens(h, d.Held)
}

func (p *Pool) setTokens(h *heldReserve, tokens int) {
	p.reserves.total += tokens - h.tokens
	h.tokens = tokens
}

// allowed returns how many tokens a host may hold that reported d.Held.
func (p *Pool) allowed(now time.Time, h *heldReserve, d ReserveDemand) int {
	capacity := p.limit.reserveCapacity()
	wanted := d.Wanted
	if now.Before(p.reserves.scarceUntil) {
		wanted = min(wanted, 1)
	}
	// A lowered limit lowers what all hosts hold, also what they ask to keep.
	if excess := p.reserves.outstanding() - p.reserves.predecessor - capacity; excess > 0 {
		wanted = min(wanted, h.tokens-min(excess, h.tokens))
	}
	if wanted <= h.tokens {
		return max(0, wanted)
	}
	free := capacity - p.reserves.outstanding()
	if h.tokens == 0 && free <= 0 {
		p.reserves.scarceUntil = now.Add(scarcityMemory)
		return 0
	}
	spare := max(0, int(p.level-p.limit.Burst*reserveFloorShare))
	allowed := h.tokens
	if allowed == 0 && spare > 0 {
		allowed++
	}
	further := min(wanted-allowed, spare-allowed+h.tokens, free-int(float64(capacity)*firstTokensShare)-allowed+h.tokens)
	return allowed + max(0, further)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
