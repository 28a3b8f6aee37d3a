package daisyburn

import "time"

// Window is the length of time over which a burn rate is computed.
type Window time.Duration

// The windows.
const (
	FiveMinutes = Window(5 * time.Minute)
	OneHour     = Window(time.Hour)
	SixHours    = Window(6 * time.Hour)
	ThreeDays   = Window(72 * time.Hour)
)

// Windows lists the windows, the shortest first.
var Windows = []Window{FiveMinutes, OneHour, SixHours, ThreeDays}

// slotsPerWindow is the number of slots into which a window is divided.
const slotsPerWindow = 30

// counts holds numbers of requests by their outcome.
type counts struct {
	good uint32
	slow uint32 // Answered, but over the profile's latency.
	bad  [causeCount]uint32
}

func (c *counts) add(o counts) {
	c.good += o.good
	c.slow += o.slow
	for i := range c.bad {
		c.bad[i] += o.bad[i]
	}
}

// ring counts requests over one window in a circular buffer of slots.
type ring struct {
	slotLength time.Duration
	slots      [slotsPerWindow]counts
	latest     int64 // Number of the newest slot; slots are numbered from the Unix epoch.
}

func newRing(w Window) *ring { return &ring{slotLength: time.Duration(w) / slotsPerWindow} }

// advance clears the slots that have left the window and returns the newest slot.
func (r *ring) advance(now time.Time) *counts {
	number := now.UnixNano() / int64(r.slotLength)
	for n := max(r.latest+1, number-slotsPerWindow+1); n <= number; n++ {
		r.slots[n%slotsPerWindow] = counts{}
	}
	r.latest = max(r.latest, number)
	return &r.slots[r.latest%slotsPerWindow]
}

// sum returns the counts of the window up to now.
func (r *ring) sum(now time.Time) counts {
	r.advance(now)
	var total counts
	for _, c := range r.slots {
		total.add(c)
	}
	return total
}
