package daisytraffic_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
)

// Guards against bytes that are counted for a cheaper boundary than the one they cross.
func TestCrossed(t *testing.T) {
	tests := []struct {
		name       string
		domain, to string
		regions    [2]string
		want       daisytraffic.Boundary
	}{
		{"SameDomain", "a-1", "a-1", [2]string{"a", "a"}, daisytraffic.BoundaryNone},
		{"SameRegion", "a-1", "a-2", [2]string{"a", "a"}, daisytraffic.BoundaryDomain},
		{"OtherRegion", "a-1", "b-1", [2]string{"a", "b"}, daisytraffic.BoundaryRegion},
		{"NotKnown", "a-1", "", [2]string{"a", ""}, daisytraffic.BoundaryUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var m daisytraffic.Meter
			b := daisytraffic.Crossed(test.domain, test.regions[0], test.to, test.regions[1])
			assert.Equal(t, b, test.want)
			m.Across(b).Add(daisytraffic.PurposePositions, 7)
			m.Across(b).Add(daisytraffic.PurposeControl, 2)
			assert.Equal(t, m.Totals()[daisytraffic.PurposePositions][test.want], uint64(7))
			assert.Equal(t, m.Totals().Across(test.want), uint64(9))
		})
	}
	daisytraffic.Counter{}.Add(daisytraffic.PurposeControl, 1) // Counts nothing.
}
