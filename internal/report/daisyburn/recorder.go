// Package daisyburn counts requests against the service-level objectives of
// their profiles and reports the burn rates of the error budgets.
//
// A request is good if it was answered, and within the profile's latency if the
// profile sets one. A burn rate of 1 consumes the error budget in exactly the
// period to which the objective applies; see Beyer et al., "The Site
// Reliability Workbook", chapter 5, for windows and rates.
package daisyburn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

const (
	// maxSeries bounds the pairs of workspace and profile that are counted
	// separately; later ones are counted under OtherWorkspaces.
	maxSeries = 2000
	// OtherWorkspaces is the name under which workspaces beyond the bound are counted.
	OtherWorkspaces = "(others)"
	// Latencies are recorded from 10 µs to 2 minutes, in microseconds, with two
	// significant digits.
	minLatencyMicros = 10
	maxLatencyMicros = 120_000_000
	latencyDigits    = 2
)

// causes are the causes under which bad requests are counted.
var causes = [...]daisystream.Cause{
	daisystream.CauseLimit, daisystream.CauseConnection, daisystream.CauseFailover, daisystream.CauseBackend,
	daisystream.CauseUnknown, daisystream.CauseMoved, daisystream.CauseKey, daisystream.CauseRequest,
}

const causeCount = len(causes)

// causeIndex returns the index of a cause in causes, and that of CauseLimit for a
// cause that is not listed.
func causeIndex(c daisystream.Cause) int { return max(0, slices.Index(causes[:], c)) }

type seriesKey struct{ workspace, profile string }

type series struct {
	rings    []*ring
	replica  uint64 // Requests that a replica served.
	requests uint64
}

// Recorder counts the requests of one host. It is safe for concurrent use.
type Recorder struct {
	view *daisyfleet.View

	mu        sync.Mutex
	series    map[seriesKey]*series
	latencies map[string]*hdrhistogram.Histogram // By profile, in microseconds.
}

// NewRecorder returns a recorder that reads the profiles from the view.
func NewRecorder(v *daisyfleet.View) *Recorder {
	return &Recorder{view: v, series: make(map[seriesKey]*series), latencies: make(map[string]*hdrhistogram.Histogram)}
}

// Record implements daisyentry.Recorder.
func (r *Recorder) Record(workspace, profile string, cause daisystream.Cause, took time.Duration, replica bool) {
	p, _ := r.view.Profile(profile)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesFor(seriesKey{workspace: workspace, profile: profile})
	now := time.Now()
	for _, ring := range s.rings {
		c := ring.advance(now)
		switch {
		case cause != daisystream.CauseNone:
			c.bad[causeIndex(cause)]++
		case p.Latency > 0 && took > p.Latency:
			c.slow++
		default:
			c.good++
		}
	}
	s.requests++
	if replica {
		s.replica++
	}
	h := r.latencies[profile]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
		r.latencies[profile] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// seriesFor returns the series that counts the requests of the key, creating it
// if there is none yet.
func (r *Recorder) seriesFor(k seriesKey) *series {
	s := r.series[k]
	if s == nil && len(r.series) >= maxSeries {
		k.workspace = OtherWorkspaces
		s = r.series[k]
	}
	if s == nil {
		s = &series{}
		for _, w := range Windows {
			s.rings = append(s.rings, newRing(w))
		}
		r.series[k] = s
	}
	return s
}

// Count is the number of requests in a window, by their outcome.
type Count struct {
	Window time.Duration
	Good   uint64
	Slow   uint64 // Answered, but over the profile's latency.
	Bad    map[daisystream.Cause]uint64
}

// Series holds one host's counts for a workspace and a profile.
type Series struct {
	Workspace string
	Profile   string
	Objective float64
	Requests  uint64
	Replica   uint64  // Requests that a replica served.
	Counts    []Count // One for each window, the shortest first.
}

// Latency holds percentiles of a profile's latency since the host started.
type Latency struct {
	Profile                string
	Median, P99, P999, Max time.Duration
}

// Report holds the counts of one host.
type Report struct {
	Host      string
	Series    []Series
	Latencies []Latency
}

// Report returns the counts up to now.
func (r *Recorder) Report(host string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Host: host}
	now := time.Now()
	for k, s := range r.series {
		p, _ := r.view.Profile(k.profile)
		out := Series{Workspace: k.workspace, Profile: k.profile, Objective: p.Objective, Requests: s.requests, Replica: s.replica}
		for i, ring := range s.rings {
			out.Counts = append(out.Counts, newCount(Windows[i], ring.sum(now)))
		}
		report.Series = append(report.Series, out)
	}
	slices.SortFunc(report.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Profile, b.Profile))
	})
	for profile, h := range r.latencies {
		report.Latencies = append(report.Latencies, Latency{
			Profile: profile, Median: quantile(h, 50), P99: quantile(h, 99), P999: quantile(h, 99.9), Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	slices.SortFunc(report.Latencies, func(a, b Latency) int { return cmp.Compare(a.Profile, b.Profile) })
	return report
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func newCount(w Window, c counts) Count {
	out := Count{Window: time.Duration(w), Good: uint64(c.good), Slow: uint64(c.slow), Bad: make(map[daisystream.Cause]uint64)}
	for i, n := range c.bad {
		if n > 0 {
			out.Bad[causes[i]] = uint64(n)
		}
	}
	return out
}
