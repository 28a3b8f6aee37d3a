// Package daisyclock provides a monotonic clock that advances while the machine
// is suspended. Go's monotonic clock stops during a suspension, so a lease
// measured with it would be held after it has expired.
package daisyclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest suspension that is detected; smaller
	// differences are the time between two readings.
	minSuspension = 20 * time.Millisecond
	// maxReadTime is the longest time that the readings of both clocks may take.
	// Slower ones were interrupted and are repeated.
	maxReadTime = 2 * time.Millisecond
)

var suspended struct {
	sync.Mutex
	base    time.Duration // The difference of the clocks at the first reading.
	baseSet bool
	total   time.Duration
}

// Now returns the time of Go's clock plus the time that the machine has been
// suspended since this clock was first read.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Until returns the duration until t, a time derived from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the machine has been suspended since this clock was
// first read. It never decreases.
func Suspended() time.Duration {
	suspended.Lock()
	defer suspended.Unlock()
	d, ok := difference()
	switch {
	case !ok:
	case !suspended.baseSet:
		suspended.base, suspended.baseSet = d, true
	case d-suspended.base > suspended.total+minSuspension:
		suspended.total = d - suspended.base
	}
	return suspended.total
}

// difference returns how far CLOCK_BOOTTIME, which includes suspensions, is ahead
// of CLOCK_MONOTONIC, or false if they could not be read without interruption.
func difference() (time.Duration, bool) {
	const tries = 3
	for range tries {
		before, err1 := read(unix.CLOCK_MONOTONIC)
		boot, err2 := read(unix.CLOCK_BOOTTIME)
		after, err3 := read(unix.CLOCK_MONOTONIC)
		if err1 != nil || err2 != nil || err3 != nil {
			return 0, false
		}
		if after-before <= maxReadTime {
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
