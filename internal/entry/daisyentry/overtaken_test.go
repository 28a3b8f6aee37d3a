package daisyentry_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// pipeNetwork is a network in memory with one listener.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (n *pipeNetwork) Listen(context.Context, netip.AddrPort) (net.Listener, error) { return n, nil }

func (n *pipeNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	n.accepted <- server
	return client, nil
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *pipeNetwork) Close() error {
	close(n.closed)
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// leavingHolder loses the database while a request is under way, and answers it late.
type leavingHolder struct {
	fakeHolder
	view  *daisyfleet.View
	delay time.Duration
}

func (h *leavingHolder) Stream() daisystream.Stream { return h }

func (h *leavingHolder) Do(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	next := daisyfleet.Object{
		ID: daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "db"}, Revision: 2, Value: daisyfleet.Ownership{Term: 2, Holder: "other"},
	}
	if err := h.view.Update(func(s *daisyfleet.State) error {
		return s.Merge(daisyfleet.Delta{From: 1, To: 2, Objects: []daisyfleet.Object{next}})
	}); err != nil {
		return err
	}
	select {
	case <-time.After(h.delay):
		return h.fakeHolder.Do(ctx, r, emit)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against requests whose outcome is said to be unknown since the change of the
// ownership overtakes the answer of the holder that hands the database over.
func TestAnswerOvertakenByOwnership(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // From the change of the ownership to the answer.
		code  string        // Of the answer.
	}{
		{"OnItsWay", 60 * time.Millisecond, ""},
		{"NeverComes", time.Minute, daisystream.CodeUnknownOutcome},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{})}
				view := daisyfleet.NewView()
				s := openServerOn(t, network, view, &leavingHolder{view: view, delay: test.delay})
				defer func() { assert.NilError(t, s.Close()) }()
				conn, err := network.Dial(t.Context(), netip.AddrPort{})
				assert.NilError(t, err)
				c := &testClient{t: t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
				c.login()
				sent, code := time.Now(), ""
				c.send(&pgproto3.Query{String: "INSERT INTO t VALUES (1)"})
				c.until(func(m pgproto3.BackendMessage) bool {
					if e, ok := m.(*pgproto3.ErrorResponse); ok {
						code = e.Code
					}
					return isReady(m)
				})
				assert.Equal(t, code, test.code)
				assert.Assert(t, time.Since(sent) < 150*time.Millisecond, "answered after %v", time.Since(sent))
			})
		})
	}
}
