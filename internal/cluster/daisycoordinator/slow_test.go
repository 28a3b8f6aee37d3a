package daisycoordinator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// slowNetwork is a network in memory whose servers receive 250,000 bytes a second.
type slowNetwork struct{ *lossyNetwork }

func (n slowNetwork) Accept() (net.Conn, error) {
	c, err := n.lossyNetwork.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b[:min(len(b), 2500)])
	time.Sleep(time.Duration(n) * time.Second / 250_000)
	return n, err
}

// Guards against a replica that never gets a snapshot since each link to it is given up
// before the snapshot has left.
func TestSnapshotIsSentOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := slowNetwork{&lossyNetwork{accepted: make(chan net.Conn)}}
		received := make(chan daisylog.Message, 1)
		mux := &daisylink.Mux{Plain: true}
		mux.Handle(daisylink.PathLog, func(ctx context.Context, c *daisylink.Conn) {
			if b, err := c.Receive(ctx); err == nil {
				m, err := daisycodec.DecodeLogMessage(b)
				assert.Check(t, err)
				received <- m
			}
		})
		server := &http.Server{Handler: mux} //nolint:gosec // Only this test reaches it.
		go func() { _ = server.Serve(network) }()
		transport := NewTransport(daisylink.NewPlainDialer("c1", network))
		id := daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}
		object := daisyfleet.Object{ID: id, Revision: 1, Value: daisyfleet.Document{Version: 1, Content: string(make([]byte, 1<<20))}}
		snapshot := &daisylog.Snapshot{Index: 1, Term: 1, State: daisyfleet.Snapshot{Objects: []daisyfleet.Object{object}}}
		transport.Send(netip.MustParseAddrPort("10.0.0.1:7000"), daisylog.Message{Kind: daisylog.KindSnapshot, From: 1, Term: 1, Snapshot: snapshot})
		select {
		case m := <-received:
			assert.Equal(t, m.Snapshot.Index, snapshot.Index)
		case <-time.After(time.Minute):
			t.Error("the snapshot did not arrive")
		}
		assert.NilError(t, transport.Close())
		assert.NilError(t, server.Close())
		time.Sleep(time.Minute) // Let the links end.
	})
}
