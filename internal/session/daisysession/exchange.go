package daisysession

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// errAlign is returned if a connection did not take a session's values.
var errAlign = errors.New("the backend server refused a session value")

// exchange sends statements on a connection and returns the answer to the last.
func exchange(c *daisypool.Conn, statements []daisystatement.Statement, deadline time.Time) (a daisystatement.Answer, err error) {
	if err := c.Send(statements); err != nil {
		return a, err
	}
	for range statements {
		if a, err = c.Receive(deadline); err != nil {
			return a, err
		}
	}
	return a, nil
}

// align brings the session values of the connection in line. Nothing else is
// sent before the server has taken them, so no statement runs under others.
func (s *Session) align(c *daisypool.Conn, deadline time.Time) (err error) {
	statements := s.alignment(c)
	if len(statements) == 0 {
		return nil
	}
	if err := c.Send(statements); err != nil {
		return err
	}
	for range statements {
		a, err := c.Receive(deadline)
		if err != nil {
			return err
		}
		if a.Failure != nil {
			c.Spoil()
			return errAlign
		}
	}
	return nil
}

// connect returns a connection to the server that carries the session's values.
func (s *Session) connect(ctx context.Context, service, server string, deadline time.Time) (*daisypool.Conn, error) {
	c, err := s.desk.Pool.Acquire(ctx, server, s.workspace)
	if err != nil {
		var refused *daisystatement.Failure
		if !errors.As(err, &refused) && !errors.Is(err, daisypool.ErrFull) && !errors.Is(err, daisypool.ErrUnknown) && ctx.Err() == nil {
			s.desk.Router.Unreachable(service, server)
		}
		return nil, err
	}
	if err := s.align(c, deadline); err != nil {
		c.Release()
		if !errors.Is(err, errAlign) {
			s.desk.Router.Unreachable(service, server)
		}
		return nil, err
	}
	return c, nil
}

// ask sends a statement on a connection and notes how the server answered.
func (s *Session) ask(service string, c *daisypool.Conn, statements []daisystatement.Statement, deadline time.Time) (a daisystatement.Answer, err error) {
	sent := daisyclock.Now()
	s.desk.Router.Started(c.Server(), s.workspace)
	a, err = exchange(c, statements, deadline)
	s.desk.Router.Ended(service, c.Server(), sent, err == nil)
	return a, err
}
