package daisygateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refused clients that all come again at one time and collide, against low
// classes that come before high ones, and against a wait that starts anew with each
// refusal.
func TestRetryTimesAreSpread(t *testing.T) {
	const interval, wait = 10 * time.Millisecond, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var r retrySchedule
		now := time.Now()
		var times []time.Duration
		for range 50 {
			times = append(times, r.retryAfter(now, 1, wait, 0, interval, 0.5))
		}
		slices.Sort(times)
		assert.Assert(t, times[0] >= wait && times[49] >= wait+49*interval && times[49] <= (wait+49*interval)*11/10, "%v", times)
		for i := range times[:40] { // At most twice the capacity comes in any time.
			assert.Assert(t, times[i+10]-times[i] >= 5*interval, "%v", times)
		}
		low, high := r.retryAfter(now, 2, wait, 0, interval, 0.5), r.retryAfter(now, 0, wait, 0, interval, 0.5)
		assert.Assert(t, low >= wait+50*interval, "%v", low)
		assert.Assert(t, high <= wait*11/10, "%v", high)
		old := r.retryAfter(now, 1, wait, 300*time.Millisecond, interval, 0.5)
		assert.Assert(t, old <= (wait+50*interval-300*time.Millisecond)*11/10, "%v", old)
		for range 500 {
			assert.Assert(t, r.retryAfter(now, 2, wait, 0, interval, 0.5) <= maxRetryAfter*11/10)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, r.retryAfter(time.Now(), 2, wait, 0, interval, 0.5) <= wait*11/10)
	})
}
