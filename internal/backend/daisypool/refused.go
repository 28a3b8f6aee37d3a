package daisypool

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// openRetryDelay is how long no further connection is opened to a server
	// that has refused one because it has too many. It doubles with each refusal.
	openRetryDelay = 150 * time.Millisecond
	// maxOpenRetryDelay bounds it: by then another host, which lost its share, has
	// closed its connections.
	maxOpenRetryDelay = 1200 * time.Millisecond
)

// tooMany reports whether a server refused a connection because it has too many.
func tooMany(err error) bool {
	var refused *daisystatement.Failure
	return errors.As(err, &refused) && refused.Code == daisystatement.CodeTooMany
}

// DialsRefused returns the number of connections that servers refused since they had too
// many.
func (p *Pool) DialsRefused() uint64 { return p.full.Load() }

// yield makes room at a server that has too many connections: it closes the older half of
// the idle ones and delays the next opening. The newer half keeps serving its
// workspaces without new connections. It requires s.mu.
func (s *serverPool) yield(now time.Time) {
	s.fullUntil = now.Add(min(openRetryDelay<<min(s.refusals, 8), maxOpenRetryDelay))
	s.refusals++
	s.pool.full.Add(1)
	for range (len(s.idle) + 1) / 2 {
		s.idle[0].link.Close()
		s.idle = s.idle[1:]
		s.open--
	}
}
