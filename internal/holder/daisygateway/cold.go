package daisygateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

const (
	// clockTolerance is by how much the clock of a server's machine may be wrong when
	// this host reads from its start time that it is no longer cold.
	clockTolerance = 5 * time.Second
	// firstUse is how long a gateway treats a server as cold after its first request to
	// it: the window of the limit.
	firstUse = time.Second
	// minTokenWait and maxTokenWait bound the pauses between attempts to take a token.
	minTokenWait = time.Millisecond
	maxTokenWait = 50 * time.Millisecond
)

// ColdLimit tells a gateway how to limit the requests of a server while it is cold.
type ColdLimit struct {
	Rate     float64       // Requests per second from all hosts together; 0 sets no limit.
	Duration time.Duration // For how long the server is cold after its start.
	Cold     bool          // The control state says that it is cold.
	Started  time.Time     // When the server's process started, by the clock of its machine; zero if unknown.
	Rank     int           // The rank of this host among the server's gateways; -1 if it is none.
	Spread   bool          // The requests of the server are spread over its gateways.
}

// coldBudget limits the requests of one server. It is safe for concurrent use.
type coldBudget struct {
	mu      sync.Mutex
	limit   ColdLimit
	bucket  coldBucket
	known   time.Time // When this host first knew the server.
	used    time.Time // Time of the first request; zero if there was none.
	waiting int       // Requests of open transactions that wait for a token; they go first.
}

// SetCold sets how the requests of the server are limited while it is cold.
func (g *Gateway) SetCold(server string, limit ColdLimit) {
	b := &g.server(server).cold
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known.IsZero() {
		b.known = now
	}
	b.limit = limit
	b.bucket.set(now, limit.Rank, limit.Rate, limit.Spread)
}

// Cold reports whether this host treats the server as cold, and which share of its budget
// is left, from 0 to 1.
func (g *Gateway) Cold(server string) (left float64, cold bool) {
	b := &g.server(server).cold
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited(now) {
		return 0, false
	}
	return b.bucket.left(now), true
}

// limited reports whether the server is treated as cold. The control state may say so late;
// a server is therefore cold, whatever the state says, while this host has not known it
// for longer than it is cold after a start, unless it has run for longer by its start
// time, and just after the first request of this host. A host that waits for a share, as
// it has become a gateway a moment ago, would refuse everything then; it does not limit a
// server at first use that it has known for long. It requires b.mu.
func (b *coldBudget) limited(now time.Time) bool {
	switch {
	case b.limit.Rate <= 0:
		return false
	case b.limit.Cold:
		return true
	case now.Sub(b.known) < b.limit.Duration && !b.limit.startedBefore(now.Add(-b.limit.Duration-clockTolerance)):
		return true
	}
	return b.bucket.shareAt(now) > 0 && (b.used.IsZero() || now.Sub(b.used) < firstUse)
}

// startedBefore reports whether the server is known to have started before the time.
func (l *ColdLimit) startedBefore(t time.Time) bool {
	return !l.Started.IsZero() && l.Started.Before(t)
}

// admits reports whether a new request would be let through now.
func (b *coldBudget) admits() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.limited(now) || b.waiting == 0 && b.bucket.available(now)
}

// take takes a token for a request that is about to be sent, if the server is cold. It
// returns false if there is none.
func (b *coldBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return (!b.limited(now) || b.waiting == 0) && b.takeLocked(now)
}

// takeLocked requires b.mu. Requests of a server that is not cold count too, so that one
// that becomes cold gets no more than its rate at once.
func (b *coldBudget) takeLocked(now time.Time) bool {
	if b.limit.Rate <= 0 {
		return true
	}
	limited := b.limited(now)
	if taken := b.bucket.take(now); !taken && limited {
		return false
	}
	if b.used.IsZero() {
		b.used = now
	}
	return true
}

// await takes a token for a request that must not be refused, as one of an open
// transaction. It waits until ctx is done, but not on a host that has no share any more.
func (b *coldBudget) await(ctx context.Context) error {
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.waiting--
	}()
	for {
		b.mu.Lock()
		now := time.Now()
		taken, hopeless := b.takeLocked(now), b.bucket.hopeless(now)
		pause := min(max(b.bucket.until(now), minTokenWait), maxTokenWait)
		b.mu.Unlock()
		if taken {
			return nil
		}
		if hopeless {
			return errOverBudget()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return errOverBudget()
		}
	}
}

func errOverBudget() error {
	return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrOverBudget)
}
