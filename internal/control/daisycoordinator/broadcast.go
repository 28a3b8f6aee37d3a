package daisycoordinator

import "sync"

// broadcast wakes everybody who waits for the next announcement. The zero
// value is usable.
type broadcast struct {
	mu      sync.Mutex
	channel chan struct{}
}

// next returns a channel that is closed at the next announcement.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.channel == nil {
		b.channel = make(chan struct{})
	}
	return b.channel
}

func (b *broadcast) announce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.channel != nil {
		close(b.channel)
		b.channel = nil
	}
}
