package daisyrouter

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

// holdOffShare is the part of a refusal's time to retry for which a host sends the
// server no further statements that would be refused too. By then half of the
// queue has run, and the host is one of many that return.
const holdOffShare = 0.5

// holdOff is the time until which statements of a class and priority are not sent
// to a server.
type holdOff struct {
	priority int
	until    time.Time
}

// HoldOff records that the server's queue refused a statement of the class for the
// given time. Statements of one class have the same priority; 0 is the highest.
func (r *Router) HoldOff(server, class string, priority int, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.holdOffs[server]
	if held == nil {
		held = make(map[string]holdOff)
		r.holdOffs[server] = held
	}
	held[class] = holdOff{priority: priority, until: daisyclock.Now().Add(time.Duration(holdOffShare * float64(retryAfter)))}
}

// HeldOff returns for how long statements of the class are not to be sent to the
// server, or 0. A queue that refused a statement also refuses those of lower
// priorities.
func (r *Router) HeldOff(server, class string, priority int) (left time.Duration) {
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.holdOffs[server] {
		if name == class || h.priority < priority {
			left = max(left, h.until.Sub(now))
		}
	}
	return left
}
