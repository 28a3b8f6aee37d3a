package daisycli

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisynode"
)

// An operator's call that a control host has accepted when it is told to stop is
// answered.
func TestAcceptedCallIsAnswered(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	p := &process{
		settings: daisynode.Settings{GracePeriod: time.Minute}, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	accepted, release := make(chan struct{}), make(chan struct{})
	assert.NilError(t, p.serve(t.Context(), addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-release
		_, _ = io.WriteString(w, "accepted")
	})))
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+addr.String(), nil)
		if err != nil {
			results <- result{err: err}
			return
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			results <- result{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		results <- result{string(body), err}
	}()
	<-accepted
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.answerCalls()
	}()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	<-answered
	for _, s := range p.servers {
		assert.NilError(t, s.Close())
	}
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "accepted")
}
