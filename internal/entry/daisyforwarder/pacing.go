package daisyforwarder

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/net/daisypacer"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// placeLink is the place where calls and replies wait for this host's link, for OnWait.
const placeLink = "link"

// callBytes is the size of a call besides its texts.
const callBytes = 200

// errLinkBusy is returned for calls that were not sent in time, since this host's link was
// busy.
var errLinkBusy = errors.New("this host's network link is busy")

// Pacing orders what a host sends to other hosts over its link.
type Pacing struct {
	Pacer  *daisypacer.Pacer // Nil lets all pass.
	OnWait func(place, class string, wait time.Duration)
}

// wait waits until the link may send a message of the request, in its order.
func (p Pacing) wait(ctx context.Context, req *daisyrequest.Request, bytes int) error {
	began := time.Now()
	o := daisyorder.Order{
		Priority: req.Priority, Class: req.Class, StartBy: daisyorder.StartBy(req.Objective, 0), Deadline: req.Deadline,
	}
	err := p.Pacer.Wait(ctx, bytes, o)
	if err == nil && p.Pacer != nil && p.OnWait != nil {
		p.OnWait(placeLink, req.Class, time.Since(began))
	}
	return err
}

// pace waits until this host's link may send the request.
func (f *Forwarder) pace(req daisyrequest.Request) error {
	ctx, cancel := context.WithDeadline(req.Waiting(), req.SendDeadline)
	defer cancel()
	p := Pacing{Pacer: f.options.Pacer, OnWait: f.options.OnWait}
	if p.wait(ctx, &req, callSize(&req)) != nil {
		return errLinkBusy
	}
	return nil
}

// callSize estimates the size of the call for a request.
func callSize(req *daisyrequest.Request) int {
	size := callBytes + len(req.Statement.Text) + len(req.Statement.Shape) + len(req.Statement.Arguments)
	for name, value := range req.Values {
		size += len(name) + len(value)
	}
	return size
}

// replyInOrder sends the reply to a call when the link may. Replies to statements of open
// transactions do not wait: these hold connections. A reply that is ready is sent, even if
// its caller may have given up.
func (s *peer) replyInOrder(ctx context.Context, call daisycodec.Call, r daisycodec.CallReply) {
	if call.PinnedConn != 0 {
		s.reply(ctx, call, r)
		return
	}
	message := encodeReply(r)
	waitCtx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	if s.pacing.wait(waitCtx, &call.Request, len(message)) != nil {
		s.pacing.Pacer.Charge(len(message))
	}
	s.send(ctx, call, message)
}
