package daisycoordinator

import "sync"

// broadcast wakes all goroutines that wait for the next call of notify. The zero
// value is ready to use.
type broadcast struct {
	mu      sync.Mutex
	channel chan struct{}
}

// next returns a channel that the next call of notify closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.channel == nil {
		b.channel = make(chan struct{})
	}
	return b.channel
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.channel != nil {
		close(b.channel)
		b.channel = nil
	}
}
