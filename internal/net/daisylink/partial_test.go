package daisylink_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Guards against a message that is read as the rest of another: after one that was sent in
// part, the link carries no more.
func TestNothingFollowsPartOfMessage(t *testing.T) {
	read := make(chan struct{})
	received := make(chan [][]byte, 1)
	mux := &daisylink.Mux{Plain: true}
	mux.Handle(daisylink.PathStatement, func(ctx context.Context, c *daisylink.Conn) {
		var all [][]byte
		message, err := c.Receive(ctx)
		for ; err == nil; message, err = c.Receive(ctx) {
			all = append(all, message)
			<-read
		}
		received <- all
	})
	listener, err := daisynet.TCP{}.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer mux.Wait()
	defer func() { _ = server.Close() }()
	conn, err := daisylink.NewPlainDialer("h2", daisynet.TCP{}).Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), daisylink.PathStatement)
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(t.Context(), []byte("first")))
	large := bytes.Repeat([]byte{7}, 16<<20) // No buffer on the way holds it.
	sent := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { sent <- conn.Send(ctx, large) }()
	time.Sleep(30 * time.Millisecond) // A part of it is on its way, or none.
	cancel()
	assert.Assert(t, <-sent != nil)
	for range 3 {
		assert.Assert(t, conn.Send(t.Context(), []byte("next")) != nil)
	}
	close(read)
	assert.DeepEqual(t, <-received, [][]byte{[]byte("first")})
	conn.Close()
}
