// Package daisypacer orders what a host sends while its own network link is the
// bottleneck.
//
// Without it, messages wait in the buffers of the kernel and of the network in the order in
// which they were written. A Pacer hands over little more than the link can send, so that
// the others wait where they can be ordered. It never delays a message while the link has
// room: it counts what was sent at the link's full speed.
package daisypacer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
)

const (
	// maxBacklog is how much may be handed over before the link has sent it, as a time:
	// a few messages, so that the link does not idle until the next is chosen.
	maxBacklog = 20 * time.Millisecond
	// overheadBytes is what a message takes on the link besides its content: headers of
	// TCP/IP and WebSocket, and a share of the acknowledgements.
	overheadBytes = 90
)

// Pacer paces the messages of a host. A nil Pacer lets all pass. Use New.
type Pacer struct {
	perByte time.Duration // Time in which the link sends a byte.

	mu       sync.Mutex
	sentBy   time.Time // When the link will have sent what was handed over.
	waiting  []*waiter // In the order of arrival.
	progress daisyorder.Progress
	timer    *time.Timer // Set while messages wait.
	closed   bool
}

type waiter struct {
	ready chan struct{}
	order daisyorder.Order
	bytes int
}

// New returns a Pacer for a link of the speed. It returns nil if the speed is 0, which
// means that it is not known.
func New(bitsPerSecond float64) *Pacer {
	if bitsPerSecond <= 0 || math.IsNaN(bitsPerSecond) {
		return nil
	}
	return &Pacer{perByte: time.Duration(8 / bitsPerSecond * float64(time.Second))}
}

// Charge counts bytes that are sent without waiting.
func (p *Pacer) Charge(bytes int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.charge(time.Now(), bytes)
}

// Wait waits until a message of the size may be sent, and counts it as sent. Messages that
// are first in the order go first. It returns an error if ctx ends before.
func (p *Pacer) Wait(ctx context.Context, bytes int, o daisyorder.Order) error {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	now := time.Now()
	if p.closed || len(p.waiting) == 0 && p.hasRoom(now) {
		p.charge(now, bytes+overheadBytes)
		p.mu.Unlock()
		return nil
	}
	w := &waiter{ready: make(chan struct{}), order: o, bytes: bytes + overheadBytes}
	p.waiting = append(p.waiting, w)
	p.progress.Add(o, now)
	p.schedule(now)
	p.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return nil // It was handed over meanwhile.
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.progress.Remove(o, false, time.Now())
	return ctx.Err()
}

// hasRoom reports whether another message may be handed over.
func (p *Pacer) hasRoom(now time.Time) bool { return p.sentBy.Sub(now) <= maxBacklog }

func (p *Pacer) charge(now time.Time, bytes int) {
	if p.sentBy.Before(now) {
		p.sentBy = now
	}
	p.sentBy = p.sentBy.Add(time.Duration(bytes) * p.perByte)
}

// schedule has the next message handed over as soon as there is room. It requires p.mu.
func (p *Pacer) schedule(now time.Time) {
	if p.timer == nil && len(p.waiting) > 0 && !p.closed {
		p.timer = time.AfterFunc(p.sentBy.Sub(now)-maxBacklog, p.handOver)
	}
}

// handOver lets messages pass until there is no room.
func (p *Pacer) handOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	now := time.Now()
	for len(p.waiting) > 0 && p.hasRoom(now) {
		i := p.first(now)
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.progress.Remove(w.order, true, now)
		p.charge(now, w.bytes)
		close(w.ready)
	}
	p.schedule(now)
}

// first returns the index of the message that goes next. If a class has waited too long,
// it is one of that class. There must be a message.
func (p *Pacer) first(now time.Time) int {
	class, starved := p.progress.Starved(now)
	best := -1
	for i, w := range p.waiting {
		if starved && !w.order.SameClass(class) {
			continue
		}
		if best < 0 || daisyorder.Compare(w.order, p.waiting[best].order, now) < 0 {
			best = i
		}
	}
	return max(best, 0)
}

// Close lets all messages pass from now on.
func (p *Pacer) Close() error {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	for _, w := range p.waiting {
		close(w.ready)
	}
	p.waiting = nil
	return nil
}
