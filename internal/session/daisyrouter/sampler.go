package daisyrouter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// sampleInterval is how often the sampler looks for stale services.
	sampleInterval = 100 * time.Millisecond
	// sampleAge is the age of the latest sample from which on the primary is
	// asked. It leaves bounded reads most of their age, 1.5 s at the least, when
	// the primary is lost.
	sampleAge = 400 * time.Millisecond
	// guestAge is the same on a host that is the gateway of none of the service's
	// servers: it learns positions with answers, and asks before reads of the
	// least age, 1.5 s, would need the primary.
	guestAge = 1100 * time.Millisecond
	// silentAge is the same for a primary that has not answered last.
	silentAge = 150 * time.Millisecond
	// sampleTimeout is how long the primary may take to answer; a full queue of
	// statements before its slots takes some 0.3 s.
	sampleTimeout = 700 * time.Millisecond
	// usedLife is how long after its last use a service is sampled.
	usedLife = 10 * time.Second
)

// Run asks primaries for their positions until ctx ends, so that samples
// stay fresh and a lost primary is noticed also between requests.
func (r *Router) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, name := range r.stale() {
			wait.Go(func() { r.sample(name) })
		}
		for _, d := range r.doubtful() {
			wait.Go(func() { r.check(ctx, d) })
		}
	}
}

// stale returns the services to be sampled and counts them as being sampled.
func (r *Router) stale() []string {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, s := range r.services {
		l, ok := r.Leader(name)
		if !ok || s.sampling || now.Sub(s.used) > usedLife {
			continue
		}
		limit := guestAge
		if r.gateway(name) {
			limit = sampleAge
		}
		if s.silent && s.round == l.Epoch {
			limit = silentAge
		}
		if age, sampled := s.tracker.Age(l.Epoch, now); !sampled || age > limit {
			s.sampling = true
			names = append(names, name)
		}
	}
	return names
}

// gateway reports whether this host is the gateway of a server of the service.
func (r *Router) gateway(name string) bool {
	for _, s := range r.Group(name).Servers {
		if r.options.IsGateway(s.Name) {
			return true
		}
	}
	return false
}

// sample asks the primary of a service for its position.
func (r *Router) sample(name string) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.service(name).sampling = false
	}()
	l, ok := r.Leader(name)
	r.mu.Lock()
	workspace := r.owners[l.Server]
	r.mu.Unlock()
	if !ok || workspace == "" {
		return
	}
	asked := daisyclock.Now()
	r.Started(l.Server, workspace)
	limit := time.Now().Add(sampleTimeout)
	a, _, err := r.options.Forwarder.Run(daisygateway.StatementRequest{
		Service: name, Server: l.Server, Workspace: workspace, SendDeadline: limit, Deadline: limit,
		Statement: daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindStatus},
	})
	switch {
	case errors.Is(err, daisygateway.ErrNotSent) && !errors.Is(err, daisygateway.ErrUnreachable):
		r.Refused(l.Server)
	default:
		r.Ended(name, l.Server, asked, err == nil)
	}
	if err == nil && !a.Position.IsZero() {
		r.RecordPosition(name, l, asked, a.Position)
	}
}
