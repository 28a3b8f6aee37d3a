package daisyentry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/entry/daisydialer"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Lease reports whether the host's lease is valid now.
type Lease interface {
	Valid() bool
}

// Holder opens streams to the databases that this host holds.
type Holder interface {
	Stream() daisystream.Stream
}

// Recorder records the outcomes and latencies of requests.
type Recorder interface {
	Record(workspace, profile string, cause daisystream.Cause, took time.Duration, replica bool)
}

// Options configure a Server.
type Options struct {
	Network         daisynet.Network
	Listen          netip.AddrPort
	Host            string
	TLS             *tls.Config // Nil disables TLS.
	RequireTLS      bool
	MaxSessions     int
	MaxRequestBytes int
	View            *daisyfleet.View
	Lease           Lease
	Holder          Holder
	Streams         *daisydialer.Streams
	Recorder        Recorder
	Log             log.Interface
}

// Server accepts client connections.
type Server struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu       sync.Mutex
	sessions map[uint32]*session
	nextPID  uint32
	draining bool
}

// Open listens and starts to serve client connections.
func Open(o Options) (s *Server, err error) {
	defer daisyerror.Annotate(&err, "open entry")
	listener, err := o.Network.Listen(context.Background(), o.Listen)
	if err != nil {
		return nil, err
	}
	s = &Server{options: o, listener: listener, sessions: make(map[uint32]*session)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wait.Go(s.accept)
	s.wait.Go(s.monitorSessions)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	addr, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		panic("daisyentry: listener has no IP address")
	}
	return addr
}

// Sessions returns the number of connected clients.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Log.WithError(err).Warn("entry: accept failed; retrying")
			continue
		}
		s.wait.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	c := newSession(s, conn)
	defer c.close()
	if !s.add(c) {
		c.fatal(daisystream.CodeNoConnection, "not run: the host serves as many callers as it may")
		return
	}
	defer s.remove(c)
	if err := c.start(); err != nil {
		s.options.Log.WithError(err).Debug("entry: session not started; connection closed")
		return
	}
	c.serve()
}

func (s *Server) add(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.options.MaxSessions || s.draining {
		return false
	}
	s.nextPID++
	c.pid = s.nextPID
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	s.sessions[c.pid] = c
	return true
}

func (s *Server) remove(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.pid)
}

// cancelRequest cancels the running request of the session with the process
// number, if the secret is the session's.
func (s *Server) cancelRequest(pid, secret uint32) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c != nil && c.secret == secret {
		c.cancelRequest()
	}
}

// leaseCheckInterval is the time between checks of the host's lease.
const leaseCheckInterval = 250 * time.Millisecond

// monitorSessions ends sessions whose key was withdrawn, cancels requests to
// holders that have lost their database, and ends busy sessions when the
// host's lease has expired.
func (s *Server) monitorSessions() {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		changed := s.options.View.Changed()
		s.endSessions(func(c *session) bool { return c.key != "" && !c.keyValid() }, "the key was withdrawn")
		s.abandonStaleAttempts()
		select {
		case <-changed:
		case <-tick.C:
			if !s.options.Lease.Valid() {
				s.endSessions((*session).busy, "the host lost its lease")
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// abandonStaleAttempts cancels attempts at holders whose ownership has ended.
func (s *Server) abandonStaleAttempts() {
	terms := make(map[string]uint64)
	current := func(database string) uint64 {
		term, ok := terms[database]
		if !ok {
			ownership, _ := s.options.View.Ownership(database)
			term = ownership.Term
			terms[database] = term
		}
		return term
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		c.abandonIfStale(current)
	}
}

func (s *Server) endSessions(match func(*session) bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if c.ready.Load() && match(c) {
			c.end(reason)
		}
	}
}

// Drain refuses new clients and ends each session once it is idle. It returns
// when no session is left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.endSessions(func(c *session) bool { return !c.busy() }, "the host is stopping")
		if s.Sessions() == 0 {
			return
		}
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
		}
	}
}

// drainInterval is the time between checks for idle sessions during Drain.
const drainInterval = 20 * time.Millisecond

// Close closes all connections and waits until their sessions have ended.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.cancel()
	s.mu.Lock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return err
}
