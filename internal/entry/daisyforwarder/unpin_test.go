package daisyforwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// rawLink opens a link between the hosts and returns functions that send calls and receive
// replies over it.
func (f *fleet) rawLink(from, to *host) (conn daisyforwarder.Conn, send func(daisycodec.Call), receive func() daisycodec.CallReply) {
	f.t.Helper()
	conn, err := f.dial(from)(f.ctx, to.address)
	assert.NilError(f.t, err)
	send = func(c daisycodec.Call) {
		assert.NilError(f.t, conn.Send(f.ctx, daisycodec.EncodeCall(c, time.Now())))
	}
	receive = func() daisycodec.CallReply {
		message, err := conn.Receive(f.ctx)
		assert.NilError(f.t, err)
		r, err := daisycodec.DecodeCallReply(message)
		assert.NilError(f.t, err)
		return r
	}
	return conn, send, receive
}

// Guards against a transaction that stays open, with its locks and its connection, since
// its caller gave it up while a statement of it was running.
func TestConnUnpinnedDuringStatementIsClosed(t *testing.T) {
	tests := []struct {
		name string
		kind daisystatement.Kind
		ends daisycodec.Action // Sent while the statement runs.
	}{
		{"Write", daisystatement.KindWrite, daisycodec.ActionUnpin},
		{"Read", daisystatement.KindRead, daisycodec.ActionUnpin},
		{"Commit", daisystatement.KindCommit, daisycodec.ActionUnpin},
		{"AbandonedWrite", daisystatement.KindWrite, daisycodec.ActionAbandon},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				conn, send, receive := f.rawLink(other, gateway)
				send(daisycodec.Call{ID: 1, Request: request(daisystatement.KindBegin, "begin")})
				r := receive()
				assert.Assert(t, r.PinnedConn != 0)
				send(daisycodec.Call{ID: 2, PinnedConn: r.PinnedConn, Request: request(test.kind, "w1")})
				time.Sleep(5 * time.Millisecond) // It runs for 10 ms.
				send(daisycodec.Call{ID: 2, PinnedConn: r.PinnedConn, Action: test.ends})
				time.Sleep(time.Second)
				if test.ends == daisycodec.ActionAbandon { // It ends the wait only.
					assert.Equal(t, gateway.gateway.Active(), 1)
					send(daisycodec.Call{PinnedConn: r.PinnedConn, Action: daisycodec.ActionUnpin})
					time.Sleep(time.Second)
				}
				assert.Equal(t, gateway.gateway.Active(), 0)
				_, rolledBack := f.server.seen()
				assert.Equal(t, rolledBack, map[bool]int{true: 1}[test.kind != daisystatement.KindCommit])
				send(daisycodec.Call{ID: 3, PinnedConn: r.PinnedConn, Request: request(daisystatement.KindCommit, "late")})
				time.Sleep(time.Second)
				ran, _ := f.server.seen()
				assert.Assert(t, ran[len(ran)-1] != "late", "%v", ran)
				conn.Close()
			})
		})
	}
}

// Guards against a COMMIT that is reported as rolled back while it runs, and against two
// statements at once on a pinned connection.
func TestPinnedConnInUseIsNotReportedAsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		gateway, other := f.first()
		conn, send, receive := f.rawLink(other, gateway)
		defer conn.Close()
		send(daisycodec.Call{ID: 1, Request: request(daisystatement.KindBegin, "begin")})
		pinned := receive().PinnedConn
		send(daisycodec.Call{ID: 2, PinnedConn: pinned, Request: request(daisystatement.KindCommit, "first")})
		time.Sleep(5 * time.Millisecond) // It runs for 10 ms.
		send(daisycodec.Call{ID: 3, PinnedConn: pinned, Request: request(daisystatement.KindCommit, "second")})
		r := receive()
		assert.Equal(t, r.ID, uint64(3))
		assert.Equal(t, r.Fault, daisycodec.FaultOutcomeUnknown)
		r = receive()
		assert.Equal(t, r.ID, uint64(2))
		assert.Equal(t, r.Fault, daisycodec.FaultNone)
		ran, _ := f.server.seen()
		assert.DeepEqual(t, ran, []string{"begin", "first"})
		time.Sleep(time.Second)
		assert.Equal(t, gateway.gateway.Active(), 0)
	})
}
