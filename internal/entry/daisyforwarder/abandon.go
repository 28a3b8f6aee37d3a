package daisyforwarder

import (
	"context"

	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// begin gives the call's request a client that leaves when the call is abandoned. The
// returned function must be called when the call has ended.
func (s *peer) begin(call *daisycodec.Call) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	call.Request.Client = ctx
	id := call.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[id] = cancel
	return func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// abandon ends the wait of a call whose client has left. A statement that was sent to the
// server goes on.
func (s *peer) abandon(id uint64) {
	s.mu.Lock()
	cancel := s.waiting[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
