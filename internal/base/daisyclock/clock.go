// Package daisyclock tells a time that goes on while the machine is suspended.
// The runtime's steady clock stands still meanwhile, so a lease measured with
// it would outlive its term.
package daisyclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// grain is the least suspension that is noticed; smaller differences are
	// the time between two readings.
	grain = 20 * time.Millisecond
	// maxReading is how long a pair of readings may take to be believed.
	maxReading = 2 * time.Millisecond
)

var suspended struct {
	sync.Mutex
	base   time.Duration // The difference of the clocks when the process started.
	based  bool
	latest time.Duration
}

// Now returns the time of the runtime's clock, advanced by the time that the
// machine has been suspended since the process started.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Until returns the time until t, which was made from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the machine has been suspended since the process
// started. It never decreases.
func Suspended() time.Duration {
	suspended.Lock()
	defer suspended.Unlock()
	d, ok := difference()
	switch {
	case !ok:
	case !suspended.based:
		suspended.base, suspended.based = d, true
	case d-suspended.base > suspended.latest+grain:
		suspended.latest = d - suspended.base
	}
	return suspended.latest
}

// difference returns how far the clock that counts suspension is ahead of the
// steady clock, or false if it could not be read without an interruption.
func difference() (time.Duration, bool) {
	const tries = 3
	for range tries {
		before, err1 := read(unix.CLOCK_MONOTONIC)
		boot, err2 := read(unix.CLOCK_BOOTTIME)
		after, err3 := read(unix.CLOCK_MONOTONIC)
		if err1 != nil || err2 != nil || err3 != nil {
			return 0, false
		}
		if after-before <= maxReading {
			return boot - before, true
		}
	}
	return 0, false
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err
}
