package daisypacer

import (
	"context"
	"net"
	"net/netip"

	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Network counts what is sent over the connections of another network without waiting:
// answers to clients and statements to servers share the link with the messages that
// wait.
type Network struct {
	daisynet.Network
	Pacer *Pacer
}

// Listen implements daisynet.Network.
func (n Network) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return listener{l, n.Pacer}, nil
}

type listener struct {
	net.Listener
	pacer *Pacer
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.pacer}, nil
}

type conn struct {
	net.Conn
	pacer *Pacer
}

// Write implements net.Conn.
func (c conn) Write(b []byte) (int, error) {
	c.pacer.Charge(len(b) + overheadBytes)
	return c.Conn.Write(b)
}
