package daisygateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// abortDelay is how long reads and uncommitted transactions on a server may go on once
// this host knows that the server is evacuated. They must have ended 1 s after that.
const abortDelay = 800 * time.Millisecond

// errEvacuated is returned for statements to an evacuated server.
var errEvacuated = fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrEvacuated)

// evacuation keeps work from a server while its failure domain is evacuated, and ends
// what may be aborted. It is safe for concurrent use.
type evacuation struct {
	mu        sync.Mutex
	ctx       context.Context // Done while the server is evacuated.
	cancel    context.CancelFunc
	timer     *time.Timer              // Interrupts the abortable work.
	abortable map[*daisypool.Conn]bool // Connections whose work may be aborted.
	aborted   map[*daisypool.Conn]bool // Of these, the interrupted ones.
}

func newEvacuation() *evacuation {
	e := &evacuation{abortable: make(map[*daisypool.Conn]bool), aborted: make(map[*daisypool.Conn]bool)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// set records whether the server is evacuated.
func (e *evacuation) set(evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case evacuated == (e.ctx.Err() != nil):
	case evacuated:
		e.cancel()
		e.timer = time.AfterFunc(abortDelay, e.abort)
	default:
		e.timer.Stop()
		e.ctx, e.cancel = context.WithCancel(context.Background())
	}
}

// abort interrupts the connections whose work may be aborted, unless the server has
// returned meanwhile.
func (e *evacuation) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		return
	}
	for c := range e.abortable {
		e.aborted[c] = true
		c.Interrupt()
	}
	clear(e.abortable)
}

// active reports whether the server is evacuated.
func (e *evacuation) active() bool { return e.context().Err() != nil }

// context returns a context that is done while the server is evacuated.
func (e *evacuation) context() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ctx
}

// begin permits the request's statement to be sent over the connection, or returns why
// it may not be. A statement whose effect may last once it is sent is not aborted.
func (e *evacuation) begin(c *daisypool.Conn, req *daisyrequest.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.aborted[c] {
		return daisyrequest.ErrPinnedConnClosed
	}
	if e.ctx.Err() != nil {
		return errEvacuated
	}
	if mayPersist(req) {
		delete(e.abortable, c)
	} else {
		e.abortable[c] = true
	}
	return nil
}

// end records that the connection is no longer used for its request or transaction.
func (e *evacuation) end(c *daisypool.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.abortable, c)
	delete(e.aborted, c)
}

// mayPersist reports whether the statement by itself can change what is stored: the
// COMMIT of a transaction, or a write outside one.
func mayPersist(req *daisyrequest.Request) bool {
	switch req.Statement.Kind {
	case daisystatement.KindCommit:
		return true
	case daisystatement.KindWrite:
		return !req.Pin
	case daisystatement.KindExecute:
		return !req.Pin && !req.Statement.ReadOnly
	default:
		return false
	}
}

// SetEvacuated sets whether the server's failure domain is evacuated. While it is, the
// gateway sends the server no statements. Reads and transactions that have not been
// committed are aborted after abortDelay; a COMMIT or write that was sent is awaited.
func (g *Gateway) SetEvacuated(server string, evacuated bool) {
	g.server(server).evacuation.set(evacuated)
}
