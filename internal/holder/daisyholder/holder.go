package daisyholder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisymember"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

// Lease tells whether the host's lease is valid at this moment.
type Lease interface {
	Valid() bool
}

// Limiter takes tokens of a workspace's fleet-wide limit.
type Limiter interface {
	// Take waits for the tokens until ctx ends. It returns when to come back
	// if they cannot be had, or 0 if they were taken.
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

// Holder serves the databases whose tenure the host holds.
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

// New starts a holder that follows the view.
func New(o Options) *Holder {
	h := &Holder{options: o, groups: make(map[string]*group)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.wait.Go(h.follow)
	return h
}

// follow starts and ends groups as the view assigns tenures.
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
	mine := make(map[string]daisyfleet.Ownership)
	h.options.View.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindOwnership, func(o daisyfleet.Object) {
			t, ok := o.Value.(daisyfleet.Ownership)
			if ok && t.Holder == h.options.Host && t.Incarnation == h.options.Incarnation {
				mine[o.Name] = t
			}
		})
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	heads := make(map[string]daisystream.Position)
	for name, g := range h.groups {
		if t, ok := mine[name]; !ok || t.Term != g.term {
			g.close()
			heads[name] = g.head()
			delete(h.groups, name)
		}
	}
	h.released = slices.DeleteFunc(h.released, func(r daisyheartbeat.OwnershipTerm) bool { return mine[r.Database].Term != r.Term })
	for name, t := range mine {
		switch {
		case t.Revoked:
			h.revoke(name, t.Term)
		case h.groups[name] == nil && !h.draining:
			h.groups[name] = h.start(name, t, heads[name])
		}
	}
}

// revoke ends a group that is to be handed back; h.mu is held.
func (h *Holder) revoke(name string, term uint64) {
	if g := h.groups[name]; g != nil {
		g.close()
		delete(h.groups, name)
	}
	h.release(daisyheartbeat.OwnershipTerm{Database: name, Term: term})
}

// release reports a tenure as handed back; h.mu is held.
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

// Reports is what a heartbeat says of the tenures.
type Reports struct {
	Takeovers    []daisyheartbeat.TakeoverReport
	Observations []daisyheartbeat.Observation
	Released     []daisyheartbeat.OwnershipTerm
	HigherTerms  []daisyheartbeat.OwnershipTerm
}

// Reports returns what the next heartbeat says of the tenures.
func (h *Holder) Reports() (r Reports) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Released = slices.Clone(h.released)
	for _, name := range slices.Sorted(maps.Keys(h.groups)) {
		g := h.groups[name]
		tenancy := daisyheartbeat.OwnershipTerm{Database: name, Term: g.term}
		says := g.report()
		if says.primary == "" {
			if says.outranked > 0 {
				r.HigherTerms = append(r.HigherTerms, daisyheartbeat.OwnershipTerm{Database: name, Term: says.outranked})
			}
			continue
		}
		if t, _ := h.options.View.Ownership(name); t.Primary == "" {
			r.Takeovers = append(r.Takeovers, daisyheartbeat.TakeoverReport{OwnershipTerm: tenancy, Primary: says.primary, Note: says.note})
		}
		if says.suspected {
			r.Observations = append(r.Observations, daisyheartbeat.Observation{OwnershipTerm: tenancy, Member: says.primary})
		}
	}
	return r
}

// Holding reports whether the host holds any database.
func (h *Holder) Holding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.groups) > 0
}

// Databases returns the names of the databases that the host holds, in order.
func (h *Holder) Databases() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.groups))
}

// Drain refuses new transactions, waits for those under way until ctx ends and
// hands the tenures back.
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

// Close ends every group and waits until nothing of the holder runs.
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

// Lane returns a lane into this host's groups.
func (h *Holder) Stream() daisystream.Stream { return &lane{holder: h} }
