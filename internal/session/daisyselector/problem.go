package daisyselector

import (
	"strings"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Problem is a set of recent problems of a server that speak against sending it a read.
// Of two sets, the greater one weighs more: a refusal weighs least, a log that lacks
// the position more, and a failure most.
type Problem int

// The problems.
const (
	ProblemRefused Problem = 1 << iota // Its queue was too long.
	ProblemLagging                     // Its log had not reached the position.
	ProblemFailed                      // It did not answer or could not be reached.
)

var problemTexts = []string{"it refused a statement for load", "its log lacked the position", "it failed and is in its backoff"}

// String returns the problems in words.
func (p Problem) String() string {
	var texts []string
	for i, text := range problemTexts {
		if p&(1<<i) != 0 {
			texts = append(texts, text)
		}
	}
	return strings.Join(texts, ", ")
}

// Problem returns the recent problems that speak against the server for a read that
// needs minPosition.
func (s *Server) Problem(now time.Time, minPosition daisystatement.Position, primary bool) Problem {
	var p Problem
	if now.Before(s.refusedUntil) {
		p |= ProblemRefused
	}
	if !primary && s.isMissing(now, minPosition) {
		p |= ProblemLagging
	}
	if s.Avoided(now) {
		p |= ProblemFailed
	}
	return p
}
