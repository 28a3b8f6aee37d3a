package daisylease_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
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
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// oneWay is the one-way latency of the fake network.
const oneWay = 12 * time.Millisecond

// controlHosts is a set of fake control hosts, of which at most one leads.
type controlHosts struct {
	mu     sync.Mutex
	leader netip.AddrPort
	links  []*link
	grants atomic.Bool // The leader grants a token with each reply.
}

// lead makes the control host at the address the leader. All name it to the hosts that
// are connected to them.
func (c *controlHosts) lead(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
	for _, l := range c.links {
		l.push(daisyheartbeat.Reply{Leader: addr})
	}
}

func (c *controlHosts) dial(_ context.Context, addr netip.AddrPort) (daisylease.Link, error) {
	time.Sleep(4 * oneWay) // The TCP and TLS handshakes.
	l := &link{controlHosts: c, addr: addr, replies: make(chan []byte, 64), ended: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, l)
	return l, nil
}

// link answers each heartbeat after a round trip.
type link struct {
	controlHosts *controlHosts
	addr         netip.AddrPort
	replies      chan []byte
	once         sync.Once
	ended        chan struct{}
}

func (l *link) Send(_ context.Context, message []byte) error {
	m, err := daisycodec.DecodeClientMessage(message)
	if err != nil {
		return err
	}
	time.AfterFunc(oneWay, func() {
		l.controlHosts.mu.Lock()
		r := daisyheartbeat.Reply{ID: m.Heartbeat.ID, Leader: l.controlHosts.leader}
		l.controlHosts.mu.Unlock()
		if r.Leader == l.addr {
			r.Lease = 3 * time.Second
			if l.controlHosts.grants.Load() {
				r.Grants = []daisyheartbeat.Demand{{Workspace: "w", Tokens: 1}}
			}
		}
		l.push(r)
	})
	return nil
}

// push sends a reply, which arrives unless the link has ended.
func (l *link) push(r daisyheartbeat.Reply) {
	time.AfterFunc(oneWay, func() {
		select {
		case l.replies <- daisycodec.EncodeHeartbeatReply(r):
		case <-l.ended:
		}
	})
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

// After a restart of the whole fleet, hosts look for a control leader while there is
// none. Once one is elected, each host finds it by a single redirect, without trying
// all control hosts in turn.
func TestHostFindsNewLeader(t *testing.T) {
	controls := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"),
		netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000"),
		netip.MustParseAddrPort("10.0.0.5:7000"),
	}
	// One pause, then a new link and a heartbeat, first to the control host that
	// redirects and then to the leader.
	const maxDelay = 50*time.Millisecond + 2*(4*oneWay+2*oneWay)
	for _, leader := range controls {
		for _, elected := range []time.Duration{400, 420, 440, 460, 480, 500, 520, 540, 560, 580, 600, 755} {
			synctest.Test(t, func(t *testing.T) {
				c := &controlHosts{}
				client := daisylease.New(daisylease.Options{
					Hosts: controls, Dial: c.dial, Eager: true, View: daisyfleet.NewView(),
					Report: func() daisyheartbeat.Heartbeat { return daisyheartbeat.Heartbeat{Host: "h1", Address: controls[0]} },
					Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
				})
				defer func() { assert.NilError(t, client.Close()) }()
				client.Start()
				time.Sleep(elected * time.Millisecond)
				c.lead(leader)
				began := time.Now()
				for !client.Valid() && time.Since(began) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				assert.Assert(t, time.Since(began) <= maxDelay, "leader %v after %d ms: lease after %v", leader, elected, time.Since(began))
			})
		}
	}
}
