package daisycodec_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// Guards against objectives that hosts with other clocks shift, and against one that has
// passed and is taken for none: the request would go before those that are late.
func TestObjectiveIsCarriedAsTimeLeft(t *testing.T) {
	here, there := time.Unix(1000, 0), time.Unix(2000, 0)
	tests := []struct {
		name      string
		objective time.Time
		want      time.Time
	}{
		{"Ahead", here.Add(300 * time.Millisecond), there.Add(300 * time.Millisecond)},
		{"Passed", here.Add(-300 * time.Millisecond), there.Add(1)},
		{"None", time.Time{}, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			call := daisycodec.Call{Action: daisycodec.ActionRun, Request: daisyrequest.Request{Objective: test.objective}}
			got, err := daisycodec.DecodeCall(daisycodec.EncodeCall(call, here), there)
			assert.NilError(t, err)
			assert.Equal(t, got.Request.Objective, test.want)
		})
	}
}
