package daisyhost

import (
	"expvar"
	"sync"

	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
)

// metrics holds the metrics of every host of the process, by name.
var metrics = sync.OnceValue(func() *expvar.Map { return expvar.NewMap("daisyglade") })

// publish lets expvar show the status of the host and its burn rates.
func publish(h *Host) {
	all := new(expvar.Map).Init()
	all.Set("Status", expvar.Func(func() any { return h.status() }))
	all.Set("Burn", expvar.Func(func() any { return daisyburn.Merge([]daisyburn.Report{h.recorder.Report(h.settings.Host)}) }))
	metrics().Set(h.settings.Host, all)
}
