package daisypool

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// maxSignatures bounds the signatures that are kept of a connection, and so the answers for
// which it is used.
const maxSignatures = 1024

// history is what a connection has received so far. An answer names no statement, and a
// server may send one again, at once or after any time. Its first answers come in the order
// of the statements, so that an answer unlike all earlier ones of the connection belongs to
// the earliest statement without one. A read, a write and a COMMIT are told apart by their
// signatures, no two of which are equal, and BEGINs by the position of the server's log once that
// has gone on.
type history struct {
	signatures []uint64                // Hashes of the signatures received.
	state      daisystatement.State    // With the last answer.
	failed     bool                    // A failure was received.
	began      bool                    // An unsigned answer in an open transaction was received.
	position   daisystatement.Position // The latest one in such an answer.
	unsigned   bool                    // Another unsigned answer was received.
	sampled    bool                    // The answer to a request for the status was received.
}

// verdict tells whether an answer is that of the earliest statement without one.
type verdict int

const (
	verdictOwn       verdict = iota
	verdictForeign           // It belongs to an earlier statement.
	verdictUncertain         // It may belong to either.
)

// judge returns whether the answer is that of the statement.
func (h *history) judge(s kindSent, a daisystatement.Answer) verdict {
	if a.Failure != nil {
		if h.failed {
			return verdictUncertain
		}
		return verdictOwn
	}
	if a.Signature != "" {
		switch {
		case h.knows(a.Signature):
			return verdictForeign
		case !s.signed():
			return verdictUncertain // No statement is known that it could belong to.
		}
		return verdictOwn
	}
	rows, state, repeated := 0, h.state, false
	switch daisystatement.Kind(s) {
	case daisystatement.KindBegin:
		state, repeated = daisystatement.StateOpen, !h.tellsBegin(a.Position)
	case daisystatement.KindRollback:
		state = daisystatement.StateIdle
	case daisystatement.KindStatus:
		rows, repeated = 1, h.sampled
	}
	switch {
	case s.signed() || len(a.Rows) != rows || a.State != state:
		return verdictForeign
	case repeated:
		return verdictUncertain
	}
	return verdictOwn
}

// record adds the answer to a statement.
func (h *history) record(s kindSent, a daisystatement.Answer) {
	h.state = a.State
	switch {
	case a.Failure != nil:
		h.failed = true
	case a.Signature != "":
		h.signatures = append(h.signatures, xxhash.Sum64String(a.Signature))
	case daisystatement.Kind(s) == daisystatement.KindStatus:
		h.sampled = true
	case a.State == daisystatement.StateOpen:
		h.began, h.position = true, daisystatement.Max(h.position, a.Position)
	default:
		h.unsigned = true
	}
}

// tellsBegin reports whether the answer to a BEGIN that has the position, or a later one, can
// be told from the earlier ones: a server that sends one of them again sends its position.
func (h *history) tellsBegin(p daisystatement.Position) bool {
	return !h.began || p.Compare(h.position) > 0
}

// knows reports whether an answer with the signature was received.
func (h *history) knows(signature string) bool {
	return slices.Contains(h.signatures, xxhash.Sum64String(signature))
}

// full reports whether no more answers may be recorded.
func (h *history) full() bool { return len(h.signatures) >= maxSignatures }

// kindSent is the kind of a statement that was sent.
type kindSent daisystatement.Kind

// signed reports whether a server signs its successful answer to the statement.
func (s kindSent) signed() bool {
	switch daisystatement.Kind(s) {
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute, daisystatement.KindCommit:
		return true
	}
	return false
}
