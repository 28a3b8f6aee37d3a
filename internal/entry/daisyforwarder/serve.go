package daisyforwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// Samples keeps the positions of primaries that a host knows.
type Samples interface {
	// Sample returns the latest position of the service's primary, with the epoch
	// of its leadership and its age. Epoch 0 means that no position is known.
	Sample(service string) (epoch uint64, p daisystatement.Position, age time.Duration)
	// LeadingEpoch returns the epoch in which the server leads the service, if it
	// certainly does now, else 0.
	LeadingEpoch(service, server string) uint64
	// MinPosition returns a position that covers every write of the epoch's primary and
	// of earlier ones that was acknowledged longer than age before now. It returns false
	// if none is known.
	MinPosition(service string, epoch uint64, now time.Time, age time.Duration) (daisystatement.Position, bool)
	// NeedPosition has the service's primary asked for its position, for a read of the
	// workspace. It does not wait for the answer.
	NeedPosition(service, workspace string)
	// RecordPeerPosition records the position in an answer of the epoch's primary to
	// a request that was sent at sentAt or later.
	RecordPeerPosition(service string, epoch uint64, sentAt time.Time, p daisystatement.Position)
}

// peer serves the link of another host that uses this host's gateway.
type peer struct {
	gateway *daisygateway.Gateway
	samples Samples
	conn    Conn
	pacing  Pacing
	traffic daisytraffic.Counter
	wait    sync.WaitGroup
	pinned  pinnedConns

	mu      sync.Mutex
	waiting map[uint64]context.CancelFunc // Ends the wait of the call with the ID.
}

// Serve runs the statement requests of another host until its link ends, and
// then closes the connections pinned for it. Each answer, also a refusal, carries the
// latest position of the service's primary that this host knows, so that hosts far
// from the primary seldom have to ask it. The gateway of a primary learns that
// position from the answers of the primary. The bytes of replies count as traffic.
func Serve(ctx context.Context, conn Conn, g *daisygateway.Gateway, samples Samples, pacing Pacing, traffic daisytraffic.Counter, logger log.Interface) {
	s := &peer{
		pacing: pacing, gateway: g, samples: samples, conn: conn, traffic: traffic,
		waiting: make(map[uint64]context.CancelFunc),
	}
	defer s.close()
	var t transit
	for {
		message, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		call, err := daisycodec.DecodeCall(message, time.Now())
		if err != nil {
			logger.WithError(err).Warn("carrier: received a malformed call; closing the link")
			return
		}
		if call.Sent > 0 {
			call.Request.Expedite(t.delay(call.Sent, daisyclock.Now()))
		}
		s.handle(ctx, call)
	}
}

func (s *peer) handle(ctx context.Context, call daisycodec.Call) {
	switch call.Action {
	case daisycodec.ActionUnpin:
		s.pinned.unpin(call.PinnedConn)
	case daisycodec.ActionRun:
		abandoned := s.begin(&call)
		s.wait.Go(func() {
			defer abandoned()
			s.replyInOrder(ctx, call, s.run(call))
		})
	case daisycodec.ActionAbandon:
		s.abandon(call.ID)
	default: // ActionPing.
		s.reply(ctx, call, daisycodec.CallReply{ID: call.ID})
	}
}

func (s *peer) run(call daisycodec.Call) (r daisycodec.CallReply) {
	r.ID = call.ID
	var pinned daisyrequest.PinnedConn
	var err error
	if call.PinnedConn == 0 && !s.addPosition(&call.Request) {
		err = fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrNoPosition)
	} else if call.PinnedConn == 0 {
		epoch, arrived := s.samples.LeadingEpoch(call.Request.Service, call.Request.Server), daisyclock.Now()
		r.Answer, pinned, err = s.gateway.Run(call.Request)
		if err == nil && r.Answer.Failure == nil && epoch > 0 && call.Request.Statement.Samples() {
			s.samples.RecordPeerPosition(call.Request.Service, epoch, arrived, r.Answer.Position)
		}
		if pinned != nil {
			r.PinnedConn = s.pinned.add(pinned)
		}
	} else if pinned, err = s.pinned.take(call.PinnedConn); err == nil {
		r.Answer, err = pinned.Do(call.Request)
		if s.pinned.release(call.PinnedConn, err == nil) {
			r.PinnedConn = call.PinnedConn
		}
	}
	r.Fault, r.Text = fault(err)
	s.addCold(&r, call.Request.Server, err)
	if overload := (*daisyrequest.OverloadError)(nil); s.conn.Protocol() >= daisylink.ProtocolOverload && errors.As(err, &overload) {
		r.RetryAfter, r.OwnShare = overload.RetryAfter, overload.OwnShare
	}
	r.Sample.Epoch, r.Sample.Position, r.Sample.Age = s.samples.Sample(call.Request.Service)
	if call.PinnedConn == 0 && s.conn.Protocol() >= daisylink.ProtocolLoad {
		r.Load = s.gateway.Load(call.Request)
	}
	return r
}

const (
	// positionWait is how long a read waits for a position that the gateway does not
	// have: three round trips between regions. After a restart of all hosts no host has
	// any, and the primaries could not serve all reads.
	positionWait = 75 * time.Millisecond
	// positionInterval is how often it looks for the position meanwhile.
	positionInterval = 10 * time.Millisecond
)

// addPosition adds the position that the request's Freshness asks for to its statement.
// It returns false if none is known in time. The read arrived at its host earlier than the
// request here, so a position that is recent enough now was so then.
func (s *peer) addPosition(req *daisyrequest.Request) bool {
	if req.Freshness.MaxAge <= 0 {
		return true
	}
	p, ok := s.samples.MinPosition(req.Service, req.Freshness.Epoch, daisyclock.Now(), req.Freshness.MaxAge)
	for until := time.Now().Add(positionWait); !ok && time.Now().Before(until); {
		s.samples.NeedPosition(req.Service, req.Workspace)
		time.Sleep(positionInterval)
		p, ok = s.samples.MinPosition(req.Service, req.Freshness.Epoch, daisyclock.Now(), req.Freshness.MaxAge)
	}
	if ok {
		req.Statement.MinPosition, req.Freshness = daisystatement.Max(req.Statement.MinPosition, p), daisyrequest.Freshness{}
	}
	return ok
}

// fault returns the code and the text by which a reply reports the error.
func fault(err error) (daisycodec.Fault, string) {
	switch {
	case err == nil:
		return daisycodec.FaultNone, ""
	case errors.Is(err, daisyrequest.ErrNoPosition):
		return daisycodec.FaultNoPosition, ""
	case errors.Is(err, daisyrequest.ErrUnreachable):
		return daisycodec.FaultUnreachable, err.Error()
	case errors.Is(err, daisyrequest.ErrNotSent):
		return daisycodec.FaultNotSent, err.Error()
	case errors.Is(err, daisyrequest.ErrPinnedConnClosed):
		return daisycodec.FaultPinnedConnClosed, err.Error()
	}
	return daisycodec.FaultOutcomeUnknown, err.Error()
}

// reply sends a reply without waiting for others.
func (s *peer) reply(ctx context.Context, call daisycodec.Call, r daisycodec.CallReply) {
	message := encodeReply(r)
	s.pacing.Pacer.Charge(len(message))
	s.send(ctx, call, message)
}

func (s *peer) send(ctx context.Context, call daisycodec.Call, message []byte) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	s.traffic.Add(purpose(call), len(message))
	if s.conn.Send(ctx, message) != nil {
		s.conn.Close()
	}
}

// close unpins all connections and waits for running requests.
func (s *peer) close() {
	s.pinned.close()
	s.wait.Wait()
}
