// Package daisymetrics holds the metrics of a process and serves them in the
// Prometheus text exposition format.
package daisymetrics

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// maxLatency is the longest latency that a histogram holds.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of recorded latencies.
	latencyDigits = 2
)

// percentiles are the latency percentiles that are served.
var percentiles = []float64{50, 90, 99, 99.9}

// series identifies a counter of statements.
type series struct {
	profile string
	code    daisystatement.Code
}

type gauge struct {
	name  string
	value func() float64
}

// Registry holds the metrics of a process. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	statements map[series]uint64
	latencies  map[string]*hdrhistogram.Histogram // By profile, in microseconds.
	waits      map[waitSeries]*waitHistogram
	gauges     []gauge
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{statements: make(map[series]uint64), latencies: make(map[string]*hdrhistogram.Histogram), waits: make(map[waitSeries]*waitHistogram)}
}

// AddGauge adds a gauge whose value is read when the metrics are served.
func (r *Registry) AddGauge(name string, value func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges = append(r.gauges, gauge{name: name, value: value})
}

// RecordStatement implements daisysession.Counter.
func (r *Registry) RecordStatement(profile string, code daisystatement.Code, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements[series{profile, code}]++
	h := r.latencies[profile]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		r.latencies[profile] = h
	}
	_ = h.RecordValue(min(took, maxLatency).Microseconds()) // Longer latencies count as maxLatency.
}

// ServeHTTP writes the metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gauges {
		_, _ = fmt.Fprintf(w, "%s %g\n", g.name, g.value())
	}
	all := make([]series, 0, len(r.statements))
	for s := range r.statements {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.profile, b.profile), cmp.Compare(a.code, b.code))
	})
	for _, s := range all {
		_, _ = fmt.Fprintf(w, "daisyglade_statements_total{profile=%q,code=%q} %d\n", s.profile, s.code, r.statements[s])
	}
	r.writeWaits(w)
	for profile, h := range r.latencies {
		for _, q := range percentiles {
			seconds := (time.Duration(h.ValueAtPercentile(q)) * time.Microsecond).Seconds()
			_, _ = fmt.Fprintf(w, "daisyglade_statement_seconds{profile=%q,quantile=\"%g\"} %g\n", profile, q/100, seconds)
		}
	}
}
