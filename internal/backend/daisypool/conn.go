package daisypool

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Target identifies the server and the workspace of a connection.
type Target struct {
	Server    string // Name of the server's incarnation, which must be the one that answers.
	Service   string
	Address   netip.AddrPort
	Workspace string
}

// Link is an open connection to a server. Its methods are not called
// concurrently, except Close.
type Link interface {
	// Send sends the statements. Their answers are received in the same order.
	Send(statements []daisystatement.Statement) error
	// Receive returns the next answer. After an error the link is unusable.
	Receive(deadline time.Time) (daisystatement.Answer, error)
	// Alive returns false if the server has closed the idle connection, or has sent something
	// since the last answer was received, which it then reports as unread.
	Alive() (alive, unread bool)
	Close()
}

// Dialer opens links. If the server refuses a connection, the error is a
// *daisystatement.Failure.
type Dialer interface {
	Dial(ctx context.Context, t Target) (Link, error)
	// Reach returns an error if no connection to the address can be opened. It
	// uses no slot of the server and does not wait in its queue.
	Reach(ctx context.Context, addr netip.AddrPort) error
}

// ErrUnanswered is returned if a connection failed or timed out before an answer
// was received completely.
var ErrUnanswered = errors.New("no answer from the backend server")

// ErrUncertain is returned for an answer that may be that to an earlier statement of the
// connection, which the server sent again. The connection is unusable, and it is unknown
// whether the statement ran.
var ErrUncertain = errors.New("the answer cannot be told from an earlier one of the backend server")

// Conn is a connection in use, with the session settings and prepared statements
// that it has on the server. It is not safe for concurrent use.
type Conn struct {
	pool        *serverPool
	link        Link
	workspace   string
	values      map[string]string
	prepared    map[string]bool
	idleSince   time.Time
	broken      bool
	history     history
	outstanding []kindSent // The statements without an answer yet.
	interrupted atomic.Bool
}

// Server returns the name of the server.
func (c *Conn) Server() string { return c.pool.name }

// Workspace returns the workspace that the connection was opened for.
func (c *Conn) Workspace() string { return c.workspace }

// Certain reports whether unsigned answers to n statements that are sent next can be told
// from the connection's earlier ones and from each other.
func (c *Conn) Certain(n int) bool { return n <= 1 && !c.history.unsigned && !c.history.began }

// Prepared reports whether the statement is prepared on the connection.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// Send sends the statements and records the settings and prepared statements
// that they change.
func (c *Conn) Send(statements []daisystatement.Statement) error {
	if err := c.link.Send(statements); err != nil {
		c.broken = true
		return errors.Join(ErrUnanswered, err)
	}
	for _, s := range statements {
		c.outstanding = append(c.outstanding, kindSent(s.Kind))
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

// Receive returns the answer to the earliest outstanding statement. It passes over answers
// that belong to earlier ones. It returns ErrUncertain for an answer that may.
func (c *Conn) Receive(deadline time.Time) (daisystatement.Answer, error) {
	s := c.outstanding[0]
	for {
		a, err := c.link.Receive(deadline)
		if err != nil {
			c.broken = true
			return a, errors.Join(ErrUnanswered, err)
		}
		v := c.history.judge(s, a)
		c.pool.count(v)
		switch v {
		case verdictForeign:
			continue
		case verdictUncertain:
			c.broken = true
			return daisystatement.Answer{}, ErrUncertain
		}
		c.outstanding = c.outstanding[1:]
		c.history.record(s, a)
		c.pool.observe(a.Position)
		return a, nil
	}
}

// Usable reports whether more statements may be sent: every answer has come, and nothing
// has made Release close the connection.
func (c *Conn) Usable() bool {
	return !c.broken && len(c.outstanding) == 0 && !c.interrupted.Load()
}

// MarkBroken makes Release close the connection.
func (c *Conn) MarkBroken() { c.broken = true }

// Interrupt closes the connection to the server, so that a statement in progress fails.
// Unlike the other methods it may be called concurrently. The connection must still be
// released.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	c.link.Close()
}

// Release returns the connection to the pool. It closes a connection that is
// broken, has answers outstanding or has received maxSignatures.
func (c *Conn) Release() {
	if !c.Usable() || c.history.full() {
		c.broken = true
	}
	c.pool.release(c)
}
