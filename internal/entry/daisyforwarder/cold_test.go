package daisyforwarder_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// Guards against a host that does not learn of the budget of a cold server, and against a
// host of an earlier version that gets fields that its decoder refuses; for that one the
// refusal is one of a statement that was not sent.
func TestBudgetOfColdServerIsTold(t *testing.T) {
	tests := []struct {
		name string
		from int // 0 is the gateway itself.
		old  bool
	}{{"Gateway", 0, false}, {"OtherHost", 1, false}, {"EarlierVersion", 1, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				gateway.gateway.SetCold(serverName, daisygateway.ColdLimit{Rate: 10, Cold: true})
				time.Sleep(10 * time.Second)
				from := []*host{gateway, other}[test.from]
				from.old = test.old
				var left []float64
				from.forwarder.OnCold = func(server string, l float64, cold bool) {
					assert.Equal(t, server, serverName)
					assert.Equal(t, cold, !test.old)
					left = append(left, l)
				}
				var err error
				for range 10 {
					if _, _, err = from.forwarder.Run(request(daisystatement.KindRead, "r")); err != nil {
						break
					}
				}
				assert.Assert(t, errors.Is(err, daisyrequest.ErrNotSent) && !errors.Is(err, daisyrequest.ErrUnreachable), "%v", err)
				assert.Equal(t, errors.Is(err, daisyrequest.ErrOverBudget), !test.old)
				assert.Assert(t, test.old || left[0] < 1 && left[len(left)-1] <= left[0], "%v", left)
			})
		})
	}
}
