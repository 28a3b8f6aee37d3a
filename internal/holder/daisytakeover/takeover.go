// Package daisytakeover decides how the holder of a new term takes over a
// database group: which members must be fenced and which becomes the primary.
//
// A write that was acknowledged after a majority had received it is in the log of
// at least one member of every majority. A takeover therefore fences a majority
// with the new term, after which none of these members confirms a write of an
// older term, and promotes the member with the longest log among them.
package daisytakeover

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// ErrNoMajority is returned if too few members could be fenced to be sure that
// every write acknowledged by a majority is in one of their logs.
var ErrNoMajority = errors.New("no majority of the group could be fenced")

// HigherTermError is returned if a member is at a later term than the plan's.
type HigherTermError struct {
	Term uint64 // The latest term seen.
}

// Error implements error.
func (e *HigherTermError) Error() string {
	return fmt.Sprintf("a member is at term %d", e.Term)
}

// Status is the status that a member reports.
type Status struct {
	Term     uint64
	Primary  bool
	Received daisystream.Position // End of the log received.
	Applied  daisystream.Position // End of the log applied.
}

// Member controls one member of a database group.
type Member interface {
	// Status returns the member's status.
	Status(ctx context.Context) (Status, error)
	// Fence makes the member refuse every term before the given one.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes the member the primary of the term.
	Promote(ctx context.Context, term uint64) (Status, error)
}

// Plan describes a takeover.
type Plan struct {
	Term     uint64
	Majority int
	Primary  string // The last primary before this term; empty if there was none.
	Avoid    string // The member that is chosen only if no other has as long a log.
	Members  map[string]Member
}

// Result is the outcome of a takeover.
type Result struct {
	Primary string
	Status  Status               // The primary's, after its promotion.
	LogEnd  daisystream.Position // End of the primary's log when it was fenced.
	Fenced  []string             // Names of the fenced members.
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

// fenceAll fences all members and returns those that succeeded, sorted by name.
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

// latestTerm returns the latest term that a member reports, or 0.
func latestTerm(ctx context.Context, p Plan) uint64 {
	var latest uint64
	for _, m := range p.Members {
		if s, err := m.Status(ctx); err == nil {
			latest = max(latest, s.Term)
		}
	}
	return latest
}

// Choose returns the member with the longest log. Among equals, avoid is chosen
// last, then the last primary before this term is preferred, then the first name.
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
