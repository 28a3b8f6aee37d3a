// Package daisynet opens and accepts TCP connections by IP address and port.
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
	// connection fails. A peer behind a partition sends no reset; 1.5 s is below
	// the time after which another control host stands for election.
	unackedLimit = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure the keep-alive probes of a
	// connection on which nothing is sent, so that it also fails within seconds.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Network opens and accepts connections. Tests replace TCP with a network in
// memory.
type Network interface {
	Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCP is the network of the operating system. Connections whose peer is silent
// fail within seconds.
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

// limitUnacked sets unackedLimit on a socket. Accepted sockets inherit it from
// the listening one.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
