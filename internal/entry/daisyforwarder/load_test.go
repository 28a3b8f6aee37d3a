package daisyforwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Guards against hosts that decide without the load of the servers, and against a
// field that a host of an earlier protocol refuses together with the answer.
func TestReplyStatesLoad(t *testing.T) {
	tests := []struct {
		name  string
		local bool // The caller is the gateway itself.
		old   bool // The caller speaks the first protocol.
		want  []daisyrequest.Load
	}{
		{"Remote", false, false, []daisyrequest.Load{{Run: 10 * time.Millisecond}}},
		{"Local", true, false, []daisyrequest.Load{{Run: 10 * time.Millisecond}}},
		{"EarlierVersion", false, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, from := f.first()
				from.old = test.old
				if test.local {
					from = gateway
				}
				var got []daisyrequest.Load
				from.forwarder.OnLoad = func(_ daisyrequest.Request, l daisyrequest.Load) { got = append(got, l) }
				_, _, err := from.forwarder.Run(request(daisystatement.KindRead, "r1"))
				assert.NilError(t, err)
				assert.DeepEqual(t, got, test.want)
			})
		})
	}
}
