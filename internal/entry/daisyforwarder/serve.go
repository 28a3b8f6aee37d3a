package daisyforwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// Samples tells the positions of primaries that a host knows.
type Samples interface {
	// Sample returns the latest position of the service's primary, with its round
	// and its age; round 0 if there is none.
	Sample(service string) (round uint64, p daisystatement.Position, age time.Duration)
}

// guest is another host's link to this host's gateway.
type guest struct {
	gateway *daisygateway.Gateway
	samples Samples
	conn    Conn
	wait    sync.WaitGroup

	mu    sync.Mutex
	next  uint64
	lanes map[uint64]daisygateway.PinnedConn
}

// Serve runs the errands of another host until its link ends. Its lanes end
// with it. Each answer carries the latest position of the service's primary that
// this host knows, so that hosts far from the primary seldom have to ask it.
func Serve(ctx context.Context, conn Conn, g *daisygateway.Gateway, samples Samples, logger log.Interface) {
	s := &guest{gateway: g, samples: samples, conn: conn, lanes: make(map[uint64]daisygateway.PinnedConn)}
	defer s.close()
	for {
		message, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		call, err := daisycodec.DecodeCall(message, time.Now())
		if err != nil {
			logger.WithError(err).Warn("carrier: call not understood")
			return
		}
		s.handle(ctx, call)
	}
}

func (s *guest) handle(ctx context.Context, call daisycodec.Call) {
	switch call.Action {
	case daisycodec.ActionUnpin:
		if lane := s.take(call.PinnedConn); lane != nil {
			lane.Close()
		}
	case daisycodec.ActionRun:
		s.wait.Go(func() { s.reply(ctx, s.run(call)) })
	default:
		s.reply(ctx, daisycodec.CallReply{ID: call.ID})
	}
}

// take returns a lane, which its caller then holds alone.
func (s *guest) take(id uint64) daisygateway.PinnedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	lane := s.lanes[id]
	delete(s.lanes, id)
	return lane
}

// keep puts a lane back, or ends it if the link has ended meanwhile.
func (s *guest) keep(id uint64, lane daisygateway.PinnedConn) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lanes == nil {
		lane.Close()
		return 0
	}
	if id == 0 {
		s.next++
		id = s.next
	}
	s.lanes[id] = lane
	return id
}

func (s *guest) run(call daisycodec.Call) (r daisycodec.CallReply) {
	r.ID = call.ID
	var lane daisygateway.PinnedConn
	var err error
	if call.PinnedConn == 0 {
		r.Answer, lane, err = s.gateway.Run(call.Request)
	} else if lane = s.take(call.PinnedConn); lane == nil {
		err = daisygateway.ErrPinnedConnClosed
	} else if r.Answer, err = lane.Do(call.Request); err != nil {
		lane.Close()
		lane = nil
	}
	if lane != nil {
		r.PinnedConn = s.keep(call.PinnedConn, lane)
	}
	r.Fault, r.Text = fault(err)
	r.Sample.Epoch, r.Sample.Position, r.Sample.Age = s.samples.Sample(call.Request.Service)
	return r
}

func fault(err error) (daisycodec.Fault, string) {
	switch {
	case err == nil:
		return daisycodec.FaultNone, ""
	case errors.Is(err, daisygateway.ErrUnreachable):
		return daisycodec.FaultUnreachable, err.Error()
	case errors.Is(err, daisygateway.ErrNotSent):
		return daisycodec.FaultNotSent, err.Error()
	case errors.Is(err, daisygateway.ErrPinnedConnClosed):
		return daisycodec.FaultPinnedConnClosed, err.Error()
	}
	return daisycodec.FaultOutcomeUnknown, err.Error()
}

func (s *guest) reply(ctx context.Context, r daisycodec.CallReply) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if s.conn.Send(ctx, daisycodec.EncodeCallReply(r)) != nil {
		s.conn.Close()
	}
}

// close ends the lanes and waits for errands under way.
func (s *guest) close() {
	s.mu.Lock()
	lanes := s.lanes
	s.lanes = nil
	s.mu.Unlock()
	for _, lane := range lanes {
		lane.Close()
	}
	s.wait.Wait()
}
