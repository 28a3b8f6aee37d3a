package daisyrouter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// sampleInterval is the interval at which the sampler looks for services whose
	// latest sample is too old.
	sampleInterval = 100 * time.Millisecond
	// gatewaySampleAge is the age of the latest sample above which the first gateway of
	// one of the service's servers asks the primary for its position. When the primary
	// fails, bounded-staleness reads, whose maximum age is at least 1.5 s, can go on
	// for most of that age.
	gatewaySampleAge = 400 * time.Millisecond
	// fallbackSampleAge is the same for the other gateways. They receive positions with
	// the first gateways' answers, and ask only before reads with the smallest maximum
	// age, 1.5 s, would need the primary.
	fallbackSampleAge = 1100 * time.Millisecond
	// unreachableSampleAge is the same for a primary that could not be reached at
	// the last attempt.
	unreachableSampleAge = 150 * time.Millisecond
	// sampleTimeout is how long the primary may take to answer. With a full queue of
	// statements before its slots, an answer takes about 0.3 s.
	sampleTimeout = 700 * time.Millisecond
	// usageWindow is how long after its last use by a session a service is sampled.
	usageWindow = 10 * time.Second
)

// Run asks the primaries of the services that this host observes for their log
// positions until ctx is done, so that samples stay recent and a failed primary is
// detected even without requests.
func (r *Router) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for _, name := range r.servicesToSample() {
			wait.Go(func() { r.sample(name) })
		}
		for _, c := range r.primariesToCheck() {
			wait.Go(func() { r.check(ctx, c) })
		}
	}
}

// servicesToSample returns the services whose latest sample is too old and marks
// them as being sampled.
func (r *Router) servicesToSample() []string {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, s := range r.services {
		l, ok := r.Leader(name)
		rank := r.gatewayRank(name)
		if !ok || s.sampling || r.evacuations.has(l.Server) || rank < 0 || now.Sub(s.used) > usageWindow {
			continue
		}
		limit := fallbackSampleAge
		if rank == 0 {
			limit = gatewaySampleAge
		}
		if s.unreachable && s.epoch == l.Epoch {
			limit = unreachableSampleAge
		}
		if age, sampled := s.tracker.Age(l.Epoch, now); !sampled || age > limit {
			s.sampling = true
			names = append(names, name)
		}
	}
	return names
}

// gatewayRank returns the least rank of this host among the gateways of the service's
// servers, or -1 if it is the gateway of none.
func (r *Router) gatewayRank(name string) int {
	least := -1
	for _, s := range r.Group(name).Servers {
		if rank := r.options.GatewayRank(s.Name); rank >= 0 && (least < 0 || rank < least) {
			least = rank
		}
	}
	return least
}

// observes reports whether this host samples and checks the primary of the service:
// whether it is a gateway of one of the service's servers. All hosts of a large fleet
// would load a primary more than its clients do.
func (r *Router) observes(name string) bool { return r.gatewayRank(name) >= 0 }

// sample asks the primary of a service for its log position. It uses a connection
// of the workspace that used the primary last, since each connection belongs to
// one workspace.
func (r *Router) sample(name string) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.service(name).sampling = false
	}()
	l, ok := r.Leader(name)
	r.mu.Lock()
	workspace := r.sampleWorkspace(name, l.Server)
	r.mu.Unlock()
	if !ok || workspace == "" || r.Evacuated(l.Server) {
		return
	}
	sentAt := daisyclock.Now()
	r.Started(l.Server, workspace)
	limit := time.Now().Add(sampleTimeout)
	a, _, err := r.options.Forwarder.Run(daisyrequest.Request{
		Service: name, Server: l.Server, Workspace: workspace, SendDeadline: limit, Deadline: limit,
		Statement: daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindStatus},
		Home:      r.sampleHome(workspace),
	})
	switch {
	case errors.Is(err, daisyrequest.ErrNotSent) && !errors.Is(err, daisyrequest.ErrUnreachable):
		r.Refused(l.Server)
	default:
		r.Ended(name, l.Server, sentAt, err == nil)
	}
	if err == nil && !a.Position.IsZero() {
		r.RecordPosition(name, l, sentAt, a.Position)
	}
}
