package daisyplacement

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Fingerprint returns a hash of what Topology.Gateways depends on in the state. Most changes
// of the state do not affect it, and deriving the gateways costs a small host
// milliseconds.
func Fingerprint(s *daisyfleet.State) (sum uint64) {
	s.Each(daisyfleet.KindHost, func(o daisyfleet.Object) {
		if h, ok := o.Value.(daisyfleet.Host); ok {
			sum += hashOf("host", o.Name, h.FailureDomain, h.Address.String(), fmt.Sprint(h.Up && !h.Leaving, s.Evacuated(h.FailureDomain)))
		}
	})
	s.Each(daisyfleet.KindServer, func(o daisyfleet.Object) {
		if v, ok := o.Value.(daisyfleet.Server); ok {
			sum += hashOf("server", o.Name, v.FailureDomain)
		}
	})
	return sum
}

// hashOf returns a hash of the texts in their order.
func hashOf(texts ...string) uint64 {
	d := xxhash.New()
	for _, text := range texts {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
