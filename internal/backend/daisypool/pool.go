package daisypool

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// dialTimeout bounds the opening of a connection. It allows three times the
	// round trip between regions plus the server's own time, and time in a queue.
	dialTimeout = 700 * time.Millisecond
	// excessIdleTimeout is how long an idle connection beyond the host's share
	// is kept open.
	excessIdleTimeout = 300 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection that is reused.
	maxPrepared = 64
)

var (
	// ErrUnknownServer is returned for a server that the pool does not know.
	ErrUnknownServer = errors.New("backend server is not in the connection pool")
	// ErrFull is returned if no connection became available in time.
	ErrFull = errors.New("no connection to the backend server became available in time")
)

// Share is the number of connections that a host may have to a server.
type Share struct {
	KeepOpen int // Idle connections are closed while more than this many are open.
	MaxOpen  int // Limit of open connections.
}

// Pool keeps the connections to all servers.
type Pool struct {
	// OnRepeat is called when a server is first found to send an answer again. It must
	// not call the pool. It may be nil.
	OnRepeat func(server string)

	dialer Dialer
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	dials  atomic.Uint64
	full   atomic.Uint64 // Dials refused since the server had too many connections.

	foreign   atomic.Uint64
	uncertain atomic.Uint64
	unread    atomic.Uint64

	mu      sync.Mutex
	servers map[string]*serverPool
}

// New returns a pool without servers.
func New(d Dialer) *Pool {
	p := &Pool{dialer: d, servers: make(map[string]*serverPool)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wait.Go(p.trim)
	return p
}

// Set adds a server or changes the host's share of its connections. A new target
// replaces the server's connections.
func (p *Pool) Set(t Target, share Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[t.Server]
	if s == nil || s.target != t {
		if s != nil {
			s.close()
		}
		s = &serverPool{name: t.Server, pool: p, target: t, active: make(map[string]int)}
		p.servers[t.Server] = s
	}
	s.setShare(share)
}

// Remove removes a server and closes its idle connections. Connections in use
// are closed when they are released.
func (p *Pool) Remove(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.close()
		delete(p.servers, server)
	}
}

// ServerNames returns the names of the servers in the pool.
func (p *Pool) ServerNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for n := range p.servers {
		names = append(names, n)
	}
	return names
}

func (p *Pool) server(name string) *serverPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[name]
}

// Acquire returns a connection to the server for the workspace that fits the use. It waits
// until one is available or ctx ends, before those that the order places after it.
func (p *Pool) Acquire(ctx context.Context, server, workspace string, u Use, o daisyorder.Order) (*Conn, error) {
	s := p.server(server)
	if s == nil {
		return nil, ErrUnknownServer
	}
	return s.acquire(ctx, workspace, u, o)
}

// Dials returns the number of connections that the pool has tried to open.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// Usable reports whether the host has a share of the server's connections.
func (p *Pool) Usable(server string) bool {
	s := p.server(server)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share.MaxOpen > 0
}

// Reach returns an error if no connection to the server can be opened.
func (p *Pool) Reach(ctx context.Context, server string) error {
	s := p.server(server)
	if s == nil {
		return ErrUnknownServer
	}
	return p.dialer.Reach(ctx, s.target.Address)
}

// Free reports whether a connection is idle or may be opened, and no
// acquisition waits for one.
func (p *Pool) Free(server string) bool {
	s := p.server(server)
	return s != nil && s.free()
}

// trim periodically closes idle connections beyond the host's shares.
func (p *Pool) trim() {
	ticker := time.NewTicker(excessIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
		p.mu.Lock()
		all := make([]*serverPool, 0, len(p.servers))
		for _, s := range p.servers {
			all = append(all, s)
		}
		p.mu.Unlock()
		for _, s := range all {
			s.trim(time.Now())
		}
	}
}

// Close closes all idle connections and waits until nothing is being opened.
func (p *Pool) Close() error {
	p.cancel()
	for _, name := range p.ServerNames() {
		p.Remove(name)
	}
	p.wait.Wait()
	return nil
}

