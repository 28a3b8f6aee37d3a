package daisylease_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisylease"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// protocolLink is a link to a control host of the protocol that records demands.
type protocolLink struct {
	daisylease.Link
	protocol int
	demands  chan []daisyheartbeat.Demand
}

func (l protocolLink) Protocol() int { return l.protocol }

func (l protocolLink) Send(ctx context.Context, message []byte) error {
	m, err := daisycodec.DecodeClientMessage(message)
	if err != nil {
		return err
	}
	select {
	case l.demands <- m.Heartbeat.Demands:
	default:
	}
	return l.Link.Send(ctx, message)
}

// newTestClient returns a client of three control hosts.
func newTestClient(controls []netip.AddrPort, dial daisylease.Dial) *daisylease.Client {
	return daisylease.New(daisylease.Options{
		Hosts: controls, View: daisyfleet.NewView(), Eager: true, Dial: dial,
		Report: func() daisyheartbeat.Heartbeat {
			demands := []daisyheartbeat.Demand{{Workspace: "v", Tokens: 1, Sequence: 2, Reserve: 1}, {Workspace: "w", Sequence: 3, Reserve: 1}}
			return daisyheartbeat.Heartbeat{Host: "h1", Address: controls[0], Demands: demands}
		},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
}

func testControls() []netip.AddrPort {
	return []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000"),
	}
}

// Guards against a host that is cut off and takes it for an overload, and against one that
// reports a lost leader as lost control though another is being elected. A host that only
// followers answer has lost control once its lease has ended.
func TestLostControlIsNoticed(t *testing.T) {
	tests := []struct {
		name   string
		silent int // Number of control hosts that stop answering, the leader first.
		lost   time.Duration
	}{
		{"Election", 1, 3 * time.Second},
		{"AllButOne", 2, 3 * time.Second},
		{"CutOff", 3, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controls := testControls()
				control := &controlHosts{leader: controls[0]}
				var silent atomic.Bool
				client := newTestClient(controls, func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
					affected := false
					for _, c := range controls[:test.silent] {
						affected = affected || c == addr
					}
					if affected && silent.Load() {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					l, err := control.dial(ctx, addr)
					return silentLink{l, affected, &silent}, err
				})
				client.Start()
				time.Sleep(2 * time.Second)
				assert.Assert(t, !client.Lost())
				silent.Store(true)
				control.lead(netip.AddrPort{})
				for began := time.Now(); time.Since(began) < test.lost-500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
					assert.Assert(t, !client.Lost(), "after %v", time.Since(began))
				}
				time.Sleep(time.Second)
				since, ok := client.Disconnected()
				assert.Assert(t, ok && time.Since(since) >= test.lost, "%v %v", since, ok)
				silent.Store(false)
				control.lead(controls[1])
				time.Sleep(time.Second)
				assert.Assert(t, !client.Lost())
				assert.NilError(t, client.Close())
			})
		})
	}
}

// transferLink is a link on which bytes of a large message arrive until a time.
type transferLink struct {
	daisylease.Link
	until *atomic.Int64 // Unix nanoseconds.
}

func (l transferLink) LastReceived() time.Time {
	if until := time.Unix(0, l.until.Load()); time.Now().After(until) {
		return until
	}
	return time.Now()
}

func (l transferLink) Receive(ctx context.Context) ([]byte, error) {
	b, err := l.Link.Receive(ctx)
	time.Sleep(time.Until(time.Unix(0, l.until.Load())))
	return b, err
}

// Guards against a host that reports lost control, or leaves the leader, while a large
// change of the state arrives over a narrow network link.
func TestControlIsNotLostWhileStateArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controls := testControls()
		control := &controlHosts{leader: controls[0]}
		var until atomic.Int64
		client := newTestClient(controls, func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
			l, err := control.dial(ctx, addr)
			return daisylease.Counted(transferLink{l, &until}, daisytraffic.Counter{}), err
		})
		client.Start()
		time.Sleep(3 * time.Second)
		dials := client.Dials()
		until.Store(time.Now().Add(2 * time.Second).UnixNano())
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, !client.Lost(), "after %v", time.Since(began))
		}
		assert.Equal(t, client.Dials(), dials)
		assert.NilError(t, client.Close())
	})
}

// Guards against control hosts of an earlier version, which close a link on which a field
// comes that they do not know.
func TestReservesAreSentToNewControlHostsOnly(t *testing.T) {
	tests := []struct {
		name     string
		protocol int
		want     []daisyheartbeat.Demand
	}{
		{"Earlier", daisylink.ProtocolReservation, []daisyheartbeat.Demand{{Workspace: "v", Tokens: 1}}},
		{"Present", daisylink.ProtocolLoad, []daisyheartbeat.Demand{{Workspace: "v", Tokens: 1, Sequence: 2, Reserve: 1}, {Workspace: "w", Sequence: 3, Reserve: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controls := testControls()
				control := &controlHosts{leader: controls[0]}
				demands := make(chan []daisyheartbeat.Demand, 1)
				client := newTestClient(controls, func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
					l, err := control.dial(ctx, addr)
					return daisylease.Counted(protocolLink{l, test.protocol, demands}, daisytraffic.Counter{}), err
				})
				client.Start()
				assert.DeepEqual(t, <-demands, test.want)
				assert.NilError(t, client.Close())
			})
		})
	}
}
