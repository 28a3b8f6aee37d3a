package daisyadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

// An operation that is refused without the control leader's word that no token is
// left is counted on its own.
func TestRefusalsAreCountedByCause(t *testing.T) {
	tests := []struct {
		name   string
		answer bool // Whether the control leader answers, with no token.
		want   daisyadmission.Refusals
	}{
		{"PoolEmpty", true, daisyadmission.Refusals{OverRate: 1}},
		{"NoAnswer", false, daisyadmission.Refusals{Unanswered: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c *daisyadmission.Controller
				c = daisyadmission.New(func() {
					go func() {
						if demands := c.Demands(); test.answer && len(demands) == 1 {
							c.AddGrants([]daisyheartbeat.Demand{{Workspace: "w"}})
						}
					}()
				})
				c.SetHosts(300)
				c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 10}})
				ok, _ := c.Admit("w", 1, 200*time.Millisecond)
				assert.Assert(t, !ok)
				synctest.Wait()
				assert.Equal(t, c.Refusals(), test.want)
			})
		})
	}
}
