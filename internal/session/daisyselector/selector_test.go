package daisyselector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyselector"
)

const near, far = 0, 25 * time.Millisecond

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

func TestBest(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		inject func(local, remote, primary *daisyselector.Server)
		want   string
	}{
		{"Nothing", func(_, _, _ *daisyselector.Server) {}, "local"},
		{"LocalBusy", func(local, _, _ *daisyselector.Server) {
			for range 6 {
				local.Start(now)
			}
		}, "primary"},
		{"LocalLags", func(local, _, _ *daisyselector.Server) { local.Lagged(now, minPosition) }, "primary"},
		{"AllReplicasLag", func(local, remote, _ *daisyselector.Server) {
			local.Lagged(now, minPosition)
			remote.Lagged(now, minPosition)
		}, "primary"},
		{"LocalLacksLaterPosition", func(local, _, _ *daisyselector.Server) { local.Lagged(now, later) }, "local"},
		{"LocalFailed", func(local, _, primary *daisyselector.Server) {
			local.Start(now)
			local.Failed(now)
			primary.Start(now)
			primary.Failed(now)
		}, "remote"},
		{"AllFailed", func(local, remote, primary *daisyselector.Server) {
			for _, s := range []*daisyselector.Server{local, remote, primary} {
				s.Start(now)
				s.Failed(now)
			}
		}, "local"},
		{"LocalRefused", func(local, _, _ *daisyselector.Server) {
			local.Start(now)
			local.Refused(now)
		}, "primary"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			local, remote := observed(now, near, 20*time.Millisecond), observed(now, far, 20*time.Millisecond)
			primary := observed(now, near, 20*time.Millisecond)
			test.inject(local, remote, primary)
			candidates := []daisyselector.Candidate{
				{Name: "remote", Server: remote}, {Name: "primary", Server: primary, Primary: true}, {Name: "local", Server: local},
			}
			assert.Equal(t, candidates[daisyselector.Best(now, minPosition, candidates)].Name, test.want)
		})
	}
	assert.Equal(t, daisyselector.Best(now, minPosition, nil), -1)
}

// The measured latency of a server loses weight with time, so that a server that
// was slow is tried again.
func TestOldLatencyDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	s := observed(now, near, time.Second)
	assert.Assert(t, s.ExpectedLatency(now, false) >= time.Second)
	assert.Assert(t, s.ExpectedLatency(now.Add(20*time.Second), false) < 50*time.Millisecond)
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
