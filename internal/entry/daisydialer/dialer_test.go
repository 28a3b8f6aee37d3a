package daisydialer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/entry/daisydialer"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/security/daisycert"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

func config(t *testing.T, a *daisycert.Authority, host string) *tls.Config {
	files, err := a.Issue(t.TempDir(), host)
	assert.NilError(t, err)
	c, err := files.Load()
	assert.NilError(t, err)
	return c
}

// serveStreams serves links with the handler and returns a Streams that opens
// streams to it, and its address.
func serveStreams(t *testing.T, handle daisylink.Handler) (*daisydialer.Streams, netip.AddrPort) {
	authority, err := daisycert.NewAuthority("fleet")
	assert.NilError(t, err)
	listener, err := daisynet.TCP{}.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	mux := &daisylink.Mux{}
	mux.Handle(daisylink.PathStream, handle)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ErrorLog: stdlog.New(io.Discard, "", 0)}
	serverTLS := config(t, authority, "h1")
	go func() { _ = server.Serve(tls.NewListener(listener, serverTLS)) }()
	streams := daisydialer.New(daisylink.NewDialer(config(t, authority, "h2"), daisynet.TCP{}))
	t.Cleanup(func() {
		assert.Check(t, streams.Close())
		assert.Check(t, server.Close())
		mux.Wait()
	})
	return streams, netip.MustParseAddrPort(listener.Addr().String())
}

// answers returns a handler that answers each request with what f returns.
func answers(t *testing.T, f func(id uint64) []*daisystream.Answer) daisylink.Handler {
	return func(ctx context.Context, c *daisylink.Conn) {
		for {
			b, err := c.Receive(ctx)
			if err != nil {
				return
			}
			r, err := daisycodec.DecodeRequest(b)
			assert.Check(t, err)
			for _, a := range f(r.ID) {
				if a == nil || c.Send(ctx, daisycodec.EncodeAnswer(a)) != nil {
					return
				}
			}
		}
	}
}

func part(id uint64, text string) *daisystream.Answer {
	return &daisystream.Answer{ID: id, Bytes: []byte(text)}
}

func final(id uint64, text string) *daisystream.Answer {
	return &daisystream.Answer{ID: id, Bytes: []byte(text), Final: true, Status: daisystream.StatusIdle}
}

// TestAnswersDoNotReachOtherRequests sends two requests on a stream and checks
// that the second gets its own complete answer or an error.
func TestAnswersDoNotReachOtherRequests(t *testing.T) {
	tests := []struct {
		name   string
		answer func(id uint64) []*daisystream.Answer
		want   []string // "" is an error.
	}{
		{"Complete", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{part(id, "a"), final(id, "b")} }, []string{"ab", "ab"}},
		{"Duplicated", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{final(id, "a"), final(id, "a")} }, []string{"a", ""}},
		{"Late", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{final(id-1, "a")} }, []string{"", ""}},
		{"Reordered", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{final(id+1, "a"), final(id, "b")} }, []string{"", ""}},
		{"CutOff", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{part(id, "a"), nil} }, []string{"", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			streams, addr := serveStreams(t, answers(t, test.answer))
			stream, err := streams.Acquire(t.Context(), addr)
			assert.NilError(t, err)
			defer stream.Close()
			for _, want := range test.want {
				got, err := do(t.Context(), stream)
				if want == "" {
					assert.Check(t, err != nil, "got %q", got)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, got, want)
			}
		})
	}
}

func do(ctx context.Context, stream *daisydialer.RemoteStream) (string, error) {
	var text bytes.Buffer
	complete := false
	err := stream.Do(ctx, &daisystream.Request{Parts: []daisystream.Part{{Bytes: []byte("Q")}}}, func(a *daisystream.Answer) error {
		complete = a.Final
		text.Write(a.Bytes)
		return nil
	})
	if err == nil && !complete {
		err = errors.New("answer is not complete")
	}
	return text.String(), err
}

// TestStreamsInUseAreNotReused checks that a stream is reused only if its
// transaction has ended and its answer was received completely.
func TestStreamsInUseAreNotReused(t *testing.T) {
	open := &daisystream.Answer{ID: 1, Final: true, Status: daisystream.StatusOpen}
	tests := []struct {
		name   string
		answer func(id uint64) []*daisystream.Answer
		links  int
	}{
		{"Clean", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{final(id, "a")} }, 1},
		{"InTransaction", func(uint64) []*daisystream.Answer { return []*daisystream.Answer{open} }, 2},
		{"Abandoned", func(id uint64) []*daisystream.Answer { return []*daisystream.Answer{part(id, "a")} }, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			links := make(chan bool, 2)
			handle := answers(t, test.answer)
			streams, addr := serveStreams(t, func(ctx context.Context, c *daisylink.Conn) {
				links <- true
				handle(ctx, c)
			})
			for range 2 {
				stream, err := streams.Acquire(t.Context(), addr)
				assert.NilError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				_ = stream.Do(ctx, &daisystream.Request{Parts: []daisystream.Part{{Bytes: []byte("Q")}}}, func(a *daisystream.Answer) error {
					if !a.Final {
						cancel()
					}
					return nil
				})
				cancel()
				stream.Close()
			}
			<-links
			if test.links == 2 {
				<-links
			}
			assert.Equal(t, len(links), 0)
		})
	}
}
