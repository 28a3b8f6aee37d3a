package daisyhost

import (
	"expvar"
	"sync"

	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
)

// metrics returns the map of the metrics of all hosts in the process, by name.
var metrics = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("daisyglade") })

// publishMetrics publishes the status and the burn rates of the host in expvar.
func publishMetrics(h *Host) {
	all := new(expvar.Map).Init()
	all.Set("Status", expvar.Func(func() any { return h.status() }))
	all.Set("Burn", expvar.Func(func() any { return daisyburn.Merge([]daisyburn.Report{h.recorder.Report(h.settings.Host)}) }))
	metrics().Set(h.settings.Host, all)
}
