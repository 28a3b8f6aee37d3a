package daisylease

import (
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

// Lease is the host's permission to act on the control state that it holds. The
// zero value is an expired lease. It is safe for concurrent use.
type Lease struct {
	mu    sync.Mutex
	until time.Time
}

// Extend sets the expiry to d after the heartbeat was sent, unless the lease already
// lasts longer.
func (l *Lease) Extend(sent time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := sent.Add(d); until.After(l.until) {
		l.until = until
	}
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return daisyclock.Now().Before(l.until)
}
