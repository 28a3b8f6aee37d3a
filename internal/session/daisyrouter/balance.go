package daisyrouter

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
)

// transactionTrips is how many round trips a transaction is assumed to take: its
// beginning, two statements and its end.
const transactionTrips = 4

// balancedClass is what shares are kept for: the reads of one class from one service.
type balancedClass struct {
	service string
	class   string
}

// maxBalancers bounds the classes whose shares are kept.
const maxBalancers = 1024

// QueueClass returns the class under which gateways average the run times of the read.
func (q *Query) QueueClass() string {
	req := daisyrequest.Request{Class: q.Profile.Name, Pin: q.Transaction}
	return req.QueueClass()
}

func (q *Query) class() daisybalance.Class { return daisybalance.NewClass(q.Profile.Latency) }

// balancer returns the shares of the read's class. It requires r.mu.
func (r *Router) balancer(q Query) *daisybalance.Balancer {
	key := balancedClass{service: q.Profile.Service, class: q.QueueClass()}
	b := r.balancers[key]
	if b == nil {
		if len(r.balancers) >= maxBalancers {
			clear(r.balancers) // Classes of earlier desired states; shares begin anew.
		}
		b = &daisybalance.Balancer{}
		r.balancers[key] = b
	}
	return b
}

// barred returns why no read like q may go to the server, whatever its load is, or an
// empty string if it may.
func (r *Router) barred(q Query, s Server) string {
	switch {
	case s.Leaving:
		return "it is leaving"
	case r.evacuations.has(s.Name):
		return "its failure domain is evacuated"
	case !q.Home.Allows(s.Region):
		return "it is outside the home regions"
	}
	return ""
}

// barredServer is a server that no read of a query may go to.
type barredServer struct {
	Server
	reason string
}

// candidates returns the servers that may serve the read, with their figures, and those
// that may not. It requires r.mu.
func (r *Router) candidates(now time.Time, q Query) (candidates []daisybalance.Candidate, barred []barredServer) {
	leader := r.primary(q.Profile.Service)
	servers := r.Group(q.Profile.Service).Servers
	returning := r.returning(now, q, servers)
	for _, s := range servers {
		if reason := r.barred(q, s); reason != "" {
			barred = append(barred, barredServer{Server: s, reason: reason})
			continue
		}
		if returning[s.Name] {
			barred = append(barred, barredServer{Server: s, reason: "it has just returned from an evacuation and gets a part of the reads"})
			continue
		}
		observed := r.server(s.Name)
		observed.RoundTrip = s.RoundTrip
		trip := s.RoundTrip
		if q.Transaction {
			trip *= transactionTrips
		}
		primary := s.Name == leader
		expected := observed.View.Expect(now, q.QueueClass(), q.Profile.Priority, trip, observed.InFlight())
		candidates = append(candidates, daisybalance.Candidate{
			Name: s.Name, Distance: s.Distance, Primary: primary, Success: observed.View.Success(now),
			Expected: expected, Penalty: r.coldPenalty(now, s),
			Problem: int(observed.Problem(now, q.MinPosition, primary)), Tried: contains(q.Exclude, s.Name),
		})
	}
	return candidates, barred
}

// returning returns the servers that have just returned from an evacuation and are not
// offered this read: none if no other server could serve it. It requires r.mu.
func (r *Router) returning(now time.Time, q Query, servers []Server) map[string]bool {
	if len(r.evacuations.returns) == 0 {
		return nil
	}
	returning, others := make(map[string]bool), false
	for _, s := range servers {
		switch {
		case r.barred(q, s) != "" || contains(q.Exclude, s.Name):
		case r.evacuations.offered(now, s.Name):
			others = true
		default:
			returning[s.Name] = true
		}
	}
	if !others {
		return nil
	}
	return returning
}

// Chosen counts the reads for which a server was chosen, by its distance.
type Chosen [daisybalance.OtherRegion + 1]uint64

// Chosen returns the counts so far.
func (r *Router) Chosen() Chosen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chosen
}

// RecordLoad records the load that a gateway stated with its reply to the request.
func (r *Router) RecordLoad(req daisyrequest.Request, l daisyrequest.Load) {
	if req.Class == "" {
		return // A sample of the primary's position, which no read is like.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server(req.Server).View.State(daisyclock.Now(), req.QueueClass(), req.Priority, l)
}

// Judge records how the server treated a request that was sent at the given time: a
// read or the beginning of a transaction. A refusal for load and a missing sample say
// nothing about the server. A failure of the statement counts, since a server that
// fails its requests answers so; errors of clients are the same on all servers.
func (r *Router) Judge(req daisyrequest.Request, sent time.Time, a daisystatement.Answer, err error) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	observed := r.server(req.Server)
	switch {
	case err != nil && errors.Is(err, daisyrequest.ErrNotSent) && !errors.Is(err, daisyrequest.ErrUnreachable):
	case err != nil:
		observed.View.Judge(now, 0)
	case a.Failure != nil:
		if success, counts := judged(a.Failure.Code); counts {
			observed.View.Judge(now, success)
		}
	default:
		observed.View.Judge(now, 1)
		took := max(0, now.Sub(sent)-r.roundTrip(req.Service, req.Server))
		observed.View.Answered(now, req.QueueClass(), req.Priority, took)
	}
}

// laggingSuccess is what a read counts that the server's log was too old for. A server
// that lags gets less, but is not excluded: it still serves reads of earlier positions.
const laggingSuccess = 0.5

// judged returns what a failure with the code counts, and false if it says nothing about
// the server.
func judged(c daisystatement.Code) (success float64, counts bool) {
	switch c {
	case daisystatement.CodeBusy, daisystatement.CodeAborted, daisystatement.CodeTooMany, daisystatement.CodeFailed, daisystatement.CodeTimeout:
		return 0, true
	case daisystatement.CodeLagging:
		return laggingSuccess, true
	}
	return 0, false
}

// roundTrip returns the round trip assumed to the server.
func (r *Router) roundTrip(service, server string) time.Duration {
	for _, s := range r.Group(service).Servers {
		if s.Name == server {
			return s.RoundTrip
		}
	}
	return 0
}
