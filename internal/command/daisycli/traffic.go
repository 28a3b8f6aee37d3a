package daisycli

import (
	"fmt"

	"github.com/daisyglade/daisyglade/internal/host/daisyentryhost"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/report/daisymetrics"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
)

// addTraffic adds to the metrics where an entry host's reads go and which bytes cross
// which boundary.
func addTraffic(m *daisymetrics.Registry, h *daisyentryhost.EntryHost) {
	daisytraffic.EachSeries(func(p daisytraffic.Purpose, b daisytraffic.Boundary, purpose, boundary string) {
		name := fmt.Sprintf("daisyglade_bytes_total{purpose=%q,boundary=%q}", purpose, boundary)
		m.AddGauge(name, func() float64 { return float64(h.Load().Traffic[p][b]) })
	})
	for d := daisybalance.SameDomain; d <= daisybalance.OtherRegion; d++ {
		name := fmt.Sprintf("daisyglade_reads_chosen_total{distance=%q}", d)
		m.AddGauge(name, func() float64 { return float64(h.Load().Chosen[d]) })
	}
}
