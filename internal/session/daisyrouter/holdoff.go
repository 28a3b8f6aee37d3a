package daisyrouter

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

// holdOffShare is the part of a refusal's time to retry for which a host sends the
// server no further statements that would be refused too. By then half of the
// queue has run, and the host is one of many that return.
const holdOffShare = 0.5

// maxHoldOff bounds the time for which a host refuses on the word of one refusal.
const maxHoldOff = 2 * time.Second

// HeldClass is what a hold-off applies to.
type HeldClass struct {
	Server    string
	Workspace string // Empty for all.
	Class     string // The statements of one class have the same priority.
	Priority  int    // 0 is the highest.
}

// covers reports whether a queue that refused h also refuses s: a statement of the
// same class, or of a lower priority.
func (h HeldClass) covers(s HeldClass) bool {
	return h.Server == s.Server && (h.Workspace == "" || h.Workspace == s.Workspace) && (h.Class == s.Class || h.Priority < s.Priority)
}

// HoldOff records that the server's queue refused a statement and told to retry it
// after the given time.
func (r *Router) HoldOff(h HeldClass, retryAfter time.Duration) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.holdOffs {
		if now.After(until) {
			delete(r.holdOffs, other)
		}
	}
	r.holdOffs[h] = now.Add(min(time.Duration(holdOffShare*float64(retryAfter)), maxHoldOff))
}

// HeldOff returns for how long statements of the class are not to be sent to the
// server, or 0, and counts those that are not.
func (r *Router) HeldOff(s HeldClass) (left time.Duration) {
	if left = r.HoldOffLeft(s); left > 0 {
		r.heldOff.Add(1)
	}
	return left
}

// HoldOffLeft is like HeldOff for no statement.
func (r *Router) HoldOffLeft(s HeldClass) (left time.Duration) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, until := range r.holdOffs {
		if h.covers(s) {
			left = max(left, until.Sub(now))
		}
	}
	return left
}

// HeldOffTotal returns the number of statements so far that HeldOff kept from their
// server.
func (r *Router) HeldOffTotal() uint64 { return r.heldOff.Load() }
