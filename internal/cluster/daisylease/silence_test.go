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
)

// A client notices that its messages are held up, and for a short time that they were.
func TestDelayIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr := netip.MustParseAddrPort("10.0.0.1:7000")
		control := &controlHosts{leader: addr}
		var slow atomic.Bool
		client := daisylease.New(daisylease.Options{
			Hosts: []netip.AddrPort{addr}, View: daisyfleet.NewView(), Eager: true,
			Dial: func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
				l, err := control.dial(ctx, addr)
				return slowLink{l, &slow}, err
			},
			Report: func() daisyheartbeat.Heartbeat { return daisyheartbeat.Heartbeat{Host: "h1", Address: addr} },
			Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
		client.Start()
		time.Sleep(time.Second)
		assert.Assert(t, !client.Delayed())
		slow.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, client.Delayed())
		slow.Store(false)
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, client.Delayed())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !client.Delayed())
		assert.NilError(t, client.Close())
	})
}

// slowLink holds up the messages that it receives.
type slowLink struct {
	daisylease.Link
	slow *atomic.Bool
}

func (l slowLink) Receive(ctx context.Context) ([]byte, error) {
	b, err := l.Link.Receive(ctx)
	if l.slow.Load() {
		time.Sleep(300 * time.Millisecond)
	}
	return b, err
}

// silentLink is a link to a control host that answers nothing, if it is affected, while
// silent is set.
type silentLink struct {
	daisylease.Link
	affected bool
	silent   *atomic.Bool
}

func (l silentLink) Send(ctx context.Context, message []byte) error {
	if l.affected && l.silent.Load() {
		return nil
	}
	return l.Link.Send(ctx, message)
}

// Guards against operations that wait for tokens of a leader that is gone: a host finds
// the next leader soon after the election.
func TestHostLeavesSilentLeader(t *testing.T) {
	const election = 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		first, second := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
		control := &controlHosts{leader: first}
		var silent, found atomic.Bool
		client := daisylease.New(daisylease.Options{
			Hosts: []netip.AddrPort{first, second}, View: daisyfleet.NewView(), Eager: true,
			Dial: func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
				if addr == first && silent.Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				l, err := control.dial(ctx, addr)
				return silentLink{l, addr == first, &silent}, err
			},
			Report: func() daisyheartbeat.Heartbeat {
				return daisyheartbeat.Heartbeat{Host: "h1", Address: first, Demands: []daisyheartbeat.Demand{{Workspace: "w", Tokens: 1}}}
			},
			Grant: func([]daisyheartbeat.Demand) { found.Store(true) },
			Log:   &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
		client.Start()
		time.Sleep(2 * time.Second)
		control.grants.Store(true)
		silent.Store(true)
		wait := func(until func() bool) { // Operations request tokens all the time.
			for began := time.Now(); !until() && time.Since(began) < time.Minute; time.Sleep(10 * time.Millisecond) {
				client.Wake()
			}
		}
		began := time.Now()
		wait(func() bool { return time.Since(began) >= election })
		control.lead(second)
		began = time.Now()
		wait(found.Load)
		const most = 4*oneWay + 4*oneWay + 60*time.Millisecond // A new link, two heartbeats, the pause between.
		assert.Assert(t, time.Since(began) <= most, "tokens %v after the election", time.Since(began))
		assert.NilError(t, client.Close())
	})
}
