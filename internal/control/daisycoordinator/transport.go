package daisycoordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisylink"
)

const (
	// peerQueueLength is the maximum number of messages queued for one replica.
	// Further ones are dropped; daisylog resends what is needed.
	peerQueueLength = 64
	// peerRetryDelay is the delay before a replica is dialed again if it could not be
	// reached or its link ended within this time.
	peerRetryDelay = 100 * time.Millisecond
	// peerDialTimeout is the timeout of one dial attempt. While a machine has no power,
	// the TCP SYN is lost and is retransmitted only after 1 s; a new attempt after
	// this timeout connects sooner. Opening a link takes two round trips.
	peerDialTimeout = 250 * time.Millisecond
	// flushTimeout is the maximum time for sending queued messages on Close.
	flushTimeout = 200 * time.Millisecond
)

// Transport sends the log's messages to the other control hosts. It implements
// daisyconsensus.Transport.
type Transport struct {
	dialer    *daisylink.Dialer
	ctx       context.Context
	cancel    context.CancelFunc
	closing   chan struct{}
	closeOnce sync.Once
	wait      sync.WaitGroup

	mu     sync.Mutex
	queues map[netip.AddrPort]chan daisylog.Message
}

// NewTransport returns a transport that dials with the dialer.
func NewTransport(d *daisylink.Dialer) *Transport {
	p := &Transport{dialer: d, closing: make(chan struct{}), queues: make(map[netip.AddrPort]chan daisylog.Message)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Open implements daisyconsensus.Transport. Opening a link takes two round trips,
// for which an election would otherwise wait.
func (p *Transport) Open(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue(to)
}

// Send implements daisyconsensus.Transport.
func (p *Transport) Send(to netip.AddrPort, m daisylog.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.queue(to) <- m:
	default:
	}
}

// queue returns the queue of messages for the replica. The first call for a replica
// also starts a goroutine that keeps a link to it open; p.mu is held.
func (p *Transport) queue(to netip.AddrPort) chan daisylog.Message {
	queue := p.queues[to]
	if queue == nil && !p.closed() {
		queue = make(chan daisylog.Message, peerQueueLength)
		p.queues[to] = queue
		p.wait.Go(func() { p.run(to, queue) })
	}
	return queue
}

func (p *Transport) run(to netip.AddrPort, queue chan daisylog.Message) {
	for !p.closed() {
		started := time.Now()
		if link, err := p.dial(to); err == nil {
			p.drain(link, queue)
			link.Close()
			if time.Since(started) > peerRetryDelay {
				continue
			}
		}
		select {
		case <-time.After(peerRetryDelay):
		case <-p.closing:
		}
	}
}

func (p *Transport) dial(to netip.AddrPort) (*daisylink.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, peerDialTimeout)
	defer cancel()
	return p.dialer.Dial(ctx, to, daisylink.PathLog)
}

func (p *Transport) closed() bool {
	select {
	case <-p.closing:
		return true
	default:
		return false
	}
}

// drain sends queued messages until the link ends.
func (p *Transport) drain(link *daisylink.Conn, queue chan daisylog.Message) {
	linkCtx := link.Watch(p.ctx)
	for {
		select {
		case m := <-queue:
			if send(linkCtx, link, m) != nil {
				return
			}
		case <-p.closing:
			flush(linkCtx, link, queue)
			return
		case <-linkCtx.Done():
			return
		}
	}
}

func send(ctx context.Context, link *daisylink.Conn, m daisylog.Message) error {
	ctx, cancel := context.WithTimeout(ctx, daisylog.ElectionMin)
	defer cancel()
	return link.Send(ctx, daisycodec.EncodeMessage(m))
}

// flush sends the queued messages, among them a leader's resignation.
func flush(ctx context.Context, link *daisylink.Conn, queue chan daisylog.Message) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		select {
		case m := <-queue:
			if send(ctx, link, m) != nil {
				return
			}
		default:
			return
		}
	}
}

// Close sends the queued messages on open links, drops the rest and waits until no
// more messages are sent.
func (p *Transport) Close() error {
	p.closeOnce.Do(func() { close(p.closing) })
	stop := time.AfterFunc(flushTimeout, p.cancel)
	defer stop.Stop()
	defer p.cancel()
	p.wait.Wait()
	return nil
}

// ServeLog passes messages from another replica to the node.
func ServeLog(ctx context.Context, link *daisylink.Conn, step func(daisylog.Message)) {
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		m, err := daisycodec.DecodeMessage(b)
		if err != nil {
			return
		}
		if m.Kind == daisylog.KindJoin && (m.Peer == nil || m.Peer.Name != link.Peer()) {
			return
		}
		step(m)
	}
}
