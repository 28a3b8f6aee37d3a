package daisyforwarder_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// Guards against one client that ends the calls of all others: a link refuses a message
// that is too long, and is lost with all calls on it.
func TestMessageThatIsTooLongIsNotSent(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	values := make(map[string]string)
	for name := range daisylink.PathStatement.Limit() >> 20 {
		values[strings.Repeat("v", 1+int(name))] = long
	}
	t.Run("Call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2)
			defer f.close()
			_, other := f.first()
			req := request(daisystatement.KindWrite, "w1")
			req.Values = values
			_, _, err := other.forwarder.Run(req)
			assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
			assert.ErrorIs(t, err, daisyrequest.ErrTooLong)
			ran, _ := f.server.seen()
			assert.Equal(t, len(ran), 0)
			_, _, err = other.forwarder.Run(request(daisystatement.KindWrite, "w2"))
			assert.NilError(t, err)
			assert.Equal(t, other.forwarder.Counts().LinksLost, uint64(0))
		})
	})
	t.Run("CallOfTransaction", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2)
			defer f.close()
			gateway, other := f.first()
			_, pinned, err := other.forwarder.Run(request(daisystatement.KindBegin, "begin"))
			assert.NilError(t, err)
			req := request(daisystatement.KindWrite, "w1")
			req.Values = values
			_, err = pinned.Do(req)
			assert.ErrorIs(t, err, daisyrequest.ErrNotSent)
			pinned.Close()
			time.Sleep(time.Second)
			assert.Equal(t, gateway.gateway.Active(), 0)
		})
	})
	t.Run("Reply", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2)
			defer f.close()
			gateway, other := f.first()
			conn, send, _ := f.rawLink(other, gateway)
			defer conn.Close()
			// Its row is as long, as if the server had many.
			send(daisycodec.Call{ID: 7, Request: request(daisystatement.KindRead, strings.Repeat(long, int(daisylink.PathStatement.Limit()>>20)))})
			message, err := conn.Receive(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, len(message) < 1<<20, "%d bytes", len(message))
			r, err := daisycodec.DecodeCallReply(message)
			assert.NilError(t, err)
			assert.Equal(t, r.ID, uint64(7))
			assert.Equal(t, r.Fault, daisycodec.FaultOutcomeUnknown)
		})
	})
}
