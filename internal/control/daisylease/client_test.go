package daisylease_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/control/daisylease"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// trip is the latency of the fake network, one way.
const trip = 12 * time.Millisecond

// council is a set of fake control hosts, of which at most one leads.
type council struct {
	mu     sync.Mutex
	leader netip.AddrPort
}

func (c *council) lead(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

func (c *council) dial(_ context.Context, addr netip.AddrPort) (daisylease.Link, error) {
	time.Sleep(4 * trip) // The connection and the handshake on it.
	return &link{council: c, addr: addr, replies: make(chan []byte, 64), ended: make(chan struct{})}, nil
}

// link answers each heartbeat after a round trip.
type link struct {
	council *council
	addr    netip.AddrPort
	replies chan []byte
	once    sync.Once
	ended   chan struct{}
}

func (l *link) Send(_ context.Context, message []byte) error {
	u, err := daisycodec.DecodeClientMessage(message)
	if err != nil {
		return err
	}
	time.AfterFunc(trip, func() {
		l.council.mu.Lock()
		r := daisyheartbeat.Reply{ID: u.Heartbeat.ID, Leader: l.council.leader}
		l.council.mu.Unlock()
		if r.Leader == l.addr {
			r.Lease = 3 * time.Second
		}
		time.AfterFunc(trip, func() { l.replies <- daisycodec.EncodeHeartbeatReply(r) })
	})
	return nil
}

func (l *link) Receive(ctx context.Context) ([]byte, error) {
	select {
	case b := <-l.replies:
		return b, nil
	case <-l.ended:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) Close() { l.once.Do(func() { close(l.ended) }) }

// A whole fleet restarts: hosts look for a control leader while there is none.
// Once one is elected each host finds it by one referral, without going round
// all control hosts.
func TestHostFindsNewLeader(t *testing.T) {
	controls := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"),
		netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000"),
		netip.MustParseAddrPort("10.0.0.5:7000"),
	}
	// One pause, and a link and a heartbeat each to the host that refers and to the
	// leader.
	const most = 50*time.Millisecond + 2*(4*trip+2*trip)
	for _, leader := range controls {
		for _, elected := range []time.Duration{400, 420, 440, 460, 480, 500, 520, 540, 560, 580, 600, 755} {
			synctest.Test(t, func(t *testing.T) {
				c := &council{}
				k := daisylease.New(daisylease.Options{
					Hosts: controls, Dial: c.dial, Eager: true, View: daisyfleet.NewView(),
					Report: func() daisyheartbeat.Heartbeat { return daisyheartbeat.Heartbeat{Host: "h1", Address: controls[0]} },
					Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
				})
				defer func() { assert.NilError(t, k.Close()) }()
				k.Start()
				time.Sleep(elected * time.Millisecond)
				c.lead(leader)
				began := time.Now()
				for !k.Valid() && time.Since(began) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				assert.Assert(t, time.Since(began) <= most, "leader %v after %d ms: lease after %v", leader, elected, time.Since(began))
			})
		}
	}
}
