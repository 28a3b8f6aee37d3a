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
	// peerQueue bounds the messages that wait for one replica. Those beyond
	// are dropped; the log sends again what matters.
	peerQueue = 64
	// peerRetry is the pause before a replica is dialled again that could not be
	// reached or has ended the link at once.
	peerRetry = 100 * time.Millisecond
	// peerDialTimeout bounds one attempt. While a machine has no power the request
	// for a connection is lost, and TCP repeats it only after 1 s; another attempt
	// after this time reaches it sooner. Opening takes two round trips.
	peerDialTimeout = 250 * time.Millisecond
	// flushTime bounds the sending of what is queued while the process ends.
	flushTime = 200 * time.Millisecond
)

// Peers sends the log's messages to other control hosts.
type Peers struct {
	dialer *daisylink.Dialer
	ctx    context.Context
	cancel context.CancelFunc
	ending chan struct{}
	end    sync.Once
	wait   sync.WaitGroup

	mu     sync.Mutex
	queues map[netip.AddrPort]chan daisylog.Message
}

// NewPeers returns a transport that dials with the dialer.
func NewPeers(d *daisylink.Dialer) *Peers {
	p := &Peers{dialer: d, ending: make(chan struct{}), queues: make(map[netip.AddrPort]chan daisylog.Message)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Open implements daisyconsensus.Transport. A link takes two round trips to open,
// which an election would otherwise wait for.
func (p *Peers) Open(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue(to)
}

// Send implements daisyconsensus.Transport.
func (p *Peers) Send(to netip.AddrPort, m daisylog.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.queue(to) <- m:
	default:
	}
}

// queue returns what waits for the replica and keeps a link to it open from now
// on; p.mu is held.
func (p *Peers) queue(to netip.AddrPort) chan daisylog.Message {
	queue := p.queues[to]
	if queue == nil && !p.ended() {
		queue = make(chan daisylog.Message, peerQueue)
		p.queues[to] = queue
		p.wait.Go(func() { p.run(to, queue) })
	}
	return queue
}

func (p *Peers) run(to netip.AddrPort, queue chan daisylog.Message) {
	for !p.ended() {
		began := time.Now()
		if link, err := p.dial(to); err == nil {
			p.drain(link, queue)
			link.Close()
			if time.Since(began) > peerRetry {
				continue
			}
		}
		select {
		case <-time.After(peerRetry):
		case <-p.ending:
		}
	}
}

func (p *Peers) dial(to netip.AddrPort) (*daisylink.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, peerDialTimeout)
	defer cancel()
	return p.dialer.Dial(ctx, to, daisylink.PathLog)
}

func (p *Peers) ended() bool {
	select {
	case <-p.ending:
		return true
	default:
		return false
	}
}

// drain sends what is queued until the link ends.
func (p *Peers) drain(link *daisylink.Conn, queue chan daisylog.Message) {
	open := link.Watch(p.ctx)
	for {
		select {
		case m := <-queue:
			if send(open, link, m) != nil {
				return
			}
		case <-p.ending:
			flush(open, link, queue)
			return
		case <-open.Done():
			return
		}
	}
}

func send(ctx context.Context, link *daisylink.Conn, m daisylog.Message) error {
	ctx, cancel := context.WithTimeout(ctx, daisylog.ElectionMin)
	defer cancel()
	return link.Send(ctx, daisycodec.EncodeLogMessage(m))
}

// flush sends what is queued: a leader's resignation among it.
func flush(ctx context.Context, link *daisylink.Conn, queue chan daisylog.Message) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
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

// Close sends what is queued where a link is open, drops the rest and waits
// until nothing is sent.
func (p *Peers) Close() error {
	p.end.Do(func() { close(p.ending) })
	stop := time.AfterFunc(flushTime, p.cancel)
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
		m, err := daisycodec.DecodeLogMessage(b)
		if err != nil {
			return
		}
		if m.Kind == daisylog.KindJoin && (m.Seat == nil || m.Seat.Name != link.Peer()) {
			return
		}
		step(m)
	}
}
