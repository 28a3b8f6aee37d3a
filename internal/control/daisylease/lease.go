package daisylease

import (
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

// Lease is the host's right to act on the state that it holds. The zero value
// is a lease that has run out. It is safe for concurrent use.
type Lease struct {
	mu    sync.Mutex
	until time.Time
}

// Extend prolongs the lease to the duration after the heartbeat was sent. It
// never shortens it.
func (l *Lease) Extend(sent time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := sent.Add(d); until.After(l.until) {
		l.until = until
	}
}

// Valid reports whether the lease holds at this moment.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return daisyclock.Now().Before(l.until)
}