// waiter is a pending acquisition of a connection. A nil connection on its
// channel allows it to open one, unless the server was removed meanwhile.
type waiter struct {
	workspace string
	use       Use
	order     daisyorder.Order
	ready     chan *Conn
}

// serverPool keeps the connections to one server.
type serverPool struct {
	name   string
	pool   *Pool
	target Target
	// repeats is set once the server has sent an answer again.
	repeats atomic.Bool

	mu        sync.Mutex
	share     Share
	open      int // Connections, including those being opened.
	idle      []*Conn
	active    map[string]int // Connections in use, by workspace.
	waiters   []*waiter
	progress  daisyorder.Progress
	refusals  int                     // Connections that the server refused in succession, since it has too many.
	fullUntil time.Time               // Until then a connection is opened only if none is open.
	position  daisystatement.Position // The latest of the server's log in an answer.
	closed    bool
}

// observe records the position in an answer.
func (s *serverPool) observe(p daisystatement.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = daisystatement.Max(s.position, p)
}

func (s *serverPool) setShare(share Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.serveWaiters()
}

func (s *serverPool) free() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.waiters) > 0 {
		return false
	}
	return len(s.idle) > 0 || s.mayOpen()
}

// mayOpen reports whether another connection may be opened. If none is open, the
// share allows one even before fullUntil.
func (s *serverPool) mayOpen() bool {
	return s.open < s.share.MaxOpen && (s.open == 0 || !time.Now().Before(s.fullUntil))
}

// acquire returns an idle connection of the workspace, opens one, or waits. If the server
// refuses one, since it has too many, it waits for another.
func (s *serverPool) acquire(ctx context.Context, workspace string, u Use, o daisyorder.Order) (*Conn, error) {
	c, err := s.acquireOnce(ctx, workspace, u, o)
	for tooMany(err) && ctx.Err() == nil {
		again, waitErr := s.awaitTurn(ctx, workspace, u, o)
		if errors.Is(waitErr, ErrFull) {
			return nil, err // The server's refusal says more.
		}
		c, err = again, waitErr
	}
	return c, err
}

func (s *serverPool) acquireOnce(ctx context.Context, workspace string, u Use, o daisyorder.Order) (*Conn, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, ErrUnknownServer
	}
	if c := s.takeIdle(workspace, u); c != nil {
		s.mu.Unlock()
		return c, nil
	}
	if s.reserveSlot() {
		s.active[workspace]++
		s.mu.Unlock()
		return s.dial(ctx, workspace)
	}
	s.mu.Unlock()
	return s.awaitTurn(ctx, workspace, u, o)
}

// awaitTurn waits for a connection among the waiters.
func (s *serverPool) awaitTurn(ctx context.Context, workspace string, u Use, o daisyorder.Order) (*Conn, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, ErrUnknownServer
	}
	w := &waiter{workspace: workspace, use: u, order: o, ready: make(chan *Conn, 1)}
	s.waiters = append(s.waiters, w)
	s.progress.Add(o, time.Now())
	s.serveWaiters()
	s.mu.Unlock()
	return s.await(ctx, w)
}

// takeIdle removes and returns the idle connection of the workspace that suits the use best
// and is still alive. It returns nil if there is none.
func (s *serverPool) takeIdle(workspace string, u Use) *Conn {
	for {
		best, rank := -1, -1
		for i := len(s.idle) - 1; i >= 0; i-- { // The most recently used first.
			c := s.idle[i]
			if c.workspace != workspace || !c.fits(u, s.position) {
				continue
			}
			if r := c.rank(u); r > rank {
				best, rank = i, r
			}
		}
		if best < 0 {
			return nil
		}
		c := s.idle[best]
		s.idle = slices.Delete(s.idle, best, best+1)
		alive, unread := c.link.Alive()
		if alive {
			s.active[workspace]++
			return c
		}
		if unread {
			s.pool.unread.Add(1)
			s.noteRepeat()
		}
		c.link.Close()
		s.open--
	}
}

