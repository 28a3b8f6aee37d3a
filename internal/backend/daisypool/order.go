package daisypool

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

// orderCredit is how many connections more than the workspace with the fewest a workspace
// may use for the order of its requests.
const orderCredit = 2

// firstWaiter returns the index of the waiter that is served next. There must be one. It
// is the first in the order among those whose workspaces use at most orderCredit
// connections more than the one with the fewest; among equals, that of the workspace
// with the fewest, then the earliest. If a class has waited too long, only its waiters
// are considered.
func (s *serverPool) firstWaiter(now time.Time) int {
	class, starved := s.progress.Starved(now)
	eligible := func(w *waiter) bool { return !starved || w.order.SameClass(class) }
	least := -1
	for _, w := range s.waiters {
		if n := s.active[w.workspace]; eligible(w) && (least < 0 || n < least) {
			least = n
		}
	}
	best := -1
	for i, w := range s.waiters {
		if !eligible(w) || s.active[w.workspace] > least+orderCredit {
			continue
		}
		if best < 0 || s.before(w, s.waiters[best], now) {
			best = i
		}
	}
	return max(best, 0)
}

func (s *serverPool) before(a, b *waiter, now time.Time) bool {
	if c := daisyorder.Compare(a.order, b.order, now); c != 0 {
		return c < 0
	}
	return s.active[a.workspace] < s.active[b.workspace]
}
