package daisysession_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// tooLong is a forwarder for whose links each statement is too long.
type tooLong struct{ calls int }

func (f *tooLong) Run(daisyrequest.Request) (a daisystatement.Answer, conn daisyrequest.PinnedConn, err error) {
	f.calls++
	return a, nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrTooLong)
}

// Guards against a statement that is too long to be sent and is tried again and again, and
// against servers that other statements avoid for it.
func TestStatementThatIsTooLongIsRefusedAtOnce(t *testing.T) {
	for _, k := range []daisystatement.Kind{daisystatement.KindRead, daisystatement.KindWrite} {
		for _, database := range []string{"strict", "own"} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				s := f.session(database)
				defer s.Close()
				assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w1"))), daisystatement.CodeNone)
				forwarder := &tooLong{}
				f.env.Forwarder = forwarder
				began := time.Now()
				assert.Equal(t, code(do(s, statement(k, "long"))), daisystatement.CodeBusy)
				assert.Equal(t, time.Since(began), time.Duration(0))
				assert.Assert(t, forwarder.calls <= len(serverNames), "%d", forwarder.calls)
				f.env.Forwarder = f.gateway
				assert.Equal(t, code(do(s, statement(k, "next"))), daisystatement.CodeNone)
			})
		}
	}
}
