package daisystandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Credentials are the user name and password that the members accept.
type Credentials struct {
	User     string
	Password string
}

// Group is a database group whose members listen on loopback.
type Group struct {
	network         daisynet.Network
	credentials     Credentials
	connections     int // Per member.
	refusedLogins   atomic.Int64
	loginsOverLimit atomic.Int64
	peakConnections atomic.Int64
	mu              sync.Mutex
	members         []*Member
	listeners       map[*Member]net.Listener
	addresses       map[*Member]netip.AddrPort
	sessions        map[uint32]*session
	nextPID         uint32
	done            chan struct{}
	wait            sync.WaitGroup
}

// Open starts a group of n members named m1, m2 and so on, each of which accepts at
// most the given number of connections. No member is primary until it is promoted.
func Open(network daisynet.Network, n, connections int, c Credentials) (g *Group, err error) {
	defer daisyerror.Annotate(&err, "open stand-in group")
	g = &Group{
		network:     network,
		credentials: c,
		connections: connections,
		listeners:   make(map[*Member]net.Listener),
		addresses:   make(map[*Member]netip.AddrPort),
		sessions:    make(map[uint32]*session),
		done:        make(chan struct{}),
	}
	for i := range n {
		m := newMember(fmt.Sprintf("m%d", i+1))
		g.members = append(g.members, m)
		if err := g.listen(m, netip.AddrPortFrom(loopback, 0)); err != nil {
			return nil, errors.Join(err, g.Close())
		}
		g.wait.Go(func() { m.replicate(g.done) })
	}
	return g, nil
}

// loopback is the address on which the members listen.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

func (g *Group) listen(m *Member, address netip.AddrPort) error {
	l, err := g.network.Listen(context.Background(), address)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.listeners[m] = l
	g.addresses[m] = addr
	g.mu.Unlock()
	g.wait.Go(func() { g.acceptLoop(m, l) })
	return nil
}

func (g *Group) acceptLoop(m *Member, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		g.wait.Go(func() { g.serve(m, conn) })
	}
}

func (g *Group) serve(m *Member, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	g.mu.Lock()
	g.nextPID++
	out := newOutput(conn, m)
	s := &session{
		group:     g,
		member:    m,
		conn:      conn,
		out:       out,
		backend:   pgproto3.NewBackend(conn, out),
		pid:       g.nextPID,
		prepared:  make(map[string]string),
		portals:   make(map[string]portal),
		settings:  make(map[string]string),
		cancelled: make(chan struct{}, 1),
	}
	g.sessions[s.pid] = s
	g.mu.Unlock()
	defer g.remove(s)
	if s.startup() {
		s.serve()
	}
}

func (g *Group) remove(s *session) {
	g.mu.Lock()
	delete(g.sessions, s.pid)
	g.mu.Unlock()
	s.member.mu.Lock()
	delete(s.member.conns, s)
	s.member.mu.Unlock()
}

// admit counts the session towards the member's connection limit. It returns false
// if the limit is reached or the session's term is older than the member's.
func (g *Group) admit(s *session) bool {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.term != 0 && s.term < m.term {
		return false
	}
	if len(m.conns) >= g.connections {
		g.loginsOverLimit.Add(1)
		return false
	}
	m.conns[s] = true
	g.peakConnections.Store(max(g.peakConnections.Load(), int64(len(m.conns))))
	return true
}

func (g *Group) checkCredentials(user, password string) bool {
	return user == g.credentials.User && password == g.credentials.Password
}

func (g *Group) cancel(pid uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.sessions[pid]; s != nil {
		select {
		case s.cancelled <- struct{}{}:
		default:
		}
	}
}

func (g *Group) follow(m *Member, term uint64, address string) error {
	g.mu.Lock()
	var primary *Member
	for p, a := range g.addresses {
		if a.String() == address {
			primary = p
		}
	}
	g.mu.Unlock()
	if primary == nil {
		return fmt.Errorf("no member listens on %s", address)
	}
	return m.follow(term, primary)
}

// Members returns the members in order.
func (g *Group) Members() []*Member { return g.members }

// Address returns where the member listens.
func (g *Group) Address(m *Member) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[m]
}

// Primary returns the primary of the highest term, or nil.
func (g *Group) Primary() *Member {
	var best *Member
	var term uint64
	for _, m := range g.members {
		if s := m.Status(); s.Role == RolePrimary && s.Term >= term {
			best, term = m, s.Term
		}
	}
	return best
}

// RefusedLogins returns the number of logins that were refused for wrong
// credentials.
func (g *Group) RefusedLogins() int64 { return g.refusedLogins.Load() }

// PeakConnections returns the highest number of simultaneous connections of any
// member.
func (g *Group) PeakConnections() int64 { return g.peakConnections.Load() }

// LoginsOverLimit returns the number of logins that were refused because a member
// was at its connection limit.
func (g *Group) LoginsOverLimit() int64 { return g.loginsOverLimit.Load() }

// ExecutedStatements returns the number of statements that a member has executed,
// not counting transaction control, SET, SHOW, DISCARD and platform functions.
func (g *Group) ExecutedStatements(m *Member) int64 { return m.executed.Load() }

// Stop makes the member unreachable: it closes its listener and its sessions and
// stops replicating from and to it. Its rows and its log stay.
func (g *Group) Stop(m *Member) {
	g.mu.Lock()
	l := g.listeners[m]
	delete(g.listeners, m)
	g.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	m.disconnect()
	for _, other := range g.members {
		if other != m {
			other.stopFollowing(m)
		}
	}
}

// disconnect stops replication to the member and closes its sessions.
func (m *Member) disconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = true
	m.endSessions(func(*session) bool { return true })
}

// stopFollowing stops replication from the upstream if the member follows it.
func (m *Member) stopFollowing(upstream *Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upstream == upstream {
		m.upstream = nil
		m.notify()
	}
}

// Start makes a stopped member listen on its address again.
func (g *Group) Start(m *Member) error {
	if g.isListening(m) {
		return nil
	}
	m.StallReplication(false)
	return g.listen(m, g.Address(m))
}

// Close stops the group and waits until its goroutines have ended.
func (g *Group) Close() error {
	close(g.done)
	g.mu.Lock()
	for _, l := range g.listeners {
		_ = l.Close()
	}
	for _, s := range g.sessions {
		_ = s.conn.Close()
	}
	g.mu.Unlock()
	g.wait.Wait()
	return nil
}
