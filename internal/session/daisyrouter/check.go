package daisyrouter

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

const (
	// quietLimit is how long a primary may leave statements unanswered before it
	// is checked; a full queue before its slots takes some 0.2 s.
	quietLimit = 250 * time.Millisecond
	// checkInterval is the least time between two checks of a primary.
	checkInterval = 150 * time.Millisecond
	// checkTimeout bounds a check: eight round trips between regions.
	checkTimeout = 200 * time.Millisecond
)

// doubt is a primary to be checked.
type doubt struct {
	service string
	leader  Leader
}

// doubtful returns the primaries that failed, or leave statements unanswered,
// or could not be reached last, and counts them as being checked. Whether a
// primary can be reached is told by opening a connection, not by its answers:
// one that is overloaded answers late, and replacing it would add to the load.
func (r *Router) doubtful() []doubt {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var doubts []doubt
	for name, s := range r.services {
		l, ok := r.Leader(name)
		if !ok || s.checking || now.Sub(s.checked) < checkInterval {
			continue
		}
		server := r.server(l.Server)
		if s.silent && s.round == l.Epoch || server.Avoided(now) || server.Unanswered(now) > quietLimit {
			s.checking = true
			doubts = append(doubts, doubt{service: name, leader: l})
		}
	}
	return doubts
}

func (r *Router) check(ctx context.Context, d doubt) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := r.options.Reach(ctx, d.leader.Server)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(d.service)
	s.checking, s.checked = false, daisyclock.Now()
	if err != nil {
		r.missed(d.service, d.leader.Epoch)
		return
	}
	r.reached(d.service, d.leader.Server)
}
