package daisyrouter

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

const (
	// coldPenalty is added to the cost of a cold server whose budget of requests is used
	// up: more than a full queue costs. It falls with the square of the part that is used,
	// so that a server with most of its budget left gets its usual reads.
	coldPenalty = 300 * time.Millisecond
	// coldReportAge is how long a gateway's report on the budget counts.
	coldReportAge = 2 * time.Second
	// unknownLeft is the part of the budget that is taken to be left without a report.
	unknownLeft = 0.5
)

// coldReport is what a gateway told of the budget of a cold server.
type coldReport struct {
	left float64
	at   time.Time
}

// RecordCold records which share of a cold server's budget its gateway has left, or that
// the gateway does not treat the server as cold.
func (r *Router) RecordCold(server string, left float64, cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !cold {
		delete(r.coldReports, server)
		return
	}
	r.coldReports[server] = coldReport{left: min(max(left, 0), 1), at: daisyclock.Now()}
}

// coldPenalty returns by how much the cost of the server is increased since it is cold. It
// requires r.mu.
func (r *Router) coldPenalty(now time.Time, s Server) time.Duration {
	report, ok := r.coldReports[s.Name]
	left := report.left
	if !ok || now.Sub(report.at) > coldReportAge {
		if !s.Cold {
			return 0
		}
		left = unknownLeft
	}
	return time.Duration((1 - left) * (1 - left) * float64(coldPenalty))
}
