package daisysession_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// refuser pins connections on which the server refuses a statement and leaves the
// transaction open.
type refuser struct {
	*daisygateway.Gateway
	id   string
	code daisystatement.Code
}

func (r *refuser) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	a, conn, err := r.Gateway.Run(req)
	if conn != nil {
		conn = &refusingConn{PinnedConn: conn, refuser: r}
	}
	return a, conn, err
}

type refusingConn struct {
	daisyrequest.PinnedConn
	refuser *refuser
}

func (c *refusingConn) Do(req daisyrequest.Request) (daisystatement.Answer, error) {
	if req.Statement.ID == c.refuser.id {
		return daisystatement.Fail(daisystatement.StateOpen, c.refuser.code, "refused"), nil
	}
	return c.PinnedConn.Do(req)
}

// Guards against a transaction that is committed though its client was told that nothing of
// it is kept.
func TestNothingIsKeptOfTransactionAfterPromise(t *testing.T) {
	tests := []struct {
		name string
		code daisystatement.Code // With which the server refuses the second write.
		kind daisystatement.Kind // Of the second write.
		want daisystatement.Code
		kept int
	}{
		{"Busy", daisystatement.CodeBusy, daisystatement.KindWrite, daisystatement.CodeBusy, 0},
		{"Aborted", daisystatement.CodeAborted, daisystatement.KindWrite, daisystatement.CodeAborted, 0},
		{"Lagging", daisystatement.CodeLagging, daisystatement.KindWrite, daisystatement.CodeLagging, 0},
		{"ReadOnly", daisystatement.CodeReadOnly, daisystatement.KindWrite, daisystatement.CodeReadOnly, 0},
		{"WrongNode", daisystatement.CodeWrongNode, daisystatement.KindWrite, daisystatement.CodeWrongNode, 0},
		{"TooMany", daisystatement.CodeTooMany, daisystatement.KindWrite, daisystatement.CodeTooMany, 0},
		{"NotPrepared", daisystatement.CodeNone, daisystatement.KindExecute, daisystatement.CodeNoStatement, 0},
		{"FailedPromisesNothing", daisystatement.CodeFailed, daisystatement.KindWrite, daisystatement.CodeFailed, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.env.Forwarder = &refuser{Gateway: f.gateway, id: "w2", code: test.code}
				s := f.session("strict")
				defer s.Close()
				do(s, statement(daisystatement.KindBegin, "b"))
				assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w1"))), daisystatement.CodeNone)
				second := statement(test.kind, "w2")
				second.Name = "unknown"
				assert.Equal(t, code(do(s, second)), test.want)
				do(s, statement(daisystatement.KindCommit, "c"))
				assert.Equal(t, f.servers["m1"].commits, test.kept)
				assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w3"))), daisystatement.CodeNone)
			})
		})
	}
}
