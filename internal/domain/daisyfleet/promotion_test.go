package daisyfleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Guards against hosts of earlier versions that refuse a delta, and so lose control, since
// they do not know the kind of an object that concerns control hosts only.
func TestDeltaLeavesPromotionsOut(t *testing.T) {
	tests := []struct {
		name string
		from uint64
	}{
		{"FullState", 0},
		{"Changes", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s daisyfleet.State
			s.Skip(1)
			leadership := daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: "s"}, Value: daisyfleet.Leadership{Epoch: 1}}
			promotion := daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindPromotion, Name: "s"}, Value: daisyfleet.Promotion{Epoch: 1, Server: "m"}}
			assert.Assert(t, s.Apply(2, daisyfleet.Change{Operations: []daisyfleet.Operation{leadership}}).Accepted)
			assert.Assert(t, s.Apply(3, daisyfleet.Change{Operations: []daisyfleet.Operation{promotion}}).Accepted)
			d := s.Delta(test.from)
			assert.Equal(t, d.From, test.from)
			assert.Equal(t, d.To, uint64(3))
			assert.Equal(t, len(d.Objects), 1)
			assert.Equal(t, d.Objects[0].Kind, daisyfleet.KindLeadership)
		})
	}
}
