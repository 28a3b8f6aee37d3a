package daisyrouter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// sampleInterval is how often the sampler looks for stale services.
	sampleInterval = 100 * time.Millisecond
	// sampleAge is the age of the latest sample from which on the primary is
	// asked. It leaves bounded reads most of their age, 1.5 s at the least, when
	// the primary is lost.
	sampleAge = 400 * time.Millisecond
	// silentAge is the same for a primary that has not answered last.
	silentAge = 150 * time.Millisecond
	// sampleTimeout is how long the primary may take to answer; a full queue of
	// statements before its slots takes some 0.3 s.
	sampleTimeout = 700 * time.Millisecond
	// usedLife is how long after its last use a service is sampled.
	usedLife = 10 * time.Second
	// freeTimeout is how long the sampler waits for a connection.
	freeTimeout = 300 * time.Millisecond
)

// Sample asks primaries for their positions until ctx ends, so that samples
// stay fresh and a lost primary is noticed also between requests.
func (r *Router) Sample(ctx context.Context) {
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
			wait.Go(func() { r.sample(ctx, name) })
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
		limit := sampleAge
		if s.silent && s.round == l.Round {
			limit = silentAge
		}
		if age, sampled := s.tracker.Age(l.Round, now); !sampled || age > limit {
			s.sampling = true
			names = append(names, name)
		}
	}
	return names
}

func (r *Router) sample(ctx context.Context, name string) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.service(name).sampling = false
	}()
	l, ok := r.Leader(name)
	if !ok {
		return
	}
	r.mu.Lock()
	workspace := r.owners[l.Server]
	r.mu.Unlock()
	if workspace == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	c, err := r.options.Pool.Acquire(ctx, l.Server, workspace)
	if err != nil {
		r.dialFailed(name, l.Server, err)
		return
	}
	defer c.Release()
	r.ask(name, l, c)
}

// dialFailed notes a failed attempt to get a connection, unless it says nothing
// of the server.
func (r *Router) dialFailed(name, server string, err error) {
	var refused *daisystatement.Failure
	if errors.As(err, &refused) || errors.Is(err, daisypool.ErrFull) || errors.Is(err, daisypool.ErrUnknown) {
		return
	}
	r.Unreachable(name, server)
}

func (r *Router) ask(name string, l Leader, c *daisypool.Conn) {
	asked := daisyclock.Now()
	if !r.Leads(name, l) {
		return
	}
	r.Started(l.Server, c.Workspace())
	err := c.Send([]daisystatement.Statement{{ID: daisystatement.SystemID, Kind: daisystatement.KindStatus}})
	var a daisystatement.Answer
	if err == nil {
		a, err = c.Receive(time.Now().Add(sampleTimeout))
	}
	r.Ended(name, l.Server, asked, err == nil)
	if err == nil && !a.Position.IsZero() {
		r.Note(name, l, asked, a.Position)
	}
}
