package daisycoordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
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
	// minLinkRate is the least rate, in bytes a second, at which a message is sent before
	// its link is given up. A snapshot has some 100 KB or more.
	minLinkRate = 125_000
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
	t := &Transport{dialer: d, closing: make(chan struct{}), queues: make(map[netip.AddrPort]chan daisylog.Message)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Open implements daisyconsensus.Transport. Opening a link takes two round trips,
// for which an election would otherwise wait.
func (t *Transport) Open(to netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue(to)
}

// Send implements daisyconsensus.Transport.
func (t *Transport) Send(to netip.AddrPort, m daisylog.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.queue(to) <- m:
	default:
	}
}

// queue returns the queue of messages for the replica. The first call for a replica
// also starts a goroutine that keeps a link to it open; t.mu is held.
func (t *Transport) queue(to netip.AddrPort) chan daisylog.Message {
	queue := t.queues[to]
	if queue == nil && !t.closed() {
		queue = make(chan daisylog.Message, peerQueueLength)
		t.queues[to] = queue
		t.wait.Go(func() { t.run(to, queue) })
	}
	return queue
}

func (t *Transport) run(to netip.AddrPort, queue chan daisylog.Message) {
	for !t.closed() {
		started := time.Now()
		if link, err := t.dial(to); err == nil {
			t.drain(link, queue)
			link.Close()
			if time.Since(started) > peerRetryDelay {
				continue
			}
		}
		select {
		case <-time.After(peerRetryDelay):
		case <-t.closing:
		}
	}
}

func (t *Transport) dial(to netip.AddrPort) (*daisylink.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, peerDialTimeout)
	defer cancel()
	return t.dialer.Dial(ctx, to, daisylink.PathLog)
}

func (t *Transport) closed() bool {
	select {
	case <-t.closing:
		return true
	default:
		return false
	}
}

// drain sends queued messages until the link ends.
func (t *Transport) drain(link *daisylink.Conn, queue chan daisylog.Message) {
	linkCtx := link.Watch(t.ctx)
	for {
		select {
		case m := <-queue:
			if send(linkCtx, link, m) != nil {
				return
			}
		case <-t.closing:
			flush(linkCtx, link, queue)
			return
		case <-linkCtx.Done():
			return
		}
	}
}

func send(ctx context.Context, link *daisylink.Conn, m daisylog.Message) error {
	b := daisycodec.EncodeLogMessage(m)
	ctx, cancel := context.WithTimeout(ctx, daisylog.ElectionMin+time.Duration(len(b))*time.Second/minLinkRate)
	defer cancel()
	return link.Send(ctx, b)
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
func (t *Transport) Close() error {
	t.closeOnce.Do(func() { close(t.closing) })
	stop := time.AfterFunc(flushTimeout, t.cancel)
	defer stop.Stop()
	defer t.cancel()
	t.wait.Wait()
	return nil
}

// ServeLog passes messages from another replica to the node.
func ServeLog(ctx context.Context, link *daisylink.Conn, step func(daisylog.Message), l log.Interface) {
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		m, err := daisycodec.DecodeLogMessage(b)
		if err != nil {
			l.WithError(err).WithField("Host", link.Peer()).Error("quorum: malformed message; closing the link")
			return
		}
		if m.Kind == daisylog.KindJoin && (m.Peer == nil || m.Peer.Name != link.Peer()) {
			l.WithField("Host", link.Peer()).Error("quorum: a host asks to join under another name than that of its link; closing the link")
			return
		}
		step(m)
	}
}
