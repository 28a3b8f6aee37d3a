package daisylease_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strconv"
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
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	crowdHosts = 300
	// The processor time of a control host for opening a link and for a heartbeat.
	dialCost, heartbeatCost = time.Millisecond, 100 * time.Microsecond
)

var errRefused = errors.New("connection refused")

// busyControl is a set of fake control hosts of one processor each.
type busyControl struct {
	addresses []netip.AddrPort
	transfer  time.Duration // How long the state takes over the network link of a host.

	mu     sync.Mutex
	leader netip.AddrPort
	down   bool
	busy   map[netip.AddrPort]time.Time // Until when a control host works on what it has received.
	dials  int
	links  map[*busyLink]bool
}

// work waits for the control host's processor and uses it.
func (c *busyControl) work(ctx context.Context, addr netip.AddrPort, cost time.Duration) error {
	c.mu.Lock()
	done := time.Now()
	if c.busy[addr].After(done) {
		done = c.busy[addr]
	}
	done = done.Add(cost)
	c.busy[addr] = done
	c.mu.Unlock()
	select {
	case <-time.After(time.Until(done)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *busyControl) dial(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
	c.mu.Lock()
	c.dials++
	down := c.down
	c.mu.Unlock()
	time.Sleep(2 * oneWay)
	if down {
		return nil, errRefused
	}
	if err := c.work(ctx, addr, dialCost); err != nil {
		return nil, err
	}
	l := &busyLink{control: c, addr: addr, replies: make(chan []byte, 1024), ended: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[l] = true
	return l, nil
}

// lead makes a control host the leader, or none, and names it to the connected hosts.
func (c *busyControl) lead(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.down = addr, false
	for l := range c.links {
		if addr.IsValid() {
			l.deliver(daisyheartbeat.Reply{Leader: addr}, oneWay)
		}
	}
}

// lose ends all links and refuses new ones until lead is called.
func (c *busyControl) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.down = netip.AddrPort{}, true
	for l := range c.links {
		go l.Close()
	}
}

func (c *busyControl) countDials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// busyLink is a link of one host. The state arrives before the first reply of a leader.
type busyLink struct {
	control    *busyControl
	addr       netip.AddrPort
	replies    chan []byte
	once       sync.Once
	ended      chan struct{}
	stateUntil atomic.Int64 // Unix nanoseconds at which the state has arrived; 0 if it was not sent.
}

func (l *busyLink) Send(ctx context.Context, message []byte) error {
	m, err := daisycodec.DecodeClientMessage(message)
	if err != nil {
		return err
	}
	go func() {
		if l.control.work(ctx, l.addr, heartbeatCost) != nil {
			return
		}
		l.control.mu.Lock()
		r := daisyheartbeat.Reply{ID: m.Heartbeat.ID, Leader: l.control.leader}
		l.control.mu.Unlock()
		delay := 2 * oneWay
		if r.Leader == l.addr {
			r.Lease = 3 * time.Second
			l.stateUntil.CompareAndSwap(0, time.Now().Add(l.control.transfer).UnixNano())
			delay = max(delay, time.Until(time.Unix(0, l.stateUntil.Load())))
		}
		l.deliver(r, delay)
	}()
	return nil
}

func (l *busyLink) deliver(r daisyheartbeat.Reply, delay time.Duration) {
	time.AfterFunc(delay, func() {
		select {
		case l.replies <- daisycodec.EncodeHeartbeatReply(r):
		case <-l.ended:
		}
	})
}

// LastReceived reports bytes of the state while it arrives.
func (l *busyLink) LastReceived() time.Time {
	until := time.Unix(0, l.stateUntil.Load())
	if now := time.Now(); now.Before(until) {
		return now
	}
	return until
}

func (l *busyLink) Receive(ctx context.Context) ([]byte, error) {
	select {
	case b := <-l.replies:
		return b, nil
	case <-l.ended:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *busyLink) Close() {
	l.once.Do(func() { close(l.ended) })
	l.control.mu.Lock()
	defer l.control.mu.Unlock()
	delete(l.control.links, l)
}

// Guards against hosts that keep control hosts busy with new links after the cause has
// ended (a metastable failure): each host needs a few links until it has a lease, all
// have one soon, and nobody dials any more.
func TestCrowdOfHostsFindsLeader(t *testing.T) {
	tests := []struct {
		name     string
		transfer time.Duration
		outage   time.Duration
		lost     bool // All control hosts are down during the outage; otherwise they know no leader.
	}{
		{name: "cold start", transfer: 50 * time.Millisecond, outage: 300 * time.Millisecond},
		{name: "no leader for an election", transfer: 50 * time.Millisecond, outage: 750 * time.Millisecond},
		{name: "no leader for long", transfer: 50 * time.Millisecond, outage: 6 * time.Second},
		{name: "all control hosts lost", transfer: 50 * time.Millisecond, outage: 3 * time.Second, lost: true},
		{name: "state over a narrow network link", transfer: 900 * time.Millisecond, outage: 750 * time.Millisecond, lost: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crowdFindsLeader(t, test.transfer, test.outage, test.lost) })
		})
	}
}

func crowdFindsLeader(t *testing.T, transfer, outage time.Duration, lost bool) {
	const maxLinks = 10 // A host needs: doubling pauses during the outage, a redirect, the leader.
	c := &busyControl{transfer: transfer, busy: make(map[netip.AddrPort]time.Time), links: make(map[*busyLink]bool)}
	for i := range 5 {
		c.addresses = append(c.addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
	}
	if lost {
		c.lose()
	}
	clients := make([]*daisylease.Client, crowdHosts)
	for i := range clients {
		name := "h" + strconv.Itoa(i)
		clients[i] = daisylease.New(daisylease.Options{
			Hosts: c.addresses, Eager: true, View: daisyfleet.NewView(),
			Dial: func(ctx context.Context, addr netip.AddrPort) (daisylease.Link, error) {
				l, err := c.dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				return daisylease.Counted(l, daisytraffic.Counter{}), nil
			},
			Report: func() daisyheartbeat.Heartbeat { return daisyheartbeat.Heartbeat{Host: name, Address: c.addresses[0]} },
			Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
		clients[i].Start()
	}
	time.Sleep(outage)
	c.lead(c.addresses[3])
	time.Sleep(maxRedial + transfer + crowdHosts*dialCost*2)
	for i, client := range clients {
		assert.Check(t, client.Valid(), "host %d has no lease", i)
	}
	dials := c.countDials()
	assert.Check(t, dials <= maxLinks*crowdHosts, "%d links for %d hosts", dials, crowdHosts)
	time.Sleep(10 * time.Second)
	assert.Check(t, c.countDials() == dials, "%d more links after all had a lease", c.countDials()-dials)
	for _, client := range clients {
		assert.NilError(t, client.Close())
	}
}

// maxRedial is the longest pause of a host that could reach no control host.
const maxRedial = time.Second
