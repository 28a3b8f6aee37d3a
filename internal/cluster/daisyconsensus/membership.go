package daisyconsensus

import (
	"net/netip"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// join asks to be added to the configuration while the replica is not in it or may
// have been removed from it.
func (n *Node) join() {
	for n.ctx.Err() == nil {
		if self, asks := n.joining(); asks {
			for _, peer := range n.peers() {
				n.options.Transport.Send(peer, daisylog.Join(self))
			}
		}
		select {
		case <-time.After(joinInterval):
		case <-n.ctx.Done():
		}
	}
}

// followRedirect records the leader's address from a redirect and asks that host to
// add the replica. The configured peers need not include the leader.
func (n *Node) followRedirect(m daisylog.Message) {
	if m.Peer == nil || !m.Peer.Address.IsValid() {
		return
	}
	n.mu.Lock()
	changed := n.redirect != m.Peer.Address
	n.redirect = m.Peer.Address
	n.mu.Unlock()
	if self, asks := n.joining(); asks && changed {
		n.options.Transport.Send(m.Peer.Address, daisylog.Join(self))
	}
}

// joining returns the replica's own peer and whether it must ask to be added: the
// configuration does not contain it, or it may have been removed from it.
func (n *Node) joining() (self daisylog.Peer, asks bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Self, n.failed == nil && (!n.joined() || n.replica.Detached(daisyclock.Now()))
}

// peers returns the control hosts that a joining replica asks: the configured ones, the
// other members of its configuration and the leader that it was redirected to. All
// configured ones may have been replaced since the replica was last a member.
func (n *Node) peers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	addrs := slices.Clone(n.options.Peers)
	for _, peer := range n.replica.Configuration() {
		addrs = append(addrs, peer.Address)
	}
	addrs = append(addrs, n.redirect)
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr netip.AddrPort) bool {
		return !addr.IsValid() || addr == n.options.Self.Address
	})
}

// SetPeers replaces the control hosts that a joining replica asks.
func (n *Node) SetPeers(peers []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.options.Peers = peers
}

// Joined reports whether the configuration contains the replica with its current
// address. A replica outside it takes no part in elections and does not learn who
// leads.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joined()
}

// joined is Joined; n.mu is held.
func (n *Node) joined() bool {
	for _, peer := range n.replica.Configuration() {
		if peer.Replica == n.options.Self.Replica {
			return peer.Address == n.options.Self.Address
		}
	}
	return false
}

// IsVoter reports whether this replica is a voter in the latest configuration that
// it knows. A replica that the host had before it lost its disk does not count.
func (n *Node) IsVoter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.replica.Configuration(), func(peer daisylog.Peer) bool {
		return peer.Voting && peer.Replica == n.options.Self.Replica
	})
}

// Configuration returns the latest configuration that the replica knows.
func (n *Node) Configuration() []daisylog.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Configuration()
}

// Leads reports whether the replica is the leader with a valid lease, and returns
// its term.
func (n *Node) Leads() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Term(), n.failed == nil && n.replica.HoldsLease(daisyclock.Now())
}

// Leader returns the address of the leader, if one is known: another host, or this
// one if it holds a valid lease.
func (n *Node) Leader() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	leader, _ := n.replica.Leader()
	self := leader.Replica == n.options.Self.Replica
	if n.failed != nil || self && !n.replica.HoldsLease(daisyclock.Now()) {
		return netip.AddrPort{}
	}
	return leader.Address
}
