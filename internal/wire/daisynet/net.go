// Package daisynet is the network as the hosts use it: listening and dialling
// by IP address and port over TCP.
package daisynet

import (
	"context"
	"net"
	"net/netip"
)

// Network opens connections and accepts them. Tests put a network in memory in
// its place.
type Network interface {
	Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCP is the real network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
}
