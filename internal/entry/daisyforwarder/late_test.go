package daisyforwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Guards against a transaction that stays open since the reply to its BEGIN came after its
// caller had given up.
func TestTransactionOfLateBeginIsClosed(t *testing.T) {
	tests := []struct {
		name string
		late time.Duration // The reply, after the caller's deadline.
	}{
		{"InTime", -time.Millisecond},
		{"WhenGivenUp", 50 * time.Millisecond},
		{"Late", 250 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				_, _, err := other.forwarder.Run(request(daisystatement.KindRead, "warm"))
				assert.NilError(t, err)
				req := request(daisystatement.KindBegin, "begin")
				req.Deadline = time.Now().Add(100 * time.Millisecond)
				other.hold.Store(int64(90*time.Millisecond + test.late)) // BEGIN takes 10 ms.
				_, pinned, err := other.forwarder.Run(req)
				if err == nil {
					pinned.Close()
				} else {
					assert.ErrorIs(t, err, context.DeadlineExceeded)
				}
				time.Sleep(time.Second)
				assert.Equal(t, gateway.gateway.Active(), 0)
				_, rolledBack := f.server.seen()
				assert.Equal(t, rolledBack, 1)
			})
		})
	}
}
