package daisymetrics

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// maxWaitSeries bounds the histograms of waits. Classes are the profiles of the desired
// state, which may change.
const maxWaitSeries = 1024

// waitBounds are the upper bounds of the buckets of waits.
var waitBounds = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// waitSeries identifies the waits of a class of requests at a place.
type waitSeries struct {
	place, class string
}

// waitHistogram counts waits by their length.
type waitHistogram struct {
	counts []uint64 // By the index of the least bound that is not exceeded; the last has none.
	count  uint64
	sum    time.Duration
}

// RecordWait records for how long a request of the class waited at the place.
func (r *Registry) RecordWait(place, class string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := waitSeries{place, class}
	h := r.waits[key]
	if h == nil {
		if len(r.waits) >= maxWaitSeries {
			return
		}
		h = &waitHistogram{counts: make([]uint64, len(waitBounds)+1)}
		r.waits[key] = h
	}
	i, _ := slices.BinarySearch(waitBounds, wait)
	h.counts[i]++
	h.count++
	h.sum += wait
}

// writeWaits writes the histograms. It requires r.mu.
func (r *Registry) writeWaits(w io.Writer) {
	keys := slices.SortedFunc(maps.Keys(r.waits), func(a, b waitSeries) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.class, b.class))
	})
	for _, key := range keys {
		h := r.waits[key]
		labels := fmt.Sprintf("place=%q,profile=%q", key.place, key.class)
		total := uint64(0)
		for i, bound := range waitBounds {
			total += h.counts[i]
			_, _ = fmt.Fprintf(w, "daisyglade_wait_seconds_bucket{%s,le=\"%g\"} %d\n", labels, bound.Seconds(), total)
		}
		_, _ = fmt.Fprintf(w, "daisyglade_wait_seconds_bucket{%s,le=\"+Inf\"} %d\n", labels, h.count)
		_, _ = fmt.Fprintf(w, "daisyglade_wait_seconds_sum{%s} %g\n", labels, h.sum.Seconds())
		_, _ = fmt.Fprintf(w, "daisyglade_wait_seconds_count{%s} %d\n", labels, h.count)
	}
}
