package daisycoordinator

import "sync"

// notifier wakes all goroutines that wait for the next call of notify. The zero
// value is ready to use.
type notifier struct {
	mu      sync.Mutex
	channel chan struct{}
}

// next returns a channel that the next call of notify closes.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.channel == nil {
		n.channel = make(chan struct{})
	}
	return n.channel
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.channel != nil {
		close(n.channel)
		n.channel = nil
	}
}
