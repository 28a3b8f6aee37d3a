package daisyforwarder_test

import (
	"errors"
	"sync"
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

// Guards against hosts that learn of a queue only from the statements that waited in it:
// a refusal for load states the load too.
func TestRefusalStatesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		_, from := f.first()
		var stated daisyrequest.Load // With the refusal.
		from.forwarder.OnLoad = func(req daisyrequest.Request, l daisyrequest.Load) {
			if req.Statement.Text == "refused" {
				stated = l
			}
		}
		run := func(text string, sendIn time.Duration) error {
			req := request(daisystatement.KindRead, text)
			req.SendDeadline = time.Now().Add(sendIn)
			_, _, err := from.forwarder.Run(req)
			return err
		}
		var wait sync.WaitGroup
		for range 100 {
			wait.Go(func() { _ = run("r1", time.Second) })
		}
		time.Sleep(20 * time.Millisecond)
		overload := (*daisyrequest.OverloadError)(nil)
		assert.Assert(t, errors.As(run("refused", 30*time.Millisecond), &overload))
		assert.Assert(t, stated.Wait > 30*time.Millisecond, "%v", stated)
		wait.Wait()
	})
}
