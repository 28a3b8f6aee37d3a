// Package daisyprobe probes primaries on behalf of the control leader, which
// requests it when a holder cannot reach its primary.
package daisyprobe

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

const (
	// probeInterval is the time between two probes of a primary.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is how long a primary may take to answer.
	probeTimeout = 300 * time.Millisecond
	// failureThreshold is the number of consecutive failed probes after which a
	// primary is reported as not answering.
	failureThreshold = 2
	// targetTTL is how long a primary is probed after the last request for it.
	targetTTL = 1500 * time.Millisecond
)

// Prober reports whether a backend server answers.
type Prober interface {
	Probe(ctx context.Context, addr netip.AddrPort) error
}

// target is a primary that is probed.
type target struct {
	probe       daisyheartbeat.Probe
	requestedAt time.Time
	failures    int
	conclusive  bool // The last probe succeeded, or failureThreshold probes in a row failed.
}

// Watcher probes the requested primaries. Use New.
type Watcher struct {
	prober Prober
	wake   func() // Called after each probe with a conclusive result.
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	targets map[daisyheartbeat.OwnershipTerm]*target
}

// New returns a watcher that calls wake after each probe that leaves an observation
// to report.
func New(p Prober, wake func()) *Watcher {
	w := &Watcher{prober: p, wake: wake, targets: make(map[daisyheartbeat.OwnershipTerm]*target)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Add requests probes of the primaries for targetTTL.
func (w *Watcher) Add(probes []daisyheartbeat.Probe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	for _, p := range probes {
		if t := w.targets[p.OwnershipTerm]; t != nil {
			t.requestedAt = time.Now()
			continue
		}
		t := &target{probe: p, requestedAt: time.Now()}
		w.targets[p.OwnershipTerm] = t
		w.wait.Go(func() { w.run(t) })
	}
}

// run probes one primary until the last request for it has expired.
func (w *Watcher) run(t *target) {
	for w.ctx.Err() == nil && !w.removeExpired(t) {
		ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
		err := w.prober.Probe(ctx, t.probe.Address)
		cancel()
		w.record(t, err)
		select {
		case <-time.After(probeInterval):
		case <-w.ctx.Done():
		}
	}
}

// removeExpired removes the target if the last request for it has expired, and
// reports whether it did.
func (w *Watcher) removeExpired(t *target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(t.requestedAt) < targetTTL {
		return false
	}
	delete(w.targets, t.probe.OwnershipTerm)
	return true
}

func (w *Watcher) record(t *target, err error) {
	w.mu.Lock()
	t.conclusive = err == nil || t.failures+1 >= failureThreshold
	if err == nil {
		t.failures = 0
	} else {
		t.failures++
	}
	conclusive := t.conclusive
	w.mu.Unlock()
	if conclusive {
		w.wake()
	}
}

// Observations returns whether the requested primaries answer. It omits those with
// no conclusive result yet.
func (w *Watcher) Observations() []daisyheartbeat.Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	var observations []daisyheartbeat.Observation
	for _, t := range w.targets {
		if t.conclusive {
			observations = append(observations, daisyheartbeat.Observation{OwnershipTerm: t.probe.OwnershipTerm, Member: t.probe.Member, Answers: t.failures == 0})
		}
	}
	return observations
}

// Close stops all probes and waits until they have ended.
func (w *Watcher) Close() error {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.wait.Wait()
	return nil
}
