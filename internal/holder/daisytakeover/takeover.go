// Package daisytakeover decides how the holder of a new term takes over a
// database group: which members must be fenced and which becomes the primary.
//
// A write that was acknowledged after a majority held it lies on a member of
// every majority. A takeover therefore fences a majority with the new term,
// after which no member of it confirms writes of an older one, and chooses the
// furthest log among them.
package daisytakeover

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

// ErrNoMajority is returned if too few members could be fenced to know every
// write that was acknowledged by a majority.
var ErrNoMajority = errors.New("no majority of the group could be fenced")

// HigherTermError is returned if a member is at a later term than the plan's.
type HigherTermError struct {
	Term uint64 // The latest term seen.
}

// Error implements error.
func (e *HigherTermError) Error() string {
	return fmt.Sprintf("a member is at term %d", e.Term)
}

// Status is what a member tells of itself.
type Status struct {
	Term     uint64
	Primary  bool
	Received daisystream.Position
	Applied  daisystream.Position
}

// Member is the control of one member of a group.
type Member interface {
	// Status asks the member what it is at.
	Status(ctx context.Context) (Status, error)
	// Fence makes the member refuse every term below the given one.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the member the primary of the term.
	Promote(ctx context.Context, term uint64) (Status, error)
}

// Plan describes a takeover.
type Plan struct {
	Term     uint64
	Majority int
	Primary  string // The primary of the last term; empty if there was none.
	Avoid    string // The member that must not stay primary if another can be.
	Members  map[string]Member
}

// Result is the outcome of a takeover.
type Result struct {
	Primary string
	Status  Status               // The primary's, after its promotion.
	LogEnd  daisystream.Position // How far the chosen log went when it was fenced.
	Fenced  []string
}

type candidate struct {
	name   string
	status Status
}

// Run fences the members, chooses the primary and promotes it.
func Run(ctx context.Context, p Plan) (r Result, err error) {
	defer daisyerror.Annotate(&err, "take over term %d", p.Term)
	fenced := fenceAll(ctx, p)
	if len(fenced) < p.Majority {
		if latest := latestTerm(ctx, p); latest > p.Term {
			return Result{}, &HigherTermError{Term: latest}
		}
		return Result{}, fmt.Errorf("%w: %d of %d", ErrNoMajority, len(fenced), p.Majority)
	}
	chosen := Choose(fenced, p.Primary, p.Avoid)
	r.Status, err = p.Members[chosen].Promote(ctx, p.Term)
	if err != nil {
		return Result{}, err
	}
	r.Primary = chosen
	for _, c := range fenced {
		r.Fenced = append(r.Fenced, c.name)
		if c.name == chosen {
			r.LogEnd = c.status.Received
		}
	}
	return r, nil
}

// fenceAll fences every member that answers, in the order of names.
func fenceAll(ctx context.Context, p Plan) []candidate {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var fenced []candidate
	for name, m := range p.Members {
		wait.Go(func() {
			status, err := m.Fence(ctx, p.Term)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			fenced = append(fenced, candidate{name: name, status: status})
		})
	}
	wait.Wait()
	slices.SortFunc(fenced, func(a, b candidate) int { return cmp.Compare(a.name, b.name) })
	return fenced
}

// latestTerm returns the latest term at which a member answers to be.
func latestTerm(ctx context.Context, p Plan) uint64 {
	var latest uint64
	for _, m := range p.Members {
		if s, err := m.Status(ctx); err == nil {
			latest = max(latest, s.Term)
		}
	}
	return latest
}

// Choose returns the member with the furthest log. Among equals the primary of
// the last term is preferred, then the first name; avoid comes last.
func Choose(fenced []candidate, primary, avoid string) string {
	best := slices.MaxFunc(fenced, func(a, b candidate) int {
		if a.status.Received != b.status.Received {
			return order(a.status.Received.Less(b.status.Received))
		}
		if a.name == avoid || b.name == avoid {
			return order(a.name == avoid)
		}
		if a.name == primary || b.name == primary {
			return order(b.name == primary)
		}
		return cmp.Compare(b.name, a.name)
	})
	return best.name
}

// order returns -1 if less is set and 1 otherwise.
func order(less bool) int {
	if less {
		return -1
	}
	return 1
}
