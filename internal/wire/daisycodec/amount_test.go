package daisycodec_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// Guards against a malformed message that spoils what it is added to: a bucket with a
// level that is not a number never grants a token again.
func TestAmountsOutOfRangeAreRejected(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		t.Run(fmt.Sprint(bad), func(t *testing.T) {
			demands := []daisyheartbeat.Demand{{Workspace: "w", Tokens: bad}}
			denied := []daisyheartbeat.Demand{{Workspace: "w", Denied: bad}}
			_, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Host: "h", Address: addr, Demands: demands}))
			assert.Check(t, err != nil)
			_, err = daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Grants: demands}))
			assert.Check(t, err != nil)
			_, err = daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Grants: denied}))
			assert.Check(t, err != nil)
			now := time.Unix(1000, 0)
			_, err = daisycodec.DecodeCall(daisycodec.EncodeCall(daisycodec.Call{Request: daisyrequest.Request{Weight: bad}}, now), now)
			assert.Check(t, err != nil)
		})
	}
}

func TestNegativeDurationsAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		decode func() error
	}{
		{"GrantAfter", func() error {
			grants := []daisyheartbeat.Demand{{Workspace: "w", Tokens: 1, After: -1}}
			_, err := daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Grants: grants}))
			return err
		}},
		{"CallSent", func() error {
			_, err := daisycodec.DecodeCall(daisycodec.EncodeCall(daisycodec.Call{Sent: -1}, now), now)
			return err
		}},
		{"CallMaxAge", func() error {
			call := daisycodec.Call{Request: daisyrequest.Request{Freshness: daisyrequest.Freshness{MaxAge: -1}}}
			_, err := daisycodec.DecodeCall(daisycodec.EncodeCall(call, now), now)
			return err
		}},
		{"SampleAge", func() error {
			_, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(daisycodec.CallReply{Sample: daisycodec.Sample{Epoch: 1, Age: -1}}))
			return err
		}},
		{"LoadWait", func() error {
			_, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(daisycodec.CallReply{Load: daisyrequest.Load{Wait: -1}}))
			return err
		}},
		{"LoadRun", func() error {
			_, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(daisycodec.CallReply{Load: daisyrequest.Load{Run: -1}}))
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Check(t, test.decode() != nil) })
	}
}

// Guards against fields of a reserve that are lost on the wire, and against counts that
// overflow what the leader sums up.
func TestReservesAreEncoded(t *testing.T) {
	tests := []struct {
		name   string
		demand daisyheartbeat.Demand
		ok     bool
	}{
		{"Demand", daisyheartbeat.Demand{Workspace: "w", Sequence: 3, Reserve: 2, Held: 1, Returned: 4}, true},
		{"Grant", daisyheartbeat.Demand{Workspace: "w", Sequence: 3, Reserve: 2, Lifetime: time.Second}, true},
		{"Negative", daisyheartbeat.Demand{Workspace: "w", Sequence: 3, Held: -1}, false},
		{"TooMany", daisyheartbeat.Demand{Workspace: "w", Sequence: 3, Returned: 1 << 40}, false},
		{"NegativeLifetime", daisyheartbeat.Demand{Workspace: "w", Sequence: 3, Lifetime: -1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			demands := []daisyheartbeat.Demand{test.demand}
			m, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Host: "h", Address: addr, Demands: demands}))
			assert.Equal(t, err == nil, test.ok)
			if test.ok {
				assert.DeepEqual(t, m.Heartbeat.Demands, demands)
			}
		})
	}
}
