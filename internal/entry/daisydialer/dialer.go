// Package daisydialer opens streams from an entry host to the holders of
// databases on other hosts. The links of these streams stay open between
// transactions. Serve is the other end, on the holder's host. A database that the
// entry host holds itself needs no such stream.
package daisydialer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// maxIdlePerHost bounds the idle streams kept open to one host.
	maxIdlePerHost = 64
	// idleTimeout is how long an idle stream is kept open.
	idleTimeout = time.Minute
)

// Dialer opens links to other hosts.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort, path daisylink.Path) (*daisylink.Conn, error)
}

// Streams keeps idle streams to other hosts. Use New.
type Streams struct {
	dialer Dialer

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*RemoteStream // In the order of their release.
	closed bool
	expiry *time.Timer
}

// New returns Streams that have no idle stream.
func New(d Dialer) *Streams {
	s := &Streams{dialer: d, idle: make(map[netip.AddrPort][]*RemoteStream)}
	s.expiry = time.AfterFunc(idleTimeout, s.expire)
	return s
}

// expire closes the streams that have been idle for longer than idleTimeout.
func (s *Streams) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for addr, streams := range s.idle {
		for len(streams) > 0 && time.Since(streams[0].releasedAt) > idleTimeout {
			streams[0].shutdown()
			streams = streams[1:]
		}
		s.idle[addr] = streams
		if len(streams) == 0 {
			delete(s.idle, addr)
		}
	}
	s.expiry.Reset(idleTimeout)
}

// Acquire returns an idle stream to the host at the address, or opens one.
func (s *Streams) Acquire(ctx context.Context, addr netip.AddrPort) (*RemoteStream, error) {
	if r := s.pop(addr); r != nil {
		return r, nil
	}
	link, err := s.dialer.Dial(ctx, addr, daisylink.PathStream)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", daisystream.ErrNotSent, err)
	}
	r := &RemoteStream{streams: s, addr: addr, link: link, received: make(chan []byte), ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.read(ctx)
	return r, nil
}

// pop returns an idle stream whose link is still open, or nil.
func (s *Streams) pop(addr netip.AddrPort) *RemoteStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for streams := s.idle[addr]; len(streams) > 0; streams = s.idle[addr] {
		r := streams[len(streams)-1]
		s.idle[addr] = streams[:len(streams)-1]
		if r.open() {
			return r
		}
		r.shutdown()
	}
	return nil
}

// Close closes the idle streams.
func (s *Streams) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.expiry.Stop()
	for _, streams := range s.idle {
		for _, r := range streams {
			r.shutdown()
		}
	}
	s.idle = nil
	return nil
}

// RemoteStream is a stream to another host over a link.
type RemoteStream struct {
	streams    *Streams
	addr       netip.AddrPort
	link       *daisylink.Conn
	cancel     context.CancelFunc
	received   chan []byte   // Messages in order; unbuffered, so that the link's flow control applies.
	ended      chan struct{} // Closed when the link has ended.
	lastID     uint64        // Of the request last sent.
	releasedAt time.Time     // When it was last released.
	busy       bool          // An answer is outstanding or a transaction is open.
}

// read passes received messages to next until the link ends. It reads between
// requests too, so that a stream whose host has stopped is not used again.
func (r *RemoteStream) read(ctx context.Context) {
	defer close(r.ended)
	for {
		b, err := r.link.Receive(ctx)
		if err != nil {
			return
		}
		select {
		case r.received <- b:
		case <-ctx.Done():
			return
		}
	}
}

// open reports whether the link is still open.
func (r *RemoteStream) open() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// shutdown closes the link and waits for its reader.
func (r *RemoteStream) shutdown() {
	r.cancel()
	r.link.Close()
	<-r.ended
}

// Do implements daisystream.Stream.
func (r *RemoteStream) Do(ctx context.Context, q *daisystream.Request, emit func(*daisystream.Answer) error) error {
	r.busy = true
	r.lastID++
	numbered := *q
	numbered.ID = r.lastID
	if err := r.link.Send(ctx, daisycodec.EncodeRequest(&numbered)); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	for {
		a, err := r.next(ctx)
		if err != nil {
			return err
		}
		if a.Final && a.Status == daisystream.StatusIdle {
			r.busy = false
		}
		if err := emit(a); err != nil || a.Final {
			return err
		}
	}
}

// next receives a part of the answer to the request last sent.
func (r *RemoteStream) next(ctx context.Context) (*daisystream.Answer, error) {
	var b []byte
	select {
	case b = <-r.received:
	case <-r.ended:
		return nil, errors.New("link closed before the answer was complete")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	a, err := daisycodec.DecodeAnswer(b)
	if err != nil {
		return nil, err
	}
	if a.ID != r.lastID {
		return nil, fmt.Errorf("received the answer to request %d while waiting for request %d", a.ID, r.lastID)
	}
	return a, nil
}

// Close releases the stream for another session. It closes the stream instead if
// an answer is outstanding, a transaction is open or enough streams are idle.
func (r *RemoteStream) Close() {
	s := r.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.busy || s.closed || len(s.idle[r.addr]) >= maxIdlePerHost {
		r.shutdown()
		return
	}
	r.releasedAt = time.Now()
	s.idle[r.addr] = append(s.idle[r.addr], r)
}

// Holder opens streams to the database groups that this host holds.
type Holder interface {
	Stream() daisystream.Stream
}

// Serve answers the requests on an accepted link until it ends.
func Serve(ctx context.Context, link *daisylink.Conn, h Holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := h.Stream()
	defer stream.Close()
	requests := make(chan *daisystream.Request)
	go receive(ctx, cancel, link, requests)
	for {
		select {
		case r := <-requests:
			if err := serveOne(ctx, link, stream, r); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// receive passes on the requests from the link. It calls cancel when the link
// ends, so that a statement whose entry host is gone is stopped.
func receive(ctx context.Context, cancel context.CancelFunc, link *daisylink.Conn, requests chan<- *daisystream.Request) {
	defer cancel()
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		r, err := daisycodec.DecodeRequest(b)
		if err != nil {
			return
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

func serveOne(ctx context.Context, link *daisylink.Conn, stream daisystream.Stream, r *daisystream.Request) error {
	return stream.Do(ctx, r, func(a *daisystream.Answer) error {
		return link.Send(ctx, daisycodec.EncodeAnswer(a))
	})
}