// reserveSlot reserves room for a new connection. If no further connection may be
// opened, it closes the least recently used idle one.
func (s *serverPool) reserveSlot() bool {
	if s.mayOpen() {
		s.open++
		return true
	}
	if len(s.idle) == 0 {
		return false
	}
	oldest := s.idle[0]
	s.idle = slices.Delete(s.idle, 0, 1)
	oldest.link.Close()
	return true
}

func (s *serverPool) await(ctx context.Context, w *waiter) (*Conn, error) {
	c, err := s.receive(ctx, w)
	if err != nil {
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return nil, ErrUnknownServer
	}
	return s.dial(ctx, w.workspace)
}

// receive returns what is handed to the waiter. It returns ErrFull if ctx ends first.
func (s *serverPool) receive(ctx context.Context, w *waiter) (*Conn, error) {
	retry := time.NewTicker(openRetryDelay)
	defer retry.Stop()
	for {
		select {
		case c := <-w.ready:
			return c, nil
		case <-retry.C: // After fullUntil connections may be opened again.
			s.mu.Lock()
			s.serveWaiters()
			s.mu.Unlock()
		case <-ctx.Done():
			s.mu.Lock()
			i := slices.Index(s.waiters, w)
			if i >= 0 {
				s.waiters = slices.Delete(s.waiters, i, i+1)
				s.progress.Remove(w.order, false, time.Now())
			}
			s.mu.Unlock()
			if i >= 0 {
				return nil, ErrFull
			}
			return <-w.ready, nil
		}
	}
}

// dial opens a connection that is already counted in open and in the workspace's
// active connections.
func (s *serverPool) dial(ctx context.Context, workspace string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	t := s.target
	t.Workspace = workspace
	s.pool.dials.Add(1)
	link, err := s.pool.dialer.Dial(ctx, t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.refusals = 0
		return &Conn{pool: s, link: link, workspace: workspace}, nil
	}
	s.open--
	s.removeActive(workspace)
	if tooMany(err) {
		s.yield(time.Now())
	}
	s.serveWaiters()
	return nil, err
}

func (s *serverPool) removeActive(workspace string) {
	if s.active[workspace]--; s.active[workspace] <= 0 {
		delete(s.active, workspace)
	}
}

// release makes a connection idle, or closes it if it cannot be reused.
func (s *serverPool) release(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeActive(c.workspace)
	if c.broken || s.closed || len(c.prepared) > maxPrepared {
		c.link.Close()
		s.open--
	} else {
		c.idleSince = time.Now()
		s.idle = append(s.idle, c)
	}
	s.serveWaiters()
}

// serveWaiters hands available connections to waiters, in the order of firstWaiter.
func (s *serverPool) serveWaiters() {
	for len(s.waiters) > 0 && (s.closed || len(s.idle) > 0 || s.mayOpen()) {
		now := time.Now()
		best := s.firstWaiter(now)
		w := s.waiters[best]
		var c *Conn
		if !s.closed {
			if c = s.takeIdle(w.workspace, w.use); c == nil {
				if !s.reserveSlot() {
					return // The idle connections were closed by the server.
				}
				s.active[w.workspace]++
			}
		}
		s.waiters = slices.Delete(s.waiters, best, best+1)
		s.progress.Remove(w.order, true, now)
		w.ready <- c
	}
}

// trim closes connections beyond the share that have been idle for longer than
// excessIdleTimeout.
func (s *serverPool) trim(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open > s.share.KeepOpen && len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) > excessIdleTimeout {
		s.idle[0].link.Close()
		s.idle = slices.Delete(s.idle, 0, 1)
		s.open--
	}
	s.serveWaiters()
}

func (s *serverPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.idle {
		c.link.Close()
		s.open--
	}
	s.idle = nil
	s.serveWaiters()
}
