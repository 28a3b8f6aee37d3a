package daisyentryhost

import (
	"net/netip"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
)

// trafficTo returns the counter of bytes to the host at the address. The control state
// does not list control hosts, so what they cross is not known.
func (h *EntryHost) trafficTo(addr netip.AddrPort) daisytraffic.Counter {
	domain := ""
	h.view.Read(func(s *daisyfleet.State) {
		s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
			if v, ok := o.Value.(daisyfleet.Host); ok && v.Address == addr {
				domain = v.FailureDomain
			}
		})
	})
	return h.trafficAcross(domain)
}

// trafficToHost returns the counter of bytes to the named host.
func (h *EntryHost) trafficToHost(name string) daisytraffic.Counter {
	v, _ := h.view.Host(name)
	return h.trafficAcross(v.FailureDomain)
}

func (h *EntryHost) trafficAcross(domain string) daisytraffic.Counter {
	s := &h.options.Settings
	return h.traffic.Across(daisytraffic.Crossed(s.FailureDomain, s.Region(), domain, s.Regions[domain]))
}
