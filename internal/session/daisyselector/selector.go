// Package daisyselector decides which backend server of a service serves a read:
// the one that is expected to answer first.
package daisyselector

import (
	"math"
	"time"

	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

const (
	// smoothing is the weight of a new observation in the average.
	smoothing = 0.2
	// forgetting is the time after which an average counts half, so that a
	// server that was slow is tried again.
	forgetting = 2 * time.Second
	// backoffMin and backoffMax bound how long a server that failed is avoided.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
	// lagPause is how long a replica that lagged behind a floor is avoided.
	lagPause = 150 * time.Millisecond
	// fullPause is how long a server that refused is avoided.
	fullPause = 60 * time.Millisecond
	// primaryPenalty keeps reads that a replica can serve off the slots that
	// only the primary has for writes.
	primaryPenalty = 15 * time.Millisecond
	// busyShare is how much each statement under way adds to the expected time.
	busyShare = 0.5
	// startEstimate is the expected time of a server not yet observed.
	startEstimate = 30 * time.Millisecond
)

// Server is what is known of one backend server. The zero value knows nothing.
// It is not safe for concurrent use.
type Server struct {
	RoundTrip time.Duration // The round trip that its place costs.

	average  time.Duration // Of the answers, without Base.
	observed time.Time
	underway int
	since    time.Time // When the first statement under way began to wait for the next answer.
	failures int
	avoid    time.Time               // Until when it is avoided after failures.
	lacked   daisystatement.Position // The least position that its log lacked.
	lagging  time.Time               // Until when it counts as lacking that.
	full     time.Time               // Until when it is avoided because it refused.
}

// Start notes that a statement was sent.
func (s *Server) Start(now time.Time) {
	if s.underway == 0 {
		s.since = now
	}
	s.underway++
}

// Unanswered returns for how long the server has answered none of the
// statements under way, 0 if there is none.
func (s *Server) Unanswered(now time.Time) time.Duration {
	if s.underway == 0 {
		return 0
	}
	return now.Sub(s.since)
}

// Answered notes an answer.
func (s *Server) Answered(now time.Time, took time.Duration) {
	s.underway--
	s.since = now
	s.failures, s.avoid = 0, time.Time{}
	took = max(0, took-s.RoundTrip)
	if s.observed.IsZero() {
		s.average = took
	} else {
		s.average = time.Duration((1-smoothing)*float64(s.average) + smoothing*float64(took))
	}
	s.observed = now
}

// Refused notes that a statement was not sent because too much waits for the
// server.
func (s *Server) Refused(now time.Time) {
	s.underway--
	s.full = now.Add(fullPause)
}

// Failed notes that the server did not answer or could not be reached.
func (s *Server) Failed(now time.Time) {
	s.underway--
	s.failures++
	pause := backoffMin << min(s.failures-1, 4)
	s.avoid = now.Add(min(pause, backoffMax))
}

// Lagged notes that the server's log had not reached the floor of a read. Reads
// that need less may still be served.
func (s *Server) Lagged(now time.Time, floor daisystatement.Position) {
	if !now.Before(s.lagging) || floor.Compare(s.lacked) < 0 {
		s.lacked = floor
	}
	s.lagging = now.Add(lagPause)
}

// lacks reports whether the server lately lacked the position.
func (s *Server) lacks(now time.Time, floor daisystatement.Position) bool {
	return now.Before(s.lagging) && floor.Compare(s.lacked) >= 0
}

// Avoided reports whether the server failed lately.
func (s *Server) Avoided(now time.Time) bool { return now.Before(s.avoid) }

// ExpectedLatency returns the time in which the server is expected to answer.
func (s *Server) ExpectedLatency(now time.Time, primary bool) time.Duration {
	average := startEstimate
	if !s.observed.IsZero() {
		age := now.Sub(s.observed).Seconds() / forgetting.Seconds()
		weight := math.Exp2(-age)
		average = time.Duration(weight*float64(s.average) + (1-weight)*float64(startEstimate))
	}
	expected := s.RoundTrip + time.Duration(float64(average)*(1+busyShare*float64(s.underway)))
	if primary {
		expected += primaryPenalty
	}
	return expected
}

// Candidate is a server that may serve a read.
type Candidate struct {
	Name    string
	Server  *Server
	Primary bool
}

// Best returns the index of the best candidate for a read that needs the floor, or
// -1 if there is none. Servers that failed lately come last, then those that
// lacked the floor, then those that refused.
func Best(now time.Time, floor daisystatement.Position, candidates []Candidate) int {
	best, bestRank, bestExpected := -1, 0, time.Duration(0)
	for i, c := range candidates {
		rank := 0
		if now.Before(c.Server.full) {
			rank++
		}
		if !c.Primary && c.Server.lacks(now, floor) {
			rank += 2
		}
		if c.Server.Avoided(now) {
			rank += 4
		}
		expected := c.Server.ExpectedLatency(now, c.Primary)
		if best < 0 || rank < bestRank || rank == bestRank && expected < bestExpected {
			best, bestRank, bestExpected = i, rank, expected
		}
	}
	return best
}
