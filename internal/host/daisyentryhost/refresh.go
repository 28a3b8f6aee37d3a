package daisyentryhost

import (
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

const (
	// idleFactor is how many times as long as a refresh of the servers took the next one
	// waits, so that refreshes take a tenth of the host's time at most. When all hosts of a
	// large fleet start, the state changes many times a second, and a small host needs
	// tenths of a second to derive the gateways of thousands of servers.
	idleFactor = 9
	// maxIdle bounds that wait. A server that leaves may get new work for 7 s.
	maxIdle = 2 * time.Second
)

// pacedWork bounds the share of time that repeated work takes. It is not safe for
// concurrent use.
type pacedWork struct {
	nextAt  time.Time
	pending *time.Timer // Set while work was put off.
}

// run does the work, or puts it off until due if it was done a short time ago and is not
// urgent.
func (p *pacedWork) run(urgent bool, work func()) {
	now := time.Now()
	if now.Before(p.nextAt) && !urgent {
		if p.pending == nil {
			p.pending = time.NewTimer(p.nextAt.Sub(now))
		}
		return
	}
	if p.pending != nil {
		p.pending.Stop()
		p.pending = nil
	}
	work()
	took := time.Since(now)
	p.nextAt = now.Add(took + min(idleFactor*took, maxIdle))
}

// due returns a channel that receives when work that was put off is to be run; nil if
// none was.
func (p *pacedWork) due() <-chan time.Time {
	if p.pending == nil {
		return nil
	}
	return p.pending.C
}

// refreshDesired updates what sessions use of the desired state.
func (h *EntryHost) refreshDesired() {
	if d, ok := h.view.Document(); ok {
		if current := h.index.Load(); current == nil || current.Version != d.Version {
			h.applyDocument(d)
		}
	}
	hosts := 0
	h.view.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindHost, func(daisyfleet.Object) { hosts++ })
	})
	h.admission.SetHosts(max(1, hosts))
}

// refreshPlacement updates the servers and their gateways, at once if the evacuated
// failure domains have changed.
func (h *EntryHost) refreshPlacement() {
	evacuations := h.view.Evacuations() // Read first, since the state may change meanwhile.
	known := h.evacuations.Load()
	urgent := known == nil || !slices.Equal(*known, evacuations)
	h.placement.run(urgent, func() {
		h.view.Read(h.forwarder.Refresh)
		h.refreshServers()
		h.router.Refresh()
		h.evacuations.Store(&evacuations)
	})
}

// refreshServers sets this host's share of connections to each server and the
// server's limits, and removes servers that are gone.
func (h *EntryHost) refreshServers() {
	known := make(map[string]bool)
	h.view.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
			if v, ok := o.Value.(daisyfleet.Server); ok {
				known[o.Name] = true
				h.refreshServer(o.Name, v, s.Evacuated(v.FailureDomain))
			}
		})
	})
	for _, name := range h.pool.ServerNames() {
		if !known[name] {
			h.pool.Remove(name)
			h.gateway.Forget(name)
		}
	}
}

func (h *EntryHost) refreshServer(name string, v daisyfleet.Server, evacuated bool) {
	service, gateways := h.service(v.Service), h.forwarder.Gateways(name)
	settings := &h.options.Settings
	maxOpen := gateways.Connections(service.Connections, settings.Host)
	target := daisypool.Target{Server: name, Service: v.Service, Address: v.Address}
	h.pool.Set(target, daisypool.Share{KeepOpen: maxOpen, MaxOpen: maxOpen})
	if gateways.Spread {
		h.gateway.SetSharedSlots(name, v.Slots)
	} else {
		h.gateway.SetSlots(name, v.Slots, settings.Regions[v.FailureDomain] != settings.Region())
	}
	h.gateway.SetEvacuated(name, evacuated)
	h.gateway.SetCold(name, daisygateway.ColdLimit{
		Rate: service.Cold.Rate, Duration: service.Cold.Duration, Cold: v.Cold, Started: v.Started,
		Rank: gateways.Rank(settings.Host), Spread: gateways.Spread,
	})
}
