package daisyquota

import (
	"math"
	"time"
)

const (
	// ReserveLifetime is how long a host may use tokens in reserve, from the sending of
	// the demand that they answer: a lease, 3 s, and the largest maximum age of reads
	// that a host may serve after its lease, 2.5 s.
	ReserveLifetime = 5500 * time.Millisecond
	// reserveSpan is the time whose demand a reserve covers: a lease.
	reserveSpan = 3 * time.Second
	// reserveDemandWindow is the time constant of the demand that a reserve covers.
	// With a shorter one the tokens of hosts with few operations would come and go.
	reserveDemandWindow = 10 * time.Second
	// reserveRetention is how long after an operation a host keeps a token for the next
	// one. A workspace with 10 operations a second and sessions on 30 hosts has one in 3 s
	// on each, one with a tenth of that on a host is kept at 95% of the time.
	reserveRetention = 30 * time.Second
	// renewInterval is how often a host renews a reserve that has not changed: half a
	// lease, so that a host that is cut off holds it until its lease ends.
	renewInterval = 1500 * time.Millisecond
)

// ReserveDemand is a host's report on the tokens that it holds in reserve, and its
// request for others.
type ReserveDemand struct {
	Sequence uint64 // Increases with each demand of a process.
	Wanted   int    // Tokens to hold.
	Held     int    // Unused tokens that the host holds.
	Returned int    // Tokens given up unused since the last demand.
}

// ReserveGrant answers a ReserveDemand.
type ReserveGrant struct {
	Sequence uint64 // Of the demand.
	Tokens   int    // How many tokens the host may hold, with those that it held.
	Lifetime time.Duration
}

// hostReserve is the reserve of one host: whole tokens that operations use at once.
type hostReserve struct {
	held     int
	expires  time.Time
	used     uint64 // Tokens that operations took.
	returned int    // Tokens given up since the last demand.

	rate    float64 // Operations per second, averaged over reserveDemandWindow.
	counted time.Time

	last     ReserveDemand // The latest demand.
	sentAt   time.Time     // When the latest demand was sent.
	answered bool          // The latest demand was answered.
}

// count counts an operation as demand.
func (r *hostReserve) count(now time.Time) {
	r.rate = r.rateAt(now) + 1/reserveDemandWindow.Seconds()
	r.counted = now
}

func (r *hostReserve) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.counted).Seconds()/reserveDemandWindow.Seconds())
}

// wanted returns the number of tokens to hold.
func (r *hostReserve) wanted(now time.Time) int {
	if r.rate <= 0 || now.Sub(r.counted) >= reserveRetention {
		return 0
	}
	return max(1, int(r.rateAt(now)*reserveSpan.Seconds()))
}

// expire drops tokens whose lifetime has ended.
func (r *hostReserve) expire(now time.Time) {
	if !now.Before(r.expires) {
		r.held = 0
	}
}

func (r *hostReserve) take() bool {
	if r.held == 0 {
		return false
	}
	r.held--
	r.used++
	return true
}

// reduce gives up the tokens beyond the given number.
func (r *hostReserve) reduce(most int) {
	if r.held > most {
		r.returned += r.held - most
		r.held = most
	}
}

// ReserveUsed returns how many tokens in reserve operations have used.
func (b *HostBucket) ReserveUsed() uint64 { return b.reserve.used }

// Reserve returns the number of tokens in reserve.
func (b *HostBucket) Reserve(now time.Time) int {
	b.refill(now)
	return b.reserve.held
}

// RequestReserve returns the demand to send with the next heartbeat, if one is due. A
// demand is due when the reserve differs from the last answer and at renewInterval.
// While a grant may still arrive, none is, so that the tokens held are known exactly.
func (b *HostBucket) RequestReserve(now time.Time) (d ReserveDemand, due bool) {
	b.refill(now)
	r := &b.reserve
	if !b.onDemand() || !r.answered && !r.sentAt.IsZero() && now.Sub(r.sentAt) <= MaxGrantAge {
		return d, false
	}
	d = ReserveDemand{Sequence: r.last.Sequence + 1, Wanted: min(r.wanted(now), b.limit.reserveCapacity()), Held: r.held, Returned: r.returned}
	idle := d.Wanted == 0 && d.Held == 0 && d.Returned == 0
	unchanged := r.answered && d.Wanted == r.last.Wanted && d.Held == r.last.Held && d.Returned == 0
	if idle || unchanged && now.Sub(r.sentAt) < renewInterval {
		return ReserveDemand{}, false
	}
	r.last, r.sentAt, r.answered, r.returned = d, now, false, 0
	return d, true
}

// AddReserve changes the reserve as the answer to the latest demand says. It ignores
// other answers and those that arrive later than MaxGrantAge.
func (b *HostBucket) AddReserve(now time.Time, g ReserveGrant) {
	b.refill(now)
	r := &b.reserve
	if !b.onDemand() || r.answered || g.Sequence != r.last.Sequence || now.Sub(r.sentAt) > MaxGrantAge {
		return
	}
	r.answered = true
	r.held += max(0, g.Tokens-r.last.Held)
	r.reduce(max(0, g.Tokens))
	r.expires = r.sentAt.Add(min(g.Lifetime, ReserveLifetime))
	r.last.Held = r.held
	b.refill(now)
}
