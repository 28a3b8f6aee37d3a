package daisypool

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// Target is what a connection is opened to.
type Target struct {
	Server    string // The incarnation that must answer.
	Service   string
	Address   netip.AddrPort
	Workspace string
}

// Link is an open connection. Its methods are not called concurrently, except
// Close.
type Link interface {
	// Send sends the statements; their answers come in this order.
	Send(statements []daisystatement.Statement) error
	// Receive returns the next answer. After an error the link is unusable.
	Receive(deadline time.Time) (daisystatement.Answer, error)
	// Alive reports whether the server has not closed the idle connection.
	Alive() bool
	Close()
}

// Dialer opens links. A server's refusal is a *daisystatement.Failure.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Link, error)
	// Reach returns an error if no connection to the address can be opened. It
	// costs the server nothing and does not wait for its queue.
	Reach(ctx context.Context, addr netip.AddrPort) error
}

// ErrUnanswered is returned if a connection broke or went silent before an
// answer had arrived whole.
var ErrUnanswered = errors.New("no answer from the backend server")

// Conn is a connection that its holder uses alone, with the session values and
// prepared statements that it carries.
type Conn struct {
	pool      *serverPool
	link      Link
	workspace string
	values    map[string]string
	prepared  map[string]bool
	idleSince time.Time
	broken    bool
	sent      int // Statements whose answers are outstanding.
}

// Server returns the name of the server.
func (c *Conn) Server() string { return c.pool.name }

// Workspace returns the workspace that the connection was opened for.
func (c *Conn) Workspace() string { return c.workspace }

// Values returns the session values that the connection carries.
func (c *Conn) Values() map[string]string { return c.values }

// Prepared reports whether the statement is prepared.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// Send sends the statements and notes what they change on the connection.
func (c *Conn) Send(statements []daisystatement.Statement) error {
	if err := c.link.Send(statements); err != nil {
		c.broken = true
		return errors.Join(ErrUnanswered, err)
	}
	c.sent += len(statements)
	for _, s := range statements {
		switch s.Kind {
		case daisystatement.KindSet:
			if c.values == nil {
				c.values = make(map[string]string)
			}
			c.values[s.Name] = s.Value
		case daisystatement.KindPrepare:
			if c.prepared == nil {
				c.prepared = make(map[string]bool)
			}
			c.prepared[s.Name] = true
		case daisystatement.KindDiscard:
			c.values, c.prepared = nil, nil
		}
	}
	return nil
}

// Receive returns the answer to the earliest statement outstanding.
func (c *Conn) Receive(deadline time.Time) (daisystatement.Answer, error) {
	a, err := c.link.Receive(deadline)
	if err != nil {
		c.broken = true
		return a, errors.Join(ErrUnanswered, err)
	}
	c.sent--
	return a, nil
}

// MarkBroken marks the connection as not to be used again.
func (c *Conn) MarkBroken() { c.broken = true }

// Release gives the connection back. One that is broken or has answers
// outstanding is closed.
func (c *Conn) Release() {
	if c.sent > 0 {
		c.broken = true
	}
	c.pool.release(c)
}
