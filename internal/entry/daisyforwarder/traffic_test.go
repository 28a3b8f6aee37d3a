package daisyforwarder_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
)

// Guards against bytes that are not counted, or for the wrong purpose: calls count at the
// host that sends them, replies at the gateway.
func TestTrafficIsCounted(t *testing.T) {
	tests := []struct {
		name  string
		kind  daisystatement.Kind
		class string
		want  daisytraffic.Purpose
	}{
		{"Read", daisystatement.KindRead, "c", daisytraffic.PurposeStatements},
		{"Sample", daisystatement.KindStatus, "", daisytraffic.PurposePositions},
		{"StatusOfClient", daisystatement.KindStatus, "c", daisytraffic.PurposeStatements},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, from := f.first()
				req := request(test.kind, "r1")
				req.Class = test.class
				_, _, err := from.forwarder.Run(req)
				assert.NilError(t, err)
				sent, replied := from.traffic.Totals(), gateway.traffic.Totals()
				assert.Assert(t, sent[test.want][daisytraffic.BoundaryRegion] > 0)
				assert.Assert(t, replied[test.want][daisytraffic.BoundaryDomain] > 0)
				assert.Equal(t, sent.Across(daisytraffic.BoundaryRegion), sent[test.want][daisytraffic.BoundaryRegion])
			})
		})
	}
}
