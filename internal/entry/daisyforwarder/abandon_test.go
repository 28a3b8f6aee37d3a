package daisyforwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Guards against statements that keep their place and are run though their clients have
// left, and against one reported as not run though it was sent.
func TestClientThatLeftGivesUpItsPlace(t *testing.T) {
	tests := []struct {
		name   string
		busy   int // Statements that use the gateway's four connections, for 10 ms each.
		old    bool
		remote bool
		ran    bool
	}{
		{"Waiting", 8, false, true, false},
		{"WaitingHere", 8, false, false, false},
		{"Running", 0, false, true, true},
		{"WaitingAtEarlierVersion", 8, true, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				from, other := f.first()
				from.old = test.old
				if test.remote {
					from = other
				}
				warm := request(daisystatement.KindRead, "warm")
				_, _, err := from.forwarder.Run(warm)
				assert.NilError(t, err)
				for range test.busy {
					f.wait.Go(func() { _, _, _ = from.forwarder.Run(request(daisystatement.KindRead, "busy")) })
				}
				synctest.Wait()
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(3*time.Millisecond, leave)
				req := request(daisystatement.KindWrite, "left")
				req.Client = ctx
				began := time.Now()
				_, _, err = from.forwarder.Run(req)
				ran, _ := f.server.seen()
				assert.Equal(t, err == nil, test.ran, "%v", err)
				assert.Equal(t, ran[len(ran)-1] == "left", test.ran, "%v", ran)
				if !test.ran {
					assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
					assert.Equal(t, time.Since(began), 3*time.Millisecond)
				}
				time.Sleep(time.Second)
				ran, _ = f.server.seen()
				assert.Equal(t, len(ran), 1+test.busy+map[bool]int{true: 1}[test.ran], "%v", ran)
			})
		})
	}
}
