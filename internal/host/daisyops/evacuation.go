package daisyops

import "github.com/daisyglade/daisyglade/internal/domain/daisyfleet"

// knowsDomain reports whether a host or a member of a database group is in the failure
// domain. Here no settings list the failure domains.
func (s *Server) knowsDomain(domain string) (known bool) {
	s.options.View.Read(func(state *daisyfleet.State) {
		state.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
			h, ok := o.Value.(daisyfleet.Host)
			known = known || ok && h.FailureDomain == domain
		})
		state.Each(daisyfleet.KindMember, func(o daisyfleet.Object) {
			m, ok := o.Value.(daisyfleet.Member)
			known = known || ok && m.FailureDomain == domain
		})
	})
	return known
}
