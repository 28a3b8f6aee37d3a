package daisyhost

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
	// peerRetry is the pause before a replica is dialled again.
	peerRetry = 100 * time.Millisecond
)

// peers sends the log's messages to other control hosts.
type peers struct {
	dialer *daisylink.Dialer
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu     sync.Mutex
	queues map[netip.AddrPort]chan daisylog.Message
}

func newPeers(d *daisylink.Dialer) *peers {
	p := &peers{dialer: d, queues: make(map[netip.AddrPort]chan daisylog.Message)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Send implements daisyquorum.Transport.
func (p *peers) Send(to netip.AddrPort, m daisylog.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	queue := p.queues[to]
	if queue == nil {
		queue = make(chan daisylog.Message, peerQueue)
		p.queues[to] = queue
		p.wait.Go(func() { p.run(to, queue) })
	}
	select {
	case queue <- m:
	default:
	}
}

func (p *peers) run(to netip.AddrPort, queue chan daisylog.Message) {
	for p.ctx.Err() == nil {
		link, err := p.dialer.Dial(p.ctx, to, daisylink.PathLog)
		if err == nil {
			p.drain(link, queue)
			link.Close()
		}
		select {
		case <-time.After(peerRetry):
		case <-p.ctx.Done():
		}
	}
}

func (p *peers) drain(link *daisylink.Conn, queue chan daisylog.Message) {
	for {
		select {
		case m := <-queue:
			ctx, cancel := context.WithTimeout(p.ctx, daisylog.ElectionMin)
			err := link.Send(ctx, daisycodec.EncodeMessage(m))
			cancel()
			if err != nil {
				return
			}
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *peers) close() {
	p.cancel()
	p.wait.Wait()
}

// serveLog passes messages from another replica to the node.
func serveLog(ctx context.Context, link *daisylink.Conn, step func(daisylog.Message)) {
	for {
		b, err := link.Receive(ctx)
		if err != nil {
			return
		}
		m, err := daisycodec.DecodeMessage(b)
		if err != nil {
			return
		}
		if m.Seat != nil && m.Seat.Name != link.Peer() {
			return
		}
		step(m)
	}
}
