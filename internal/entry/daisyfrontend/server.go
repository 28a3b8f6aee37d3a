// Package daisyfrontend accepts client connections on an entry host and serves
// their sessions. The codec determines the client protocol.
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

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

const (
	// startupTimeout is how long a client may take to send its startup message.
	startupTimeout = 5 * time.Second
	// writeTimeout is how long a client may take to accept an answer.
	writeTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after an accept failed.
	acceptRetryDelay = 20 * time.Millisecond
)

// ErrMalformed is returned by a codec for bytes that are not a valid message. It
// ends the session.
var ErrMalformed = errors.New("message is malformed")

// Codec reads and writes the messages of one client connection.
type Codec interface {
	// ReadStartup returns the database and the key of the startup message.
	ReadStartup() (database, key string, err error)
	// ReadStatement returns the next statement. After a timeout it may be
	// called again.
	ReadStatement() (daisystatement.Statement, error)
	// WriteStarted tells the client that its session has started.
	WriteStarted() error
	// WriteRefusal tells the client why its session ends.
	WriteRefusal(f *daisystatement.Failure) error
	// WriteAnswer sends the answer to the latest statement.
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

// Server serves client connections.
type Server struct {
	options   Options
	listener  net.Listener
	wait      sync.WaitGroup
	draining  atomic.Bool // Sessions end once they are idle.
	finishing atomic.Bool // Sessions end once their statement is answered.

	mu       sync.Mutex
	sessions map[*client]struct{}
}

// client is a client connection.
type client struct {
	conn    net.Conn
	idle    atomic.Bool // No statement is being served and no transaction is open.
	reading atomic.Bool // No statement is being served.
}

// Open starts to accept client connections.
func Open(ctx context.Context, o Options) (*Server, error) {
	listener, err := o.Network.Listen(ctx, o.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, listener: listener, sessions: make(map[*client]struct{})}
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
			s.options.Log.WithError(err).Warn("entry: accept failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &client{conn: conn}
		if !s.add(c) {
			_ = conn.Close()
			continue
		}
		s.wait.Go(func() { s.serve(c) })
	}
}

// add registers the client unless there are too many sessions.
func (s *Server) add(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.options.MaxSessions; limit > 0 && len(s.sessions) >= limit {
		return false
	}
	s.sessions[c] = struct{}{}
	return true
}

// Sessions returns the number of connected clients.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) serve(c *client) {
	defer func() {
		_ = c.conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, c)
	}()
	watched := &watchedConn{Conn: c.conn}
	codec := s.options.Codec(watched)
	_ = c.conn.SetDeadline(time.Now().Add(startupTimeout))
	database, key, err := codec.ReadStartup()
	if err != nil {
		s.options.Log.WithError(err).WithField("Caller", c.conn.RemoteAddr().String()).Info("entry: startup failed; connection closed")
		return
	}
	if s.draining.Load() {
		_ = codec.WriteRefusal(&daisystatement.Failure{Code: daisystatement.CodeBusy, Text: "the host is stopping; connect again"})
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
	s.serveStatements(c, codec, session, watched)
}

// serveStatements serves statements until the client disconnects or the session
// ends.
func (s *Server) serveStatements(c *client, codec Codec, session *daisysession.Session, watched *watchedConn) {
	client, leave := context.WithCancel(context.Background())
	defer leave()
	for {
		st, err := s.next(c, codec, session)
		if errors.Is(err, ErrMalformed) {
			_ = codec.WriteRefusal(&daisystatement.Failure{Code: daisystatement.CodeMalformed, Text: err.Error()})
		}
		if err != nil {
			return
		}
		unwatch := watched.watch(leave)
		answer := session.DoFor(client, st, time.Now())
		unwatch()
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if codec.WriteAnswer(answer) != nil || session.Ended() {
			return
		}
		if s.finishing.Load() || s.draining.Load() && !session.InTransaction() {
			return
		}
	}
}

// next reads the next statement. While it waits, it rolls back a transaction that
// exceeds its idle limit.
func (s *Server) next(c *client, codec Codec, session *daisysession.Session) (daisystatement.Statement, error) {
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
		c.reading.Store(true)
		st, err := codec.ReadStatement()
		c.idle.Store(false)
		c.reading.Store(false)
		if errors.Is(err, os.ErrDeadlineExceeded) && s.finishing.Load() {
			return st, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && session.InTransaction() {
			session.Expire()
			continue
		}
		return st, err
	}
}

// Drain refuses new clients as not served and ends idle sessions. It waits until the
// other sessions have finished their transactions and ended, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.interrupt(ctx, func(c *client) bool { return c.idle.Load() })
}

// Finish is like Drain, but also aborts the transactions that are open, once their
// present statement is answered. Statements that were read are still answered.
func (s *Server) Finish(ctx context.Context) {
	s.draining.Store(true)
	s.finishing.Store(true)
	s.interrupt(ctx, func(c *client) bool { return c.reading.Load() })
}

// interrupt interrupts the reads of the sessions that are to end, until all sessions
// have ended or ctx ends.
func (s *Server) interrupt(ctx context.Context, ends func(*client) bool) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.interruptReads(ends) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainCheckInterval is the time between checks for sessions that are to end.
const drainCheckInterval = 20 * time.Millisecond

// interruptReads interrupts the reads of the sessions that are to end and returns the
// number of sessions left. A statement that was just read is still answered.
func (s *Server) interruptReads(ends func(*client) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		if ends(c) {
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(s.sessions)
}

// Close closes all connections and waits until their sessions have ended.
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
