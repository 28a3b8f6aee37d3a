// Package daisyfrontend accepts callers on an entry host and serves their
// sessions in whatever protocol its codec speaks.
package daisyfrontend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/session/daisysession"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

const (
	// startupTimeout is how long a caller may take to begin its session.
	startupTimeout = 5 * time.Second
	// writeTimeout is how long a caller may take to accept an answer.
	writeTimeout = 10 * time.Second
	// acceptPause is the pause after the host could not accept a caller.
	acceptPause = 20 * time.Millisecond
)

// ErrMalformed is returned by a codec for bytes that are no message; the
// session cannot go on.
var ErrMalformed = errors.New("message is malformed")

// Codec reads and writes one caller's connection.
type Codec interface {
	// ReadStartup returns the database and the key with which a session begins.
	ReadStartup() (database, key string, err error)
	// ReadStatement returns the next statement. After a timeout it may be
	// called again.
	ReadStatement() (daisystatement.Statement, error)
	// WriteStarted tells that the session has begun.
	WriteStarted() error
	// WriteRefusal tells why the session ends.
	WriteRefusal(f *daisystatement.Failure) error
	// WriteAnswer answers the latest statement.
	WriteAnswer(a daisystatement.Answer) error
}

// Options configure a Server.
type Options struct {
	Network     daisynet.Network
	Listen      netip.AddrPort
	Codec       func(net.Conn) Codec
	Environment *daisysession.Environment
	MaxSessions int // 0 sets no limit.
	Log         log.Interface
}

// Server serves callers.
type Server struct {
	options  Options
	listener net.Listener
	wait     sync.WaitGroup
	draining atomic.Bool

	mu       sync.Mutex
	sessions map[*caller]struct{}
}

// caller is a connected caller.
type caller struct {
	conn net.Conn
	idle atomic.Bool // No statement is being served and no transaction is open.
}

// Open starts to accept callers.
func Open(ctx context.Context, o Options) (*Server, error) {
	listener, err := o.Network.Listen(ctx, o.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, listener: listener, sessions: make(map[*caller]struct{})}
	s.wait.Go(s.accept)
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Log.WithError(err).Warn("server: caller not accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := &caller{conn: conn}
		if !s.add(c) {
			_ = conn.Close()
			continue
		}
		s.wait.Go(func() { s.serve(c) })
	}
}

// add counts the caller unless there are too many.
func (s *Server) add(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.options.MaxSessions; limit > 0 && len(s.sessions) >= limit {
		return false
	}
	s.sessions[c] = struct{}{}
	return true
}

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) serve(c *caller) {
	defer func() {
		_ = c.conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, c)
	}()
	codec := s.options.Codec(c.conn)
	_ = c.conn.SetDeadline(time.Now().Add(startupTimeout))
	database, key, err := codec.ReadStartup()
	if err != nil {
		s.options.Log.WithError(err).WithField("Caller", c.conn.RemoteAddr().String()).Info("entry: session not begun")
		return
	}
	session, refused := s.options.Environment.Open(database, key)
	if refused != nil {
		s.options.Log.WithFields(log.Fields{
			"Caller": c.conn.RemoteAddr().String(), "Database": database, "Code": refused.Code.String(), "Reason": refused.Text,
		}).Info("entry: session refused")
		_ = codec.WriteRefusal(refused)
		return
	}
	defer session.Close()
	if codec.WriteStarted() != nil {
		return
	}
	s.converse(c, codec, session)
}

// converse serves statements until the caller leaves or the session ends.
func (s *Server) converse(c *caller, codec Codec, session *daisysession.Session) {
	for {
		st, err := s.next(c, codec, session)
		if errors.Is(err, ErrMalformed) {
			_ = codec.WriteRefusal(&daisystatement.Failure{Code: daisystatement.CodeMalformed, Text: err.Error()})
		}
		if err != nil {
			return
		}
		answer := session.Do(st, time.Now())
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if codec.WriteAnswer(answer) != nil || session.Ended() {
			return
		}
		if s.draining.Load() && !session.InTransaction() {
			return
		}
	}
}

// next reads the next statement. A transaction that stays idle for too long is
// rolled back meanwhile.
func (s *Server) next(c *caller, codec Codec, session *daisysession.Session) (daisystatement.Statement, error) {
	for {
		limit := time.Time{}
		if session.InTransaction() {
			limit = time.Now().Add(session.IdleLimit())
		}
		_ = c.conn.SetReadDeadline(limit)
		c.idle.Store(!session.InTransaction())
		if s.draining.Load() && !session.InTransaction() {
			return daisystatement.Statement{}, net.ErrClosed
		}
		st, err := codec.ReadStatement()
		c.idle.Store(false)
		if errors.Is(err, os.ErrDeadlineExceeded) && session.InTransaction() {
			session.Expire()
			continue
		}
		return st, err
	}
}

// Drain stops accepting callers, ends idle sessions and waits until the others
// have ended their transactions or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	_ = s.listener.Close()
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for s.endIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainStep is how often a draining server looks for sessions to end.
const drainStep = 20 * time.Millisecond

// endIdle ends idle sessions and returns how many are left. A statement that has
// just been read is still answered.
func (s *Server) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if c.idle.Load() {
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(s.sessions)
}

// Close ends all sessions at once and waits for them.
func (s *Server) Close() error {
	s.draining.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.sessions {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return nil
}
