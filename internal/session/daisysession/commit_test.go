package daisysession_test

import (
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// commitFailer pins connections on which a COMMIT fails with an error.
type commitFailer struct {
	*daisygateway.Gateway
	err error
}

func (f *commitFailer) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	a, conn, err := f.Gateway.Run(req)
	if conn != nil {
		conn = &commitFailingConn{PinnedConn: conn, err: f.err}
	}
	return a, conn, err
}

type commitFailingConn struct {
	daisyrequest.PinnedConn
	err error
}

func (c *commitFailingConn) Do(req daisyrequest.Request) (daisystatement.Answer, error) {
	if req.Statement.Kind == daisystatement.KindCommit {
		return daisystatement.Answer{}, c.err
	}
	return c.PinnedConn.Do(req)
}

// A transaction whose COMMIT certainly did not reach the server is reported as
// aborted, so that the client may repeat it; otherwise its outcome is in doubt.
func TestCommitThatWasNotSentIsAborted(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want daisystatement.Code
	}{
		{"NotSent", daisyrequest.ErrNotSent, daisystatement.CodeAborted},
		{"PinnedConnClosed", daisyrequest.ErrPinnedConnClosed, daisystatement.CodeAborted},
		{"LinkLost", errors.New("link was lost"), daisystatement.CodeInDoubt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.env.Forwarder = &commitFailer{Gateway: f.gateway, err: test.err}
				s := f.session("strict")
				do(s, statement(daisystatement.KindBegin, "b"))
				assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
				assert.Equal(t, code(do(s, statement(daisystatement.KindCommit, "c"))), test.want)
				assert.Equal(t, f.servers["m1"].commits, 0)
			})
		})
	}
}
