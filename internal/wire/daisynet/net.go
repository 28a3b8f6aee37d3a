// Package daisynet is the network as the hosts use it: listening and dialling
// by IP address and port over TCP.
package daisynet

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedLimit is how long sent bytes may stay unacknowledged before the
	// connection fails. A peer behind a partition resets nothing; 1.5 s is below
	// the time after which another control leader stands for election.
	unackedLimit = 1500 * time.Millisecond
	// probeIdle and probeInterval space the keep-alive probes of a connection
	// on which nothing is sent, so that it fails as soon as one that is used.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Network opens connections and accepts them. Tests put a network in memory in
// its place.
type Network interface {
	Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCP is the real network. Connections that go silent fail within seconds.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{Control: limitUnacked, KeepAliveConfig: keepAlive()}
	return c.Listen(ctx, "tcp", addr.String())
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Control: limitUnacked, KeepAliveConfig: keepAlive()}
	return d.DialContext(ctx, "tcp", addr.String())
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// limitUnacked sets the limit on a socket; accepted sockets inherit it.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
