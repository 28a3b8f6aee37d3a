package daisyselector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyselector"
)

const near = 0

var (
	minPosition = daisystatement.Position{Term: 1, Number: 10}
	later       = daisystatement.Position{Term: 1, Number: 11}
)

// observed returns a server that has answered once, after base+took.
func observed(now time.Time, base, took time.Duration) *daisyselector.Server {
	s := &daisyselector.Server{RoundTrip: base}
	s.Start(now)
	s.Answered(now, base+took)
	return s
}

// Guards against reads at a server that has just failed, lagged or refused, and against a
// problem that outweighs a worse one.
func TestProblem(t *testing.T) {
	now := time.Unix(1000, 0)
	const refused, lagging, failed = daisyselector.ProblemRefused, daisyselector.ProblemLagging, daisyselector.ProblemFailed
	tests := []struct {
		name    string
		primary bool
		inject  func(s *daisyselector.Server)
		want    daisyselector.Problem
	}{
		{"Nothing", false, func(*daisyselector.Server) {}, 0},
		{"Busy", false, func(s *daisyselector.Server) { s.Start(now) }, 0},
		{"Lags", false, func(s *daisyselector.Server) { s.Lagged(now, minPosition) }, lagging},
		{"PrimaryLags", true, func(s *daisyselector.Server) { s.Lagged(now, minPosition) }, 0},
		{"LacksLaterPosition", false, func(s *daisyselector.Server) { s.Lagged(now, later) }, 0},
		{"Failed", false, func(s *daisyselector.Server) { s.Start(now); s.Failed(now) }, failed},
		{"Refused", false, func(s *daisyselector.Server) { s.Start(now); s.Refused(now) }, refused},
		{"FailedAndLags", false, func(s *daisyselector.Server) { s.Start(now); s.Failed(now); s.Lagged(now, minPosition) }, failed | lagging},
		{"AnsweredSince", false, func(s *daisyselector.Server) {
			s.Start(now)
			s.Failed(now)
			s.Start(now)
			s.Answered(now, 0)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := observed(now, near, 20*time.Millisecond)
			test.inject(s)
			assert.Equal(t, s.Problem(now, minPosition, test.primary), test.want)
			assert.Equal(t, s.Problem(now.Add(10*time.Second), minPosition, test.primary), daisyselector.Problem(0))
		})
	}
	assert.Assert(t, refused < lagging && refused|lagging < failed)
}

// The measured latency of a server loses weight with time, so that a server that
// was slow is tried again.
func TestOldLatencyDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	s := observed(now, near, time.Second)
	assert.Assert(t, s.ExpectedLatency(now) >= time.Second)
	assert.Assert(t, s.ExpectedLatency(now.Add(20*time.Second)) < 50*time.Millisecond)
}

// The time without an answer counts from the last answer, not from the first
// statement in flight.
func TestUnanswered(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &daisyselector.Server{}
	assert.Equal(t, s.Unanswered(now), time.Duration(0))
	s.Start(now)
	s.Start(now)
	s.Answered(now.Add(time.Second), time.Second)
	assert.Equal(t, s.Unanswered(now.Add(1100*time.Millisecond)), 100*time.Millisecond)
}
