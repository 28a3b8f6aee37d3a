package daisyforwarder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// dialTimeout bounds the opening of a link: ten round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// failurePause is how long no link is opened to a host after one failed.
	failurePause = 250 * time.Millisecond
	// pingAfter is how long a link may be silent, with calls outstanding, before
	// the other host is asked for a sign of life.
	pingAfter = 150 * time.Millisecond
	// silentLimit is how long it may be silent before it is given up; a sign of
	// life needs no more than a round trip, 25 ms between regions.
	silentLimit = 450 * time.Millisecond
	// watchInterval is how often a link is looked at.
	watchInterval = 50 * time.Millisecond
	// sendTimeout bounds the sending of a call.
	sendTimeout = 500 * time.Millisecond
	// replyMargin is how much longer than its limit a call is awaited, for the
	// way of the reply.
	replyMargin = 50 * time.Millisecond
)

// errLinkLost is returned for calls that were outstanding on a lost link.
var errLinkLost = errors.New("link to the gateway was lost")

// link carries calls to one host. It is used once: after a failure a new one
// takes its place.
type link struct {
	addr  netip.AddrPort
	ready chan struct{} // Closed once the link is open or has failed.

	mu      sync.Mutex
	conn    Conn // Nil before the link is open and after it was lost.
	failed  error
	ended   time.Time
	next    uint64
	pending map[uint64]chan daisycodec.CallReply
	asked   time.Time // Since when calls are outstanding and nothing was heard.
	pinged  bool
}

func newLink(addr netip.AddrPort) *link {
	return &link{addr: addr, ready: make(chan struct{}), pending: make(map[uint64]chan daisycodec.CallReply)}
}

// done reports whether the link was lost or could not be opened.
func (l *link) done() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed != nil
}

// recent reports whether the link failed so lately that another attempt would
// be too early.
func (l *link) recent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.ended) < failurePause
}

// await waits until the link is open.
func (l *link) await(until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-l.ready:
	case <-timer.C:
		return errLinkLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// serve opens the link and receives replies until it is lost.
func (l *link) serve(ctx context.Context, dial Dial, logger log.Interface) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := dial(dialCtx, l.addr)
	cancel()
	if err != nil {
		l.fail(err)
		close(l.ready)
		logger.WithError(err).WithField("Gateway", l.addr).Info("carrier: gateway not reached")
		return
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	close(l.ready)
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	var watching sync.WaitGroup
	defer watching.Wait()
	watching.Go(func() { l.watch(ctx, conn) })
	err = l.receive(ctx, conn)
	conn.Close()
	l.fail(err)
	cancel()
	logger.WithError(err).WithField("Gateway", l.addr).Info("carrier: link to gateway lost")
}

func (l *link) receive(ctx context.Context, conn Conn) error {
	for {
		message, err := conn.Receive(ctx)
		if err != nil {
			return err
		}
		r, err := daisycodec.DecodeCallReply(message)
		if err != nil {
			return err
		}
		l.mu.Lock()
		waiting := l.pending[r.ID]
		delete(l.pending, r.ID)
		l.asked, l.pinged = time.Time{}, false
		if len(l.pending) > 0 {
			l.asked = time.Now()
		}
		l.mu.Unlock()
		if waiting != nil {
			waiting <- r
		}
	}
}

// fail ends the link for those that wait on it.
func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed, l.ended, l.conn = errors.Join(errLinkLost, err), time.Now(), nil
	for id, waiting := range l.pending {
		close(waiting)
		delete(l.pending, id)
	}
}

// watch asks a silent host for a sign of life and gives it up if there is none.
func (l *link) watch(ctx context.Context, conn Conn) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		silent := time.Duration(0)
		if !l.asked.IsZero() {
			silent = time.Since(l.asked)
		}
		ping := silent > pingAfter && !l.pinged
		l.pinged = l.pinged || ping
		l.mu.Unlock()
		switch {
		case silent > silentLimit:
			conn.Close()
			return
		case ping:
			l.send(ctx, conn, daisycodec.Call{Action: daisycodec.ActionPing})
		}
	}
}

func (l *link) send(ctx context.Context, conn Conn, call daisycodec.Call) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if conn.Send(ctx, daisycodec.EncodeCall(call, time.Now())) != nil {
		conn.Close() // The receiver then fails the link.
	}
}

// call sends a call and waits for its reply until the limit.
func (l *link) call(call daisycodec.Call, limit time.Time) (r daisycodec.CallReply, err error) {
	waiting := make(chan daisycodec.CallReply, 1)
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return r, fmt.Errorf("%w: %w: %w", daisygateway.ErrNotSent, daisygateway.ErrUnreachable, errLinkLost)
	}
	l.next++
	call.ID = l.next
	l.pending[call.ID] = waiting
	if l.asked.IsZero() {
		l.asked = time.Now()
	}
	l.mu.Unlock()
	l.send(context.Background(), conn, call)
	timer := time.NewTimer(time.Until(limit) + replyMargin)
	defer timer.Stop()
	select {
	case r, ok := <-waiting:
		if !ok {
			return r, errLinkLost
		}
		return r, nil
	case <-timer.C:
		l.mu.Lock()
		delete(l.pending, call.ID)
		l.mu.Unlock()
		return r, context.DeadlineExceeded
	}
}

// run runs an errand at the other host.
func (l *link) run(e daisygateway.StatementRequest) (r daisycodec.CallReply, lane daisygateway.PinnedConn, err error) {
	r, err = l.call(daisycodec.Call{Action: daisycodec.ActionRun, Request: e}, e.Deadline)
	if err == nil {
		err = faultError(r)
	}
	if err == nil && r.PinnedConn != 0 {
		lane = &remoteLane{link: l, id: r.PinnedConn}
	}
	return r, lane, err
}

func faultError(r daisycodec.CallReply) error {
	switch r.Fault {
	case daisycodec.FaultNone:
		return nil
	case daisycodec.FaultNotSent:
		return fmt.Errorf("%w: %s", daisygateway.ErrNotSent, r.Text)
	case daisycodec.FaultUnreachable:
		return fmt.Errorf("%w: %w: %s", daisygateway.ErrNotSent, daisygateway.ErrUnreachable, r.Text)
	case daisycodec.FaultPinnedConnClosed:
		return daisygateway.ErrPinnedConnClosed
	}
	return errors.New(r.Text)
}

// remoteLane is a lane over a connection of another host.
type remoteLane struct {
	link *link
	id   uint64
}

// Do implements daisygateway.Lane.
func (l *remoteLane) Do(e daisygateway.StatementRequest) (daisystatement.Answer, error) {
	r, err := l.link.call(daisycodec.Call{Action: daisycodec.ActionRun, PinnedConn: l.id, Request: e}, e.Deadline)
	if err == nil {
		err = faultError(r)
	}
	return r.Answer, err
}

// Close implements daisygateway.Lane. The other host also ends the lane when it
// loses the link.
func (l *remoteLane) Close() {
	l.link.mu.Lock()
	conn := l.link.conn
	l.link.mu.Unlock()
	if conn != nil {
		l.link.send(context.Background(), conn, daisycodec.Call{Action: daisycodec.ActionUnpin, PinnedConn: l.id})
	}
}
