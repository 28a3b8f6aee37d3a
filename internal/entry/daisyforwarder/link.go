package daisyforwarder

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// dialTimeout bounds the opening of a link to ten round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// redialDelay is the time after a link failed during which no new link is
	// opened to the host.
	redialDelay = 250 * time.Millisecond
	// pingDelay is how long a link with calls outstanding may be silent before
	// the other host is pinged.
	pingDelay = 150 * time.Millisecond
	// silenceTimeout is how long it may be silent before it is closed. The reply
	// to a ping needs one round trip, 25 ms between regions.
	silenceTimeout = 450 * time.Millisecond
	// delayedSilenceTimeout is the same while messages of this host are held up, so that
	// it does not open all its links anew over a full network link.
	delayedSilenceTimeout = 1500 * time.Millisecond
	// checkInterval is the time between checks of a link for silence.
	checkInterval = 50 * time.Millisecond
	// sendTimeout bounds the sending of a call or a reply.
	sendTimeout = 500 * time.Millisecond
	// replyMargin is how long the reply to a call is awaited after the call's
	// deadline, for the time that the reply travels.
	replyMargin = 50 * time.Millisecond
)

// errLinkLost is returned for calls on a link that was lost or did not open.
var errLinkLost = errors.New("link to the gateway host was lost")

// link sends calls to one host. It is not reopened: after a failure it is
// replaced by a new link.
type link struct {
	addr     netip.AddrPort
	counters *counters
	delayed  func() bool                      // Reports whether messages of this host are held up; may be nil.
	ready    chan struct{}                    // Closed once the link is open or has failed.
	pace     func(daisyrequest.Request) error // Waits until this host's link may send the request.
	reopened bool                             // Whether it replaces a link that failed.
	traffic  daisytraffic.Counter             // Counts the bytes of calls.

	mu          sync.Mutex
	opened      time.Time
	conn        Conn // Nil before the link is open and after it has failed.
	failure     error
	failedAt    time.Time
	lastID      uint64
	pending     map[uint64]chan daisycodec.CallReply
	unwanted    map[uint64]bool // Calls that were given up and whose reply names a connection to unpin.
	silentSince time.Time       // Since when calls are outstanding and nothing was received; zero if none is.
	pingSent    bool
}

func newLink(addr netip.AddrPort, c *counters, delayed func() bool) *link {
	return &link{
		addr: addr, counters: c, delayed: delayed, ready: make(chan struct{}),
		pending: make(map[uint64]chan daisycodec.CallReply), unwanted: make(map[uint64]bool),
	}
}

// hasFailed reports whether the link was lost or could not be opened.
func (l *link) hasFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure != nil
}

// failedRecently reports whether the link failed less than redialDelay ago.
func (l *link) failedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.failedAt) < redialDelay
}

// await waits until the link is open, has failed or the deadline has passed.
func (l *link) await(deadline time.Time) error {
	select {
	case <-l.ready:
		return l.state()
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-l.ready:
	case <-timer.C:
		return errLinkLost
	}
	return l.state()
}

// state returns why the link failed, or nil.
func (l *link) state() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// serve opens the link and receives replies until it fails.
func (l *link) serve(ctx context.Context, dial Dial, logger log.Interface) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := dial(dialCtx, l.addr)
	cancel()
	if err != nil {
		l.counters.linksFailed.Add(1)
		l.fail(err)
		close(l.ready)
		logger.WithError(err).WithField("Gateway", l.addr).Info("carrier: gateway host unreachable; requests go to the next gateway")
		return
	}
	l.mu.Lock()
	l.conn, l.opened = conn, daisyclock.Now()
	l.mu.Unlock()
	close(l.ready)
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	var checking sync.WaitGroup
	defer checking.Wait()
	checking.Go(func() { l.checkSilence(ctx, conn) })
	err = l.receive(ctx, conn)
	conn.Close()
	l.counters.linksLost.Add(1)
	l.fail(err)
	cancel()
	logger.WithError(err).WithField("Gateway", l.addr).Info("carrier: link to gateway host lost; its outstanding calls failed")
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
		if l.deliver(r) || r.ID == 0 { // Pings have no ID.
			continue
		}
		l.counters.lateReplies.Add(1)
		if l.isUnwanted(r) {
			l.send(ctx, conn, daisycodec.Call{Action: daisycodec.ActionUnpin, PinnedConn: r.PinnedConn})
		}
	}
}

