package daisygateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

const (
	// maxRetryAfter bounds the time after which a refused request is told to come again.
	// Later the load is not foreseen.
	maxRetryAfter = 2 * time.Second
	// returningShare is the part of a server's capacity that is counted on for requests
	// that come again; the rest is for new ones.
	returningShare = 0.5
	// retryJitter is the part of a retry time that is random, so that clients that were
	// refused by several gateways of one server do not return together.
	retryJitter = 0.1
)

// retrySchedule spreads the times at which refused requests come again over the time in
// which the server has capacity for them. The zero value is ready to use.
type retrySchedule struct {
	mu   sync.Mutex
	next map[int]time.Time // By priority: when the next refused request may come again.
}

// retryAfter returns when a refused request is to come again: after the expected wait,
// behind the refused requests of its priority and of higher ones, each of which takes
// the interval. The time that the request has waited already is taken off, so that the
// oldest comes first. The random number is in [0, 1).
func (r *retrySchedule) retryAfter(now time.Time, priority int, expectedWait, waited, interval time.Duration, random float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(map[int]time.Time)
	}
	at := now.Add(expectedWait)
	for p, next := range r.next {
		switch {
		case next.Before(now):
			delete(r.next, p)
		case p <= priority && next.After(at):
			at = next
		}
	}
	if at.Sub(now) < maxRetryAfter {
		r.next[priority] = at.Add(interval)
	}
	after := at.Sub(now) - waited
	if after > maxRetryAfter {
		return time.Duration((1 + random) / 2 * float64(maxRetryAfter)) // The schedule is full.
	}
	return time.Duration((1 + retryJitter*random) * float64(max(0, after)))
}

// overload returns the refusal of a request that the queue cannot take in time. Where other
// gateways serve other workspaces, it always tells that those may be served.
func (s *serverState) overload(req daisyrequest.Request, expectedWait, waited time.Duration, ownShare bool) error {
	s.mu.Lock()
	ownShare = ownShare || s.shared
	interval := time.Duration(float64(s.meanRunTime) / float64(s.slots) / returningShare)
	s.mu.Unlock()
	return daisyrequest.NewOverloadError(s.retries.retryAfter(time.Now(), req.Priority, expectedWait, waited, interval, rand.Float64()), ownShare)
}
