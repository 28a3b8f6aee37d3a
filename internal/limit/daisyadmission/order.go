package daisyadmission

import (
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

// waiters are the operations of a workspace that wait for tokens.
type waiters struct {
	orders   []*daisyorder.Order // In the order of arrival.
	progress daisyorder.Progress
}

// wait records that an operation of the workspace waits. It requires c.mu.
func (c *Controller) wait(now time.Time, workspace string, o *daisyorder.Order) {
	w := c.waiting[workspace]
	if w == nil {
		w = &waiters{}
		c.waiting[workspace] = w
	}
	w.orders = append(w.orders, o)
	w.progress.Add(*o, now)
}

// leave records that an operation no longer waits, and whether it was admitted. It requires
// c.mu.
func (c *Controller) leave(now time.Time, workspace string, o *daisyorder.Order, admitted bool) {
	w := c.waiting[workspace]
	w.orders = slices.DeleteFunc(w.orders, func(other *daisyorder.Order) bool { return other == o })
	w.progress.Remove(*o, admitted, now)
}

// countAllWaiting returns the number of waiting operations of the workspace.
func (c *Controller) countAllWaiting(workspace string) int {
	if w := c.waiting[workspace]; w != nil {
		return len(w.orders)
	}
	return 0
}

// otherGoesFirst reports whether another waiting operation of the workspace gets the next
// token before the operation: one that is before it in the order, or, if a class has
// waited too long, one of that class.
func (c *Controller) otherGoesFirst(now time.Time, workspace string, o *daisyorder.Order) bool {
	w := c.waiting[workspace]
	if w == nil {
		return false
	}
	class, starved := w.progress.Starved(now)
	if starved && !o.SameClass(class) {
		return true
	}
	return slices.ContainsFunc(w.orders, func(other *daisyorder.Order) bool {
		return other != o && (!starved || other.SameClass(class)) && daisyorder.Compare(*other, *o, now) < 0
	})
}