// nextCall returns the open connection and the ID of a new call; a nil connection if the link
// is not open.
func (l *link) nextCall() (Conn, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.conn, l.lastID
}

// expect returns a channel that receives the reply to a call that is about to be sent, and
// is closed if the link fails. It returns false if that has failed.
func (l *link) expect(id uint64) (replies chan daisycodec.CallReply, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, false
	}
	replies = make(chan daisycodec.CallReply, 1)
	l.pending[id] = replies
	if l.silentSince.IsZero() {
		l.silentSince = time.Now()
	}
	return replies, true
}

// deliver hands the reply to the call that waits for it, if there is one.
func (l *link) deliver(r daisycodec.CallReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	replies := l.pending[r.ID]
	delete(l.pending, r.ID)
	l.silentSince, l.pingSent = time.Time{}, false
	if len(l.pending) > 0 {
		l.silentSince = time.Now()
	}
	if replies != nil {
		replies <- r // It has room for the only reply.
	}
	return replies != nil
}

// isUnwanted reports whether the late reply names a pinned connection that nobody uses. It
// is used for each reply once.
func (l *link) isUnwanted(r daisycodec.CallReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unwanted := l.unwanted[r.ID]
	delete(l.unwanted, r.ID)
	return unwanted && r.PinnedConn != 0
}

// giveUp ends the wait for the reply to a call. It returns false if that has come, or the
// link has failed.
func (l *link) giveUp(call daisycodec.Call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, waits := l.pending[call.ID]
	delete(l.pending, call.ID)
	if waits && call.Request.Pin && call.PinnedConn == 0 {
		l.unwanted[call.ID] = true
	}
	return waits
}

// fail marks the link as failed and ends all outstanding calls.
func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure, l.failedAt, l.conn = errors.Join(errLinkLost, err), time.Now(), nil
	for id, replies := range l.pending {
		close(replies)
		delete(l.pending, id)
	}
}

// checkSilence pings a host that is silent while calls are outstanding, and
// closes the connection if it stays silent.
func (l *link) checkSilence(ctx context.Context, conn Conn) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		silent := time.Duration(0)
		if !l.silentSince.IsZero() {
			silent = time.Since(l.silentSince)
		}
		ping := silent > pingDelay && !l.pingSent
		l.pingSent = l.pingSent || ping
		l.mu.Unlock()
		timeout := silenceTimeout
		if silent > silenceTimeout && l.delayed != nil && l.delayed() {
			timeout = delayedSilenceTimeout
		}
		switch {
		case silent > timeout:
			conn.Close()
			return
		case ping:
			l.send(ctx, conn, daisycodec.Call{Action: daisycodec.ActionPing})
		}
	}
}

// encode returns the message of a call, or an error if the other host would refuse it and
// close the link.
func (l *link) encode(conn Conn, call daisycodec.Call) ([]byte, error) {
	if conn.Protocol() >= daisylink.ProtocolOverload {
		call.Sent = max(1, daisyclock.Now().Sub(l.opened)) // 0 states nothing.
	}
	if conn.Protocol() < daisylink.ProtocolLoad {
		call.Request.Objective = time.Time{}
	}
	message := daisycodec.EncodeCall(call, time.Now())
	if isTooLong(message, len(call.Request.Values)) {
		return nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrTooLong)
	}
	return message, nil
}

// send sends a call that is not too long.
func (l *link) send(ctx context.Context, conn Conn, call daisycodec.Call) {
	if message, err := l.encode(conn, call); err == nil {
		l.write(ctx, conn, call, message)
	}
}

func (l *link) write(ctx context.Context, conn Conn, call daisycodec.Call, message []byte) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	l.traffic.Add(purpose(call), len(message))
	if conn.Send(ctx, message) != nil {
		conn.Close() // Then receive returns an error and the link fails.
	}
}

