package daisylease

import (
	"context"
	"time"

	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
)

// countedLink counts the bytes of the messages that it carries. Control hosts do not
// count, so it counts those that it receives too.
type countedLink struct {
	Link
	counter daisytraffic.Counter
}

// Counted returns the link with its messages counted.
func Counted(l Link, c daisytraffic.Counter) Link { return &countedLink{Link: l, counter: c} }

// Send implements Link.
func (l *countedLink) Send(ctx context.Context, message []byte) error {
	l.counter.Add(daisytraffic.PurposeControl, len(message))
	return l.Link.Send(ctx, message)
}

// Receive implements Link.
func (l *countedLink) Receive(ctx context.Context) ([]byte, error) {
	message, err := l.Link.Receive(ctx)
	l.counter.Add(daisytraffic.PurposeControl, len(message))
	return message, err
}

// Protocol returns the protocol of the control host, as the client asks its links.
func (l *countedLink) Protocol() int {
	if p, ok := l.Link.(interface{ Protocol() int }); ok {
		return p.Protocol()
	}
	return daisylink.ProtocolLoad
}

// LastReceived returns when bytes last arrived, as the client asks its links.
func (l *countedLink) LastReceived() time.Time {
	if r, ok := l.Link.(interface{ LastReceived() time.Time }); ok {
		return r.LastReceived()
	}
	return time.Time{}
}
