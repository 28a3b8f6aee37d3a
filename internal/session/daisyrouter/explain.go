package daisyrouter

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
	"github.com/daisyglade/daisyglade/internal/session/daisyselector"
)

// primaryOnlyReason is the reason of servers for a statement that the primary alone may
// run.
const primaryOnlyReason = "only the primary may run the statement"

// Explain returns the servers of the service as Choose would weigh them now, without a
// change of the shares. If primaryOnly is set, the statement goes to the primary without
// a choice.
func (r *Router) Explain(q Query, primaryOnly bool) []daisyroute.Server {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.MinPosition.IsZero() {
		q.MinPosition = r.sampledPosition(q, now)
	}
	candidates, barred := r.candidates(now, q)
	all := r.balancer(q).Peek(now, r.options.Costs, q.class(), candidates)
	var servers []daisyroute.Server
	for _, e := range daisybalance.Explain(all, func(p int) string { return daisyselector.Problem(p).String() }) {
		if primaryOnly {
			e = forPrimaryOnly(e)
		}
		servers = append(servers, explained(e))
	}
	for _, b := range barred {
		servers = append(servers, daisyroute.Server{Name: b.Name, Distance: b.Distance.String(), Primary: b.Name == r.primary(q.Profile.Service), Reason: b.reason})
	}
	return servers
}

// sampledPosition returns the position that a read of a new session needs, or a zero
// one if no sample is recent enough. It requires r.mu.
func (r *Router) sampledPosition(q Query, now time.Time) (p daisystatement.Position) {
	if s := r.services[q.Profile.Service]; s != nil {
		p, _ = s.tracker.MinPosition(r.Epoch(q.Profile.Service), now, q.Profile.MaxAge)
	}
	return p
}

func forPrimaryOnly(e daisybalance.Explanation) daisybalance.Explanation {
	e.Chance, e.Reason = 0, primaryOnlyReason
	if e.Primary {
		e.Chance, e.Reason = 1, ""
	}
	return e
}

func explained(e daisybalance.Explanation) daisyroute.Server {
	return daisyroute.Server{
		Name: e.Name, Primary: e.Primary, Distance: e.Distance.String(), Chance: e.Chance, Share: e.Share, Cost: e.Cost,
		Expected: e.Expected.Total(), Wait: e.Expected.Wait, Run: e.Expected.Run, Way: e.Expected.Way,
		Known: e.Expected.Known, Age: e.Expected.Age, Answered: e.Success, Reason: e.Reason,
	}
}

// HasPosition reports whether this host knows a position of the service's primary that
// is recent enough for reads of at most the age.
func (r *Router) HasPosition(q Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.sampledPosition(q, daisyclock.Now()).IsZero()
}