// call sends a call and waits for its reply until the deadline. When client ends, it tells
// the other host, which refuses the call if it still waits, and goes on waiting: the
// statement may be running.
func (l *link) call(client context.Context, call daisycodec.Call, deadline time.Time) (r daisycodec.CallReply, err error) {
	conn, id := l.nextCall()
	if conn == nil {
		return r, fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable, errLinkLost)
	}
	call.ID = id
	message, err := l.encode(conn, call)
	if err != nil {
		return r, err
	}
	replies, ok := l.expect(id)
	if !ok {
		return r, fmt.Errorf("%w: %w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable, errLinkLost)
	}
	l.counters.calls.Add(1)
	l.write(context.Background(), conn, call, message)
	timer := time.NewTimer(time.Until(deadline) + replyMargin)
	defer timer.Stop()
	left := client.Done()
	for {
		select {
		case r, ok := <-replies:
			if !ok {
				return r, errLinkLost
			}
			return r, nil
		case <-left:
			left = nil
			if conn.Protocol() >= daisylink.ProtocolLoad {
				l.send(context.Background(), conn, daisycodec.Call{ID: call.ID, Action: daisycodec.ActionAbandon})
			}
		case <-timer.C:
			if !l.giveUp(call) {
				continue
			}
			l.counters.timedOut.Add(1)
			return r, context.DeadlineExceeded
		}
	}
}

// protocol returns the protocol of the other host, or ProtocolFirst if the link is not
// open.
func (l *link) protocol() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return daisylink.ProtocolFirst
	}
	return l.conn.Protocol()
}

// run runs a statement request at the other host.
func (l *link) run(req daisyrequest.Request) (r daisycodec.CallReply, pinned daisyrequest.PinnedConn, err error) {
	if req.Freshness.MaxAge > 0 && l.protocol() < daisylink.ProtocolPosition {
		return r, nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrNoPosition)
	}
	if err := l.pace(req); err != nil {
		return r, nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, err)
	}
	r, err = l.call(req.Waiting(), daisycodec.Call{Action: daisycodec.ActionRun, Request: req}, req.Deadline)
	if err == nil {
		err = faultError(r)
	}
	if err == nil && r.PinnedConn != 0 {
		pinned = &remotePinnedConn{link: l, id: r.PinnedConn}
	}
	return r, pinned, err
}

// faultError returns the error of daisygateway that the reply stands for.
func faultError(r daisycodec.CallReply) error {
	switch r.Fault {
	case daisycodec.FaultNone:
		return nil
	case daisycodec.FaultNotSent:
		if r.OverBudget {
			return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrOverBudget)
		}
		if r.RetryAfter > 0 {
			return daisyrequest.NewOverloadError(r.RetryAfter, r.OwnShare)
		}
		return fmt.Errorf("%w: %s", daisyrequest.ErrNotSent, r.Text)
	case daisycodec.FaultNoPosition:
		return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrNoPosition)
	case daisycodec.FaultUnreachable:
		return fmt.Errorf("%w: %w: %s", daisyrequest.ErrNotSent, daisyrequest.ErrUnreachable, r.Text)
	case daisycodec.FaultPinnedConnClosed:
		return daisyrequest.ErrPinnedConnClosed
	}
	return errors.New(r.Text)
}

// remotePinnedConn is a connection pinned for a transaction at another host's
// gateway.
type remotePinnedConn struct {
	link *link
	id   uint64
}

// Do implements daisyrequest.PinnedConn.
func (p *remotePinnedConn) Do(req daisyrequest.Request) (daisystatement.Answer, error) {
	r, err := p.link.call(context.Background(), daisycodec.Call{Action: daisycodec.ActionRun, PinnedConn: p.id, Request: req}, req.Deadline)
	if err == nil {
		err = faultError(r)
	}
	return r.Answer, err
}

// Close implements daisyrequest.PinnedConn. The other host also closes the
// pinned connection when it loses the link.
func (p *remotePinnedConn) Close() {
	p.link.mu.Lock()
	conn := p.link.conn
	p.link.mu.Unlock()
	if conn != nil {
		p.link.send(context.Background(), conn, daisycodec.Call{Action: daisycodec.ActionUnpin, PinnedConn: p.id})
	}
}
