// Package daisyprobe probes primaries on behalf of the control leader, which
// asks for it when a holder cannot reach its primary.
package daisyprobe

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
)

const (
	// probeInterval is the time between two probes of a primary.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is how long a primary may take to answer.
	probeTimeout = 300 * time.Millisecond
	// silentProbes is how many probes in a row must fail to call it silent.
	silentProbes = 2
	// targetLife is how long a primary is probed after it was last asked for.
	targetLife = 1500 * time.Millisecond
)

// Prober reports whether a backend server answers.
type Prober interface {
	Probe(ctx context.Context, addr netip.AddrPort) error
}

type target struct {
	probe  daisyheartbeat.Probe
	asked  time.Time
	failed int
	known  bool // The primary was probed.
}

// Watcher probes the primaries that it is asked for. Use New.
type Watcher struct {
	prober Prober
	wake   func() // Called when there is something new to report.
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	targets map[daisyheartbeat.OwnershipTerm]*target
}

// New returns a watcher that calls wake when there is news.
func New(p Prober, wake func()) *Watcher {
	w := &Watcher{prober: p, wake: wake, targets: make(map[daisyheartbeat.OwnershipTerm]*target)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Add lets the primaries be probed for a while.
func (w *Watcher) Add(probes []daisyheartbeat.Probe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	for _, p := range probes {
		if t := w.targets[p.OwnershipTerm]; t != nil {
			t.asked = time.Now()
			continue
		}
		t := &target{probe: p, asked: time.Now()}
		w.targets[p.OwnershipTerm] = t
		w.wait.Go(func() { w.run(t) })
	}
}

// run probes one primary until it is no longer asked for.
func (w *Watcher) run(t *target) {
	for w.ctx.Err() == nil && !w.retire(t) {
		ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
		err := w.prober.Probe(ctx, t.probe.Address)
		cancel()
		w.note(t, err)
		select {
		case <-time.After(probeInterval):
		case <-w.ctx.Done():
		}
	}
}

func (w *Watcher) retire(t *target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(t.asked) < targetLife {
		return false
	}
	delete(w.targets, t.probe.OwnershipTerm)
	return true
}

func (w *Watcher) note(t *target, err error) {
	w.mu.Lock()
	t.known = err == nil || t.failed+1 >= silentProbes
	if err == nil {
		t.failed = 0
	} else {
		t.failed++
	}
	known := t.known
	w.mu.Unlock()
	if known {
		w.wake()
	}
}

// Observations returns what is known of the primaries asked for.
func (w *Watcher) Observations() []daisyheartbeat.Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sights []daisyheartbeat.Observation
	for _, t := range w.targets {
		if t.known {
			sights = append(sights, daisyheartbeat.Observation{OwnershipTerm: t.probe.OwnershipTerm, Member: t.probe.Member, Answers: t.failed == 0})
		}
	}
	return sights
}

// Close stops the probing and waits for it.
func (w *Watcher) Close() error {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.wait.Wait()
	return nil
}
