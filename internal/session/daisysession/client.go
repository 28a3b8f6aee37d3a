package daisysession

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// DoFor is like Do for a client that may leave meanwhile, which ends ctx. A statement that
// waits then gives back its place and is not sent; one that was sent goes on.
func (s *Session) DoFor(ctx context.Context, st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	s.client = ctx
	return s.Do(st, arrived)
}

// clientContext returns the context that ends when the client has left.
func (s *Session) clientContext() context.Context {
	if s.client == nil {
		return context.Background()
	}
	return s.client
}
