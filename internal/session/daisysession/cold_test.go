package daisysession_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

// overBudget refuses what goes to one server, as the gateway of a cold one.
type overBudget struct {
	daisysession.Forwarder
	server  string
	refused int
}

func (f *overBudget) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	if req.Server == f.server {
		f.refused++
		return daisystatement.Answer{}, nil, fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrOverBudget)
	}
	return f.Forwarder.Run(req)
}

// Guards against reads that are refused, or wait, since the server that was tried first is
// cold, and against a cold server that is taken for a failed one.
func TestReadOverTheBudgetRunsElsewhere(t *testing.T) {
	for _, kind := range []daisystatement.Kind{daisystatement.KindRead, daisystatement.KindBegin} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.close()
			cold := &overBudget{Forwarder: f.gateway, server: "m2"} // A replica, which reads prefer.
			f.env.Forwarder = cold
			f.router.RecordPeerPosition(serviceName, 1, time.Now(), daisystatement.Position{Term: 1, Number: 10})
			s := f.session("loose")
			defer s.Close()
			began := time.Now()
			st := statement(kind, "1")
			st.ReadOnly = true
			assert.Equal(t, code(do(s, st)), daisystatement.CodeNone)
			assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "2"))), daisystatement.CodeNone)
			assert.Assert(t, cold.refused > 0)
			assert.Assert(t, time.Since(began) < 200*time.Millisecond, time.Since(began))
			assert.Equal(t, f.unresponsive.Load(), int32(0))
		})
	}
}
