package daisysandbox_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// pipeBytes is how much a direction of a connection holds before the writer waits.
const pipeBytes = 256 << 10

// memberPort is the first port of those who ask for any. It lies above the
// ports that a trial reserves for its hosts before they listen.
const memberPort = 40_000

// memory is a network in memory that can be cut. It obeys the clock of the
// test, and a cut loses nothing: bytes are delivered once it heals, as TCP
// delivers them.
type memory struct {
	latency func(from, to string) time.Duration

	mu        sync.Mutex
	nextPort  uint16
	listeners map[netip.AddrPort]*memoryListener
	conns     map[*memoryConn]bool
	cuts      map[[2]string]bool
	healed    chan struct{}
	tapped    func(from, to string, b []byte)
}

// tap lets f see everything that is sent from now on.
func (m *memory) tap(f func(from, to string, b []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tapped = f
}

func (m *memory) show(from, to string, b []byte) {
	m.mu.Lock()
	f := m.tapped
	m.mu.Unlock()
	if f != nil {
		f(from, to, b)
	}
}

func newMemory(latency func(from, to string) time.Duration) *memory {
	return &memory{
		latency: latency, nextPort: memberPort, listeners: make(map[netip.AddrPort]*memoryListener),
		conns: make(map[*memoryConn]bool), cuts: make(map[[2]string]bool), healed: make(chan struct{}),
	}
}

// at returns the network as seen by the named place.
func (m *memory) at(name string) place { return place{network: m, name: name} }

// cut stops delivery from one place to another.
func (m *memory) cut(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[[2]string{from, to}] = true
}

// isolate cuts a place off from the others, in both directions.
func (m *memory) isolate(name string, others ...string) {
	for _, o := range others {
		m.cut(name, o)
		m.cut(o, name)
	}
}

// heal ends all cuts.
func (m *memory) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts = make(map[[2]string]bool)
	close(m.healed)
	m.healed = make(chan struct{})
}

// kill closes every connection and listener of a place, as the end of a
// process does.
func (m *memory) kill(name string) {
	m.mu.Lock()
	var conns []*memoryConn
	for c := range m.conns {
		if c.in.to == name || c.out.to == name {
			conns = append(conns, c)
		}
	}
	var listeners []*memoryListener
	for _, l := range m.listeners {
		if l.owner == name {
			listeners = append(listeners, l)
		}
	}
	m.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

func (m *memory) blocked(from, to string) (blocked bool, healed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cuts[[2]string{from, to}], m.healed
}

// place is a network as one named place sees it.
type place struct {
	network *memory
	name    string
}

// Listen implements daisynet.Network.
func (p place) Listen(_ context.Context, addr netip.AddrPort) (net.Listener, error) {
	m := p.network
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr.Port() == 0 {
		m.nextPort++
		addr = netip.AddrPortFrom(addr.Addr(), m.nextPort)
	}
	if m.listeners[addr] != nil {
		return nil, errors.New("address is in use")
	}
	l := &memoryListener{network: m, addr: addr, owner: p.name, accept: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[addr] = l
	return l, nil
}

// Dial implements daisynet.Network.
func (p place) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	m := p.network
	m.mu.Lock()
	l := m.listeners[addr]
	m.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	for _, way := range [][2]string{{p.name, l.owner}, {l.owner, p.name}} {
		for {
			blocked, healed := m.blocked(way[0], way[1])
			if !blocked {
				break
			}
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	there, back := newPipe(m, p.name, l.owner), newPipe(m, l.owner, p.name)
	near := &memoryConn{network: m, in: back, out: there, local: netip.AddrPort{}, remote: addr}
	far := &memoryConn{network: m, in: there, out: back, local: addr, remote: netip.AddrPort{}}
	m.mu.Lock()
	m.conns[near], m.conns[far] = true, true
	m.mu.Unlock()
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	network *memory
	addr    netip.AddrPort
	owner   string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.addr)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

type chunk struct {
	at    time.Time
	bytes []byte
}

// pipe is one direction of a connection.
type pipe struct {
	network  *memory
	from, to string

	mu      sync.Mutex
	changed chan struct{}
	chunks  []chunk
	size    int
	closed  bool // By either side.
	dropped bool // By the reading side.
	readBy  time.Time
	writeBy time.Time
}

func newPipe(m *memory, from, to string) *pipe {
	return &pipe{network: m, from: from, to: to, changed: make(chan struct{})}
}

// notify wakes waiters; p.mu is held.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		blocked, healed := p.network.blocked(p.from, p.to)
		p.mu.Lock()
		now := time.Now()
		wake := p.readBy
		switch {
		case p.dropped:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case !p.readBy.IsZero() && !now.Before(p.readBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(p.chunks) > 0 && !blocked && !now.Before(p.chunks[0].at):
			n := p.take(b)
			p.mu.Unlock()
			return n, nil
		case p.closed && len(p.chunks) == 0 && !blocked:
			p.mu.Unlock()
			return 0, io.EOF
		case len(p.chunks) > 0 && !blocked && (wake.IsZero() || p.chunks[0].at.Before(wake)):
			wake = p.chunks[0].at
		}
		changed := p.changed
		p.mu.Unlock()
		wait(changed, healed, wake)
	}
}

func (p *pipe) take(b []byte) int {
	c := &p.chunks[0]
	n := copy(b, c.bytes)
	c.bytes = c.bytes[n:]
	p.size -= n
	if len(c.bytes) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.notify()
	return n
}

func wait(changed, healed <-chan struct{}, until time.Time) {
	var expired <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-changed:
	case <-healed:
	case <-expired:
	}
}

func (p *pipe) write(b []byte) (int, error) {
	p.network.show(p.from, p.to, b)
	for {
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case !p.writeBy.IsZero() && !time.Now().Before(p.writeBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.size < pipeBytes:
			p.chunks = append(p.chunks, chunk{at: time.Now().Add(p.network.latency(p.from, p.to)), bytes: append([]byte(nil), b...)})
			p.size += len(b)
			p.notify()
			p.mu.Unlock()
			return len(b), nil
		}
		changed, until := p.changed, p.writeBy
		p.mu.Unlock()
		wait(changed, nil, until)
	}
}

func (p *pipe) close(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if drop {
		p.dropped = true
		p.chunks, p.size = nil, 0
	}
	p.notify()
}

type memoryConn struct {
	network       *memory
	in, out       *pipe
	local, remote netip.AddrPort
}

func (c *memoryConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.out.close(false)
	c.in.close(true)
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *memoryConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (c *memoryConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.readBy = t
	c.in.notify()
	return nil
}

func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.writeBy = t
	c.out.notify()
	return nil
}

// Alive reports whether the other side has not closed the connection.
func (c *memoryConn) Alive() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return !c.in.closed && len(c.in.chunks) == 0
}
