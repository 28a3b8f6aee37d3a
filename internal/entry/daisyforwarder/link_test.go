package daisyforwarder_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// A link to a silent gateway is closed long before the statement's deadline. A
// request that was sent to the gateway is never reported as not sent.
func TestSilentGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		gateway, other := f.first()
		_, _, err := other.forwarder.Run(request(daisystatement.KindWrite, "w1"))
		assert.NilError(t, err)
		gateway.silent.Store(true)
		began := time.Now()
		_, _, err = other.forwarder.Run(request(daisystatement.KindWrite, "w2"))
		assert.Assert(t, err != nil && !errors.Is(err, daisyrequest.ErrNotSent), "%v", err)
		assert.Assert(t, time.Since(began) <= 600*time.Millisecond, "took %v", time.Since(began))
		gateway.silent.Store(false)
		gateway.down.Store(true)
		_, _, err = other.forwarder.Run(request(daisystatement.KindWrite, "w3"))
		assert.NilError(t, err)
	})
}

// While messages of this host are held up, a silent link is kept for longer: the reply
// may still come.
func TestSilentLinkIsKeptWhileDelayed(t *testing.T) {
	tests := []struct {
		name    string
		delayed bool
		served  bool
	}{
		{"Delayed", true, true},
		{"NotDelayed", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				_, other := f.first()
				other.delayed.Store(test.delayed)
				_, _, err := other.forwarder.Run(request(daisystatement.KindWrite, "w1"))
				assert.NilError(t, err)
				other.hold.Store(int64(700 * time.Millisecond)) // Replies are held up.
				_, _, err = other.forwarder.Run(request(daisystatement.KindRead, "r1"))
				assert.Equal(t, err == nil, test.served, "%v", err)
				other.hold.Store(0)
			})
		})
	}
}
