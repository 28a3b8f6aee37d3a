// Package daisyselector selects the backend server of a service for a read: the
// one that is expected to answer first.
package daisyselector

import (
	"math"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const (
	// smoothingFactor is the weight of a new observation in the moving average.
	smoothingFactor = 0.2
	// averageHalfLife is the time after the last answer at which the weight of the
	// average has halved, so that a server that was slow is tried again.
	averageHalfLife = 2 * time.Second
	// backoffMin and backoffMax bound the time for which a server that failed is
	// avoided. It doubles with each failure in a row.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
	// lagPause is how long a replica is avoided for reads that need a position that
	// it had not reached.
	lagPause = 150 * time.Millisecond
	// refusedPause is how long a server is avoided after a statement was refused
	// because its queue was too long.
	refusedPause = 60 * time.Millisecond
	// primaryPenalty is added to the expected latency of the primary. It keeps reads
	// that a replica can serve away from the primary, whose slots writes need.
	primaryPenalty = 15 * time.Millisecond
	// inFlightShare is how much each statement in flight adds to the expected
	// latency, as a fraction of the average.
	inFlightShare = 0.5
	// initialEstimate is the latency assumed for a server that has not answered yet.
	initialEstimate = 30 * time.Millisecond
)

// Server holds the observations of one backend server. The zero value has none. It
// is not safe for concurrent use.
type Server struct {
	RoundTrip time.Duration // Assumed round trip to the server's location.

	average      time.Duration // Moving average of the latency, without RoundTrip.
	lastAnswer   time.Time
	inFlight     int
	waitingSince time.Time // Time of the last answer, or of the first statement in flight if that is later.
	failures     int
	avoidUntil   time.Time               // End of the backoff after failures.
	missing      daisystatement.Position // The least position that its log had not reached.
	laggingUntil time.Time               // Until when missing is taken into account.
	refusedUntil time.Time               // End of the pause after a refusal.
}

// Start records that a statement was sent.
func (s *Server) Start(now time.Time) {
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
}

// Unanswered returns for how long the server has answered none of the statements
// in flight, or 0 if there are none.
func (s *Server) Unanswered(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	return now.Sub(s.waitingSince)
}

// Answered records an answer and its latency.
func (s *Server) Answered(now time.Time, took time.Duration) {
	s.inFlight--
	s.waitingSince = now
	s.failures, s.avoidUntil = 0, time.Time{}
	took = max(0, took-s.RoundTrip)
	if s.lastAnswer.IsZero() {
		s.average = took
	} else {
		s.average = time.Duration((1-smoothingFactor)*float64(s.average) + smoothingFactor*float64(took))
	}
	s.lastAnswer = now
}

// Refused records that a statement was not sent because the server's queue is too
// long.
func (s *Server) Refused(now time.Time) {
	s.inFlight--
	s.refusedUntil = now.Add(refusedPause)
}

// Withdrawn records that a statement was not sent for a reason that says nothing about
// the server.
func (s *Server) Withdrawn() { s.inFlight-- }

// Failed records that the server did not answer or could not be reached.
func (s *Server) Failed(now time.Time) {
	s.inFlight--
	s.failures++
	pause := backoffMin << min(s.failures-1, 4)
	s.avoidUntil = now.Add(min(pause, backoffMax))
}

// Lagged records that the server's log had not reached the minimum position of a
// read. The server may still serve reads that need an earlier position.
func (s *Server) Lagged(now time.Time, minPosition daisystatement.Position) {
	if !now.Before(s.laggingUntil) || minPosition.Compare(s.missing) < 0 {
		s.missing = minPosition
	}
	s.laggingUntil = now.Add(lagPause)
}

// isMissing reports whether the server's log had recently not reached the position.
func (s *Server) isMissing(now time.Time, minPosition daisystatement.Position) bool {
	return now.Before(s.laggingUntil) && minPosition.Compare(s.missing) >= 0
}

// Avoided reports whether the server is in its backoff after a failure.
func (s *Server) Avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// ExpectedLatency returns the time in which the server is expected to answer.
func (s *Server) ExpectedLatency(now time.Time, primary bool) time.Duration {
	average := initialEstimate
	if !s.lastAnswer.IsZero() {
		age := now.Sub(s.lastAnswer).Seconds() / averageHalfLife.Seconds()
		weight := math.Exp2(-age)
		average = time.Duration(weight*float64(s.average) + (1-weight)*float64(initialEstimate))
	}
	expected := s.RoundTrip + time.Duration(float64(average)*(1+inFlightShare*float64(s.inFlight)))
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
	Penalty time.Duration // Added to the expected latency.
}

// Best returns the index of the best candidate for a read that needs minPosition,
// or -1 if there is none. It prefers servers without a recent problem; of the
// problems, a refusal weighs least, a log that had not reached minPosition more,
// and a failure most. Among equals, the lowest expected latency wins.
func Best(now time.Time, minPosition daisystatement.Position, candidates []Candidate) int {
	best, bestRank, bestExpected := -1, 0, time.Duration(0)
	for i, c := range candidates {
		rank := 0
		if now.Before(c.Server.refusedUntil) {
			rank++
		}
		if !c.Primary && c.Server.isMissing(now, minPosition) {
			rank += 2
		}
		if c.Server.Avoided(now) {
			rank += 4
		}
		expected := c.Server.ExpectedLatency(now, c.Primary) + c.Penalty
		if best < 0 || rank < bestRank || rank == bestRank && expected < bestExpected {
			best, bestRank, bestExpected = i, rank, expected
		}
	}
	return best
}
