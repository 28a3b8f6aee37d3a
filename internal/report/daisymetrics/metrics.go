// Package daisymetrics counts what a process did and serves the counts as text,
// one value a line, in the exposition format of Prometheus.
package daisymetrics

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// histogramMax is the longest time that is told from longer ones.
	histogramMax = time.Minute
	// histogramDigits is the precision of recorded times.
	histogramDigits = 2
)

// quantiles are those that are served.
var quantiles = []float64{50, 90, 99, 99.9}

type series struct {
	profile string
	code    daisystatement.Code
}

type gauge struct {
	name  string
	value func() float64
}

// Registry holds the counts of a process. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	statements map[series]uint64
	times      map[string]*hdrhistogram.Histogram // By profile, in microseconds.
	gauges     []gauge
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{statements: make(map[series]uint64), times: make(map[string]*hdrhistogram.Histogram)}
}

// AddGauge adds a value that is read when the metrics are served.
func (r *Registry) AddGauge(name string, value func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges = append(r.gauges, gauge{name: name, value: value})
}

// Statement implements daisysession.Counter.
func (r *Registry) Statement(profile string, code daisystatement.Code, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements[series{profile, code}]++
	h := r.times[profile]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
		r.times[profile] = h
	}
	_ = h.RecordValue(min(took, histogramMax).Microseconds()) // Longer times count as the longest.
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
	for profile, h := range r.times {
		for _, q := range quantiles {
			seconds := (time.Duration(h.ValueAtPercentile(q)) * time.Microsecond).Seconds()
			_, _ = fmt.Fprintf(w, "daisyglade_statement_seconds{profile=%q,quantile=\"%g\"} %g\n", profile, q/100, seconds)
		}
	}
}
