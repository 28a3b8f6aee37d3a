package daisyforwarder

import (
	"slices"

	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

// errNoGatewayAtHome returns the error for a request none of whose server's gateways may
// be used.
func errNoGatewayAtHome(req *daisyrequest.Request) error {
	return daisyrequest.NewHomeError(req.Home, "no gateway is up")
}

// hostRegions returns the region of each host in the state. A host whose failure domain
// the settings do not list has none.
func hostRegions(t daisyplacement.Topology, s *daisyfleet.State) map[string]string {
	regions := make(map[string]string)
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok {
			regions[o.Name] = t.Regions[h.FailureDomain]
		}
	})
	return regions
}

// mayUse reports whether the request may be sent to the gateway. The client has chosen
// this host itself, so this host knows the statement wherever it runs.
func (f *Forwarder) mayUse(g daisyplacement.Gateway, req *daisyrequest.Request) bool {
	return req.Home == nil || g.Host == f.options.Host || req.Allows((*f.regions.Load())[g.Host])
}

// usable returns the gateways to which the request may be sent, in their order.
func (f *Forwarder) usable(gateways []daisyplacement.Gateway, req *daisyrequest.Request) []daisyplacement.Gateway {
	if req.Home == nil {
		return gateways
	}
	return slices.DeleteFunc(slices.Clone(gateways), func(g daisyplacement.Gateway) bool { return !f.mayUse(g, req) })
}
