package daisysession

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Guards against requests that carry no objective, or one counted from a later time than
// their arrival: the order would not hold at the gateway.
func TestRequestsCarryTheirObjective(t *testing.T) {
	arrived := time.Unix(1000, 0)
	s := Session{env: &Environment{Index: func() *daisyspec.Index { return nil }}}
	p := daisyspec.Profile{Timeout: 6 * time.Second, Latency: 400 * time.Millisecond}
	req := s.statementRequest(p, daisystatement.Statement{}, arrived.Add(time.Second), arrived.Add(p.Timeout))
	assert.Equal(t, req.Objective, arrived.Add(p.Latency))
	p.Latency = 0
	req = s.statementRequest(p, daisystatement.Statement{}, arrived.Add(time.Second), arrived.Add(p.Timeout))
	assert.Assert(t, req.Objective.IsZero())
}

// Guards against clients that were refused on the word of one refusal and return together.
func TestHeldOffClientsReturnSpread(t *testing.T) {
	const left, clients = time.Second, 100
	var times []time.Duration
	for n := range clients {
		times = append(times, spread(left, uint64(n)))
	}
	slices.Sort(times)
	assert.Assert(t, times[0] >= left && times[clients-1] < 2*left)
	for i := 1; i < clients; i++ {
		assert.Assert(t, times[i]-times[i-1] < 3*left/clients && times[i] > times[i-1])
	}
}
