package daisyforwarder

import (
	"errors"
	"sync"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

// errPinnedConnInUse is returned for a statement that arrives while another is running on
// its pinned connection. The transaction is given up, but may be committed by the other.
var errPinnedConnInUse = errors.New("a statement is running on the pinned connection")

// pinnedConns are the connections that are pinned for the host at the other end of a link.
// The zero value holds none. It is safe for concurrent use.
type pinnedConns struct {
	mu     sync.Mutex
	lastID uint64
	all    map[uint64]*pinnedConn
	closed bool
}

// pinnedConn is a connection with its use.
type pinnedConn struct {
	daisyrequest.PinnedConn
	inUse    bool // A statement is running.
	unpinned bool // It is to be closed once that has ended.
}

// add keeps a connection and returns its ID. If the link has ended, it closes the
// connection and returns 0.
func (p *pinnedConns) add(c daisyrequest.PinnedConn) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return 0
	}
	if p.all == nil {
		p.all = make(map[uint64]*pinnedConn)
	}
	p.lastID++
	p.all[p.lastID] = &pinnedConn{PinnedConn: c}
	return p.lastID
}

// take returns the connection with the ID for one statement, after which release must be
// called.
func (p *pinnedConns) take(id uint64) (daisyrequest.PinnedConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.all[id]
	switch {
	case c == nil:
		return nil, daisyrequest.ErrPinnedConnClosed
	case c.inUse:
		c.unpinned = true
		return nil, errPinnedConnInUse
	}
	c.inUse = true
	return c.PinnedConn, nil
}

// release ends the use of a connection. It reports whether the connection stays pinned;
// else it is closed.
func (p *pinnedConns) release(id uint64, keep bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.all[id]
	c.inUse = false
	if keep && !c.unpinned {
		return true
	}
	delete(p.all, id)
	c.Close()
	return false
}

// unpin closes the connection with the ID, if there is one, or has it closed once its
// statement has ended: what follows would belong to a transaction that was given up.
func (p *pinnedConns) unpin(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.all[id]; c != nil {
		p.unpinLocked(id, c)
	}
}

func (p *pinnedConns) unpinLocked(id uint64, c *pinnedConn) {
	c.unpinned = true
	if !c.inUse {
		delete(p.all, id)
		c.Close()
	}
}

// close unpins all connections, and those that are added later.
func (p *pinnedConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, c := range p.all {
		p.unpinLocked(id, c)
	}
}
