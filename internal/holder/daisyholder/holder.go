package daisyholder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Lease reports whether the host's lease is valid now.
type Lease interface {
	Valid() bool
}

// Limiter takes tokens from a workspace's fleet-wide rate limit.
type Limiter interface {
	// Take waits until it can take the tokens or ctx is done. It returns 0 if it
	// took them, else the time after which the client may retry.
	Take(ctx context.Context, workspace string, cost float64) (retryAfter time.Duration)
}

// Options configure a Holder.
type Options struct {
	Host        string
	Incarnation uint64
	View        *daisyfleet.View
	Lease       Lease
	Limiter     Limiter
	Network     daisynet.Network
	Credentials map[string]daisymember.Credentials // By database.
	Log         log.Interface
}

// Holder serves the database groups that the host owns.
type Holder struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	groups   map[string]*group
	draining bool
	released []daisyheartbeat.OwnershipTerm
}

// New starts a holder that applies the ownerships in the view.
func New(o Options) *Holder {
	h := &Holder{options: o, groups: make(map[string]*group)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.wait.Go(h.follow)
	return h
}

// follow starts and closes groups as ownerships in the view change.
func (h *Holder) follow() {
	for {
		changed := h.options.View.Changed()
		h.reconcile()
		select {
		case <-changed:
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Holder) reconcile() {
	owned := make(map[string]daisyfleet.Ownership)
	h.options.View.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
			ownership, ok := o.Value.(daisyfleet.Ownership)
			if ok && ownership.Holder == h.options.Host && ownership.Incarnation == h.options.Incarnation {
				owned[o.Name] = ownership
			}
		})
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	heads := make(map[string]daisystream.Position)
	for name, g := range h.groups {
		if ownership, ok := owned[name]; !ok || ownership.Term != g.term {
			g.close()
			heads[name] = g.head()
			delete(h.groups, name)
		}
	}
	h.released = slices.DeleteFunc(h.released, func(r daisyheartbeat.OwnershipTerm) bool { return owned[r.Database].Term != r.Term })
	for name, ownership := range owned {
		switch {
		case ownership.Revoked:
			h.revoke(name, ownership.Term)
		case h.groups[name] == nil && !h.draining:
			h.groups[name] = h.start(name, ownership, heads[name])
		}
	}
}

// revoke closes a group whose ownership was revoked. It requires h.mu.
func (h *Holder) revoke(name string, term uint64) {
	if g := h.groups[name]; g != nil {
		g.close()
		delete(h.groups, name)
	}
	h.release(daisyheartbeat.OwnershipTerm{Database: name, Term: term})
}

// release makes the next heartbeat report the ownership as released. It requires
// h.mu.
func (h *Holder) release(t daisyheartbeat.OwnershipTerm) {
	if !slices.Contains(h.released, t) {
		h.released = append(h.released, t)
	}
}

func (h *Holder) group(database string) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[database]
}

// Reports is the part of a heartbeat about the host's ownerships.
type Reports struct {
	Takeovers    []daisyheartbeat.TakeoverReport
	Observations []daisyheartbeat.Observation
	Released     []daisyheartbeat.OwnershipTerm
	HigherTerms  []daisyheartbeat.OwnershipTerm
}

// Reports returns the part of the next heartbeat about the host's ownerships.
func (h *Holder) Reports() (r Reports) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Released = slices.Clone(h.released)
	for _, name := range slices.Sorted(maps.Keys(h.groups)) {
		g := h.groups[name]
		ownership := daisyheartbeat.OwnershipTerm{Database: name, Term: g.term}
		status := g.report()
		if status.primary == "" {
			if status.higherTerm > 0 {
				r.HigherTerms = append(r.HigherTerms, daisyheartbeat.OwnershipTerm{Database: name, Term: status.higherTerm})
			}
			continue
		}
		if recorded, _ := h.options.View.Ownership(name); recorded.Primary == "" {
			r.Takeovers = append(r.Takeovers, daisyheartbeat.TakeoverReport{OwnershipTerm: ownership, Primary: status.primary, Note: status.takeoverNote})
		}
		if status.suspected {
			r.Observations = append(r.Observations, daisyheartbeat.Observation{OwnershipTerm: ownership, Member: status.primary})
		}
	}
	return r
}

// Holding reports whether the host owns any database group.
func (h *Holder) Holding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.groups) > 0
}

// Databases returns the sorted names of the databases that the host owns.
func (h *Holder) Databases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.groups))
}

// Drain refuses new transactions, waits until those in progress have ended or ctx
// is done, and releases the ownerships.
func (h *Holder) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	groups := make([]*group, 0, len(h.groups))
	for _, g := range h.groups {
		groups = append(groups, g)
	}
	h.mu.Unlock()
	for _, g := range groups {
		g.drain(ctx)
		h.mu.Lock()
		h.release(daisyheartbeat.OwnershipTerm{Database: g.database, Term: g.term})
		h.mu.Unlock()
	}
}

// Close closes every group and waits for the holder's goroutines to end.
func (h *Holder) Close() error {
	h.cancel()
	h.wait.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.groups {
		g.close()
	}
	for _, g := range h.groups {
		g.wait.Wait()
	}
	return nil
}

// Stream returns a stream that runs requests on this host's groups.
func (h *Holder) Stream() daisystream.Stream { return &stream{holder: h} }
