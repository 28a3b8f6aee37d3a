package daisyburn

import "time"

// Window is a length of time over which a burn rate is given.
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

// slotsEach is how many slots a window is divided into.
const slotsEach = 30

// counts are requests by how they ended.
type counts struct {
	good uint32
	slow uint32 // Answered, but later than the profile allows.
	bad  [causeCount]uint32
}

func (c *counts) add(o counts) {
	c.good += o.good
	c.slow += o.slow
	for i := range c.bad {
		c.bad[i] += o.bad[i]
	}
}

// ring counts over one window in slots that are reused.
type ring struct {
	length time.Duration // Of a slot.
	slots  [slotsEach]counts
	latest int64 // The number of the slot last written.
}

func newRing(w Window) *ring { return &ring{length: time.Duration(w) / slotsEach} }

// advance clears the slots that have become too old.
func (r *ring) advance(now time.Time) *counts {
	number := now.UnixNano() / int64(r.length)
	for n := max(r.latest+1, number-slotsEach+1); n <= number; n++ {
		r.slots[n%slotsEach] = counts{}
	}
	r.latest = max(r.latest, number)
	return &r.slots[r.latest%slotsEach]
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
