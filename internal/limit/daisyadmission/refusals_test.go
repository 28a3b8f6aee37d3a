package daisyadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
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

// An operation that is denied a token is refused as soon as that is known, with the
// control leader's time to return; one whose token is due soon waits for it.
func TestDeniedOperationIsRefusedAtOnce(t *testing.T) {
	const roundTrip = 24 * time.Millisecond
	tests := []struct {
		name       string
		grant      daisyheartbeat.Demand
		ok         bool
		took       time.Duration
		retryAfter time.Duration
	}{
		{"Denied", daisyheartbeat.Demand{Workspace: "w", Denied: 1, RetryAfter: 1700 * time.Millisecond}, false, roundTrip, 1700 * time.Millisecond},
		{"Granted", daisyheartbeat.Demand{Workspace: "w", Tokens: 1}, true, roundTrip, 0},
		{"InAdvance", daisyheartbeat.Demand{Workspace: "w", Tokens: 1, After: 90 * time.Millisecond}, true, roundTrip + 90*time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c *daisyadmission.Controller
				c = daisyadmission.New(func() {
					go func() {
						demands := c.Demands()
						time.Sleep(roundTrip)
						if len(demands) > 0 {
							c.AddGrants([]daisyheartbeat.Demand{test.grant})
						}
					}()
				})
				c.SetHosts(300)
				c.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 10, Burst: 10}})
				began := time.Now()
				ok, retryAfter := c.Admit("w", 1, 200*time.Millisecond)
				assert.Equal(t, ok, test.ok)
				assert.Equal(t, time.Since(began), test.took)
				assert.Equal(t, retryAfter, test.retryAfter)
				synctest.Wait()
			})
		})
	}
}

// Where the limit is divided, a pool that lacks some of the requested tokens does not end
// the wait of an operation: the host's own part of the rate yields the next token.
func TestDividedLimitIsNotDenied(t *testing.T) {
	const hosts, maxWait = 5, 200 * time.Millisecond
	limit := daisyquota.WorkspaceLimit{Workspace: "w", Rate: 100, Burst: 100} // 11 a second are the host's own.
	synctest.Test(t, func(t *testing.T) {
		pool := daisyquota.NewPool(time.Now(), limit, hosts)
		var c *daisyadmission.Controller
		c = daisyadmission.New(func() {
			go func() {
				for _, d := range c.Demands() {
					pool.Draw(time.Now(), 1000) // Other hosts were faster.
					_, denied, retryAfter := pool.Reserve(time.Now(), d.Tokens)
					c.AddGrants([]daisyheartbeat.Demand{{Workspace: d.Workspace, Denied: denied, RetryAfter: retryAfter}})
				}
			}()
		})
		c.SetHosts(hosts)
		c.SetLimits([]daisyquota.WorkspaceLimit{limit})
		ok, _ := c.Admit("w", 1, maxWait)
		assert.Assert(t, ok)
		synctest.Wait()
	})
}

// Guards against operations that wait for a control leader on a host that no control host
// answers. The own part of a divided limit is waited for if it yields a token in time.
func TestLostControlIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		limit daisyquota.WorkspaceLimit
		ok    bool
		took  time.Duration
	}{
		{"OnDemand", 300, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 10, Burst: 10}, false, 0},
		{"DividedTooSlow", 109, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 150, Burst: 150}, false, 0},
		{"Divided", 5, daisyquota.WorkspaceLimit{Workspace: "w", Rate: 100, Burst: 100}, true, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := daisyadmission.New(func() {})
				c.WatchControl(func() bool { return true })
				c.SetHosts(test.hosts)
				c.SetLimits([]daisyquota.WorkspaceLimit{test.limit})
				began := time.Now()
				refused := c.Decide(t.Context(), "w", daisyorder.Order{Priority: 1}, 200*time.Millisecond)
				assert.Equal(t, refused == nil, test.ok)
				assert.Equal(t, time.Since(began).Truncate(50*time.Millisecond), test.took)
				if !test.ok {
					assert.Equal(t, refused.Cause, daisyadmission.CauseLostControl)
					assert.Assert(t, refused.RetryAfter >= 50*time.Millisecond && refused.RetryAfter < 250*time.Millisecond, "%v", refused.RetryAfter)
					assert.Equal(t, c.Refusals(), daisyadmission.Refusals{LostControl: 1})
				}
			})
		})
	}
}
