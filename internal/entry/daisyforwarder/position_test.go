package daisyforwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// The gateway adds a position of the asked epoch that is recent enough, and nothing
// runs if it has none, so that no read runs on a log that is not fresh enough.
func TestGatewayAddsPosition(t *testing.T) {
	own := daisystatement.Position{Term: 3, Number: 99} // Of a write of the session.
	added := daisystatement.Position{Term: 3, Number: 40}
	tests := []struct {
		name      string
		freshness daisyrequest.Freshness
		stated    daisystatement.Position
		local     bool // The host is the gateway itself.
		old       bool // The gateway does not know how to add a position.
		want      daisystatement.Position
		served    bool
	}{
		{"Added", daisyrequest.Freshness{Epoch: 7, MaxAge: time.Second}, daisystatement.Position{}, false, false, added, true},
		{"LaterStated", daisyrequest.Freshness{Epoch: 7, MaxAge: time.Second}, own, false, false, own, true},
		{"NotAsked", daisyrequest.Freshness{}, own, false, false, own, true},
		{"OtherEpoch", daisyrequest.Freshness{Epoch: 8, MaxAge: time.Second}, daisystatement.Position{}, false, false, daisystatement.Position{}, false},
		{"TooOld", daisyrequest.Freshness{Epoch: 7, MaxAge: 100 * time.Millisecond}, daisystatement.Position{}, false, false, daisystatement.Position{}, false},
		{"Local", daisyrequest.Freshness{Epoch: 7, MaxAge: time.Second}, daisystatement.Position{}, true, false, daisystatement.Position{}, false},
		{"EarlierVersion", daisyrequest.Freshness{Epoch: 7, MaxAge: time.Second}, daisystatement.Position{}, false, true, daisystatement.Position{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, from := f.first()
				gateway.old = test.old
				if test.local {
					from = gateway
				}
				req := request(daisystatement.KindRead, "r1")
				req.Freshness, req.Statement.MinPosition = test.freshness, test.stated
				_, _, err := from.forwarder.Run(req)
				if !test.served {
					assert.ErrorIs(t, err, daisyrequest.ErrNoPosition)
					assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
					assert.Equal(t, len(f.server.asserted), 0)
					return
				}
				assert.NilError(t, err)
				assert.DeepEqual(t, f.server.asserted, []daisystatement.Position{test.want})
			})
		})
	}
}

// A gateway without a position waits for one that is on its way, for a short time.
func TestGatewayWaitsForPosition(t *testing.T) {
	tests := []struct {
		name   string
		comes  time.Duration // When the position comes after the request.
		served bool
	}{
		{"Soon", 45 * time.Millisecond, true},
		{"TooLate", 200 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				gateway, from := f.first()
				gateway.epochs.Store(6) // Of an earlier epoch only.
				req := request(daisystatement.KindRead, "r1")
				req.Freshness = daisyrequest.Freshness{Epoch: 7, MaxAge: time.Second}
				time.AfterFunc(test.comes, func() { gateway.epochs.Store(7) })
				began := time.Now()
				_, _, err := from.forwarder.Run(req)
				assert.Equal(t, err == nil, test.served, "%v", err)
				assert.Assert(t, time.Since(began) <= 100*time.Millisecond)
				assert.Assert(t, gateway.needed.Load() > 0)
			})
		})
	}
}
