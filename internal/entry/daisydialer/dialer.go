// Package daisydialer opens lanes from an entry host to the holders of
// databases. A host that holds the database itself is used directly; lanes to
// other hosts are links that are kept open between transactions.
package daisydialer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
)

const (
	// idleLimit bounds the lanes kept open to one host.
	idleLimit = 64
	// idleLife is how long a lane is kept without use.
	idleLife = time.Minute
)

// Dialer opens links to other hosts.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort, path daisylink.Path) (*daisylink.Conn, error)
}

// Streams keeps idle lanes to other hosts. Use New.
type Streams struct {
	dialer Dialer

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*RemoteStream // The last used last.
	closed bool
	expiry *time.Timer
}

// New returns an empty set of lanes.
func New(d Dialer) *Streams {
	l := &Streams{dialer: d, idle: make(map[netip.AddrPort][]*RemoteStream)}
	l.expiry = time.AfterFunc(idleLife, l.expire)
	return l
}

// expire ends the lanes that have been idle for long.
func (l *Streams) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	for addr, lanes := range l.idle {
		for len(lanes) > 0 && time.Since(lanes[0].used) > idleLife {
			lanes[0].end()
			lanes = lanes[1:]
		}
		l.idle[addr] = lanes
		if len(lanes) == 0 {
			delete(l.idle, addr)
		}
	}
	l.expiry.Reset(idleLife)
}

// Acquire returns a lane to the host at the address.
func (l *Streams) Acquire(ctx context.Context, addr netip.AddrPort) (*RemoteStream, error) {
	if r := l.pop(addr); r != nil {
		return r, nil
	}
	link, err := l.dialer.Dial(ctx, addr, daisylink.PathStream)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", daisystream.ErrNotSent, err)
	}
	r := &RemoteStream{lanes: l, addr: addr, link: link, arrived: make(chan []byte), ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.read(ctx)
	return r, nil
}

// pop returns an idle lane whose link is still open, or nil.
func (l *Streams) pop(addr netip.AddrPort) *RemoteStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lanes := l.idle[addr]; len(lanes) > 0; lanes = l.idle[addr] {
		r := lanes[len(lanes)-1]
		l.idle[addr] = lanes[:len(lanes)-1]
		if r.open() {
			return r
		}
		r.end()
	}
	return nil
}

// Close ends the idle lanes.
func (l *Streams) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.expiry.Stop()
	for _, lanes := range l.idle {
		for _, r := range lanes {
			r.end()
		}
	}
	l.idle = nil
	return nil
}

// RemoteStream is a lane over a link.
type RemoteStream struct {
	lanes   *Streams
	addr    netip.AddrPort
	link    *daisylink.Conn
	cancel  context.CancelFunc
	arrived chan []byte   // Messages in order; unbuffered, so that the link's flow control holds.
	ended   chan struct{} // Closed when the link has ended.
	sent    uint64
	used    time.Time // When it was last given back.
	dirty   bool      // An answer is outstanding or a transaction is open.
}

// read passes on what arrives until the link ends. It reads between requests
// too, so that a lane whose host has stopped is not used again.
func (r *RemoteStream) read(ctx context.Context) {
	defer close(r.ended)
	for {
		b, err := r.link.Receive(ctx)
		if err != nil {
			return
		}
		select {
		case r.arrived <- b:
		case <-ctx.Done():
			return
		}
	}
}

// open reports whether the link has not ended.
func (r *RemoteStream) open() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// end closes the link and waits for its reader.
func (r *RemoteStream) end() {
	r.cancel()
	r.link.Close()
	<-r.ended
}

// Do implements daisystream.Lane.
func (r *RemoteStream) Do(ctx context.Context, q *daisystream.Request, emit func(*daisystream.Answer) error) error {
	r.dirty = true
	r.sent++
	numbered := *q
	numbered.ID = r.sent
	if err := r.link.Send(ctx, daisycodec.EncodeRequest(&numbered)); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	for {
		a, err := r.next(ctx)
		if err != nil {
			return err
		}
		if a.Final && a.Status == daisystream.StatusIdle {
			r.dirty = false
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
	case b = <-r.arrived:
	case <-r.ended:
		return nil, errors.New("the link ended before the answer")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	a, err := daisycodec.DecodeAnswer(b)
	if err != nil {
		return nil, err
	}
	if a.ID != r.sent {
		return nil, fmt.Errorf("answer %d came for request %d", a.ID, r.sent)
	}
	return a, nil
}

// Close keeps the lane for another session, or ends it if an answer is
// outstanding or a transaction is open.
func (r *RemoteStream) Close() {
	l := r.lanes
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.dirty || l.closed || len(l.idle[r.addr]) >= idleLimit {
		r.end()
		return
	}
	r.used = time.Now()
	l.idle[r.addr] = append(l.idle[r.addr], r)
}

// Holder opens lanes into the groups that this host holds.
type Holder interface {
	Stream() daisystream.Stream
}

// Serve answers the requests on an accepted link until it ends.
func Serve(ctx context.Context, link *daisylink.Conn, h Holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lane := h.Stream()
	defer lane.Close()
	requests := make(chan *daisystream.Request)
	go receive(ctx, cancel, link, requests)
	for {
		select {
		case r := <-requests:
			if err := serveOne(ctx, link, lane, r); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// receive passes requests on and cancels the lane when the link ends, so that
// a statement whose caller is gone is stopped.
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

func serveOne(ctx context.Context, link *daisylink.Conn, lane daisystream.Stream, r *daisystream.Request) error {
	return lane.Do(ctx, r, func(a *daisystream.Answer) error {
		return link.Send(ctx, daisycodec.EncodeAnswer(a))
	})
}
