package daisyrouter

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

const (
	// unansweredLimit is how long a primary may leave statements unanswered before it
	// is checked. With a full queue before its slots, an answer takes about 0.2 s.
	unansweredLimit = 250 * time.Millisecond
	// checkInterval is the minimum time between two checks of a primary. It doubles
	// with each check that reaches the primary, up to maxCheckInterval: all
	// observers check a primary that answers late, and each check opens a connection.
	checkInterval    = 150 * time.Millisecond
	maxCheckInterval = 1200 * time.Millisecond
	// checkTimeout bounds a check: eight round trips between regions.
	checkTimeout = 200 * time.Millisecond
	// maxDoublings bounds the count of checks in a row that reached the primary.
	maxDoublings = 8
)

// primaryCheck is a service whose primary is to be checked.
type primaryCheck struct {
	service string
	leader  Leader
}

// primariesToCheck returns the primaries that failed, leave statements unanswered
// or could not be reached at the last attempt, and marks them as being checked. A
// check opens a connection instead of waiting for an answer: an overloaded primary
// answers late, and replacing it would add to the load. Evacuated primaries are not
// checked: hosts do not use them.
func (r *Router) primariesToCheck() []primaryCheck {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var checks []primaryCheck
	for name, s := range r.services {
		l, ok := r.Leader(name)
		if !ok || s.checking || r.evacuations.has(l.Server) || !r.observes(name) || now.Sub(s.checked) < s.nextCheck(now) {
			continue
		}
		server := r.server(l.Server)
		if s.unreachable && s.epoch == l.Epoch || server.Avoided(now) || server.Unanswered(now) > unansweredLimit {
			s.checking = true
			checks = append(checks, primaryCheck{service: name, leader: l})
		}
	}
	return checks
}

// nextCheck returns the minimum time between the last check and the next. Checks
// that were long ago do not count.
func (s *service) nextCheck(now time.Time) time.Duration {
	if now.Sub(s.checked) > 2*maxCheckInterval {
		s.reached = 0
	}
	return min(checkInterval<<s.reached, maxCheckInterval)
}

// check records whether a connection to the primary can be opened. A failure does not
// count while messages of this host are held up: a gateway whose network link is full
// reaches no server in time, and replacing the primaries would only add to the load.
func (r *Router) check(ctx context.Context, c primaryCheck) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	r.checks.Add(1)
	err := r.options.Reach(ctx, c.leader.Server)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.service)
	s.checking, s.checked = false, daisyclock.Now()
	if err != nil && r.options.Delayed != nil && r.options.Delayed() {
		return
	}
	if err != nil {
		s.reached = 0
		r.markUnreachable(c.service, c.leader.Epoch)
		return
	}
	s.reached = min(s.reached+1, maxDoublings)
	r.markReachable(c.service, c.leader.Server)
}

// Checks returns the number of checks made so far. Each opens a connection to a
// primary.
func (r *Router) Checks() uint64 { return r.checks.Load() }
