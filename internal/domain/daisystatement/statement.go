// Package daisystatement defines the statements and answers that the entry,
// sessions and connections to backend servers share, independently of any wire
// protocol.
package daisystatement

import (
	"cmp"
	"fmt"
	"strings"
)

// Kind is the kind of a statement.
type Kind int

// The kinds of statement.
const (
	KindUnknown Kind = iota
	KindBegin
	KindCommit
	KindRollback
	KindRead
	KindWrite
	KindSet
	KindPrepare
	KindExecute
	KindDeallocate
	KindDiscard  // Drops session values and prepared statements; sent by daisyglade only.
	KindStatus   // Asks a server for its status; sent by daisyglade only.
	KindStepDown // Tells a server the later term that replaces the one it leads; sent by daisyglade only.
)

// SystemID is the request ID of statements that daisyglade sends itself.
const SystemID = "-"

// Statement is one statement of a client or of daisyglade itself.
type Statement struct {
	ID          string
	Kind        Kind
	Text        string   // The client's text; empty for statements of daisyglade itself.
	ReadOnly    bool     // For KindBegin, KindPrepare and KindExecute.
	Name        string   // Name of a session value or of a prepared statement.
	Value       string   // Value of a session value, for KindSet.
	Shape       string   // Definition of a prepared statement, for KindPrepare and KindExecute.
	Arguments   string   // Text after the name of the statement to execute, for KindExecute.
	Term        uint64   // For KindStepDown.
	MinPosition Position // The server refuses with CodeLagging if its log has not reached it.
}

// Samples reports whether the position in a primary's answer to the statement covers
// every write that was acknowledged before the statement was sent.
func (s *Statement) Samples() bool {
	switch s.Kind {
	case KindRead, KindBegin, KindStatus:
		return true
	case KindExecute:
		return s.ReadOnly
	}
	return false
}

// Position is a position in the log of a service: the term and the number of the
// entry. The zero value means no position.
type Position struct {
	Term   uint64
	Number uint64
}

// IsZero reports whether there is no position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by number.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Number, q.Number))
}

// String formats the position for logs.
func (p Position) String() string {
	if p.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// State is the transaction state of a session.
type State int

// The transaction states.
const (
	StateIdle State = iota
	StateOpen
	StateFailed // Ending the transaction rolls it back.
)

// Code classifies a failed statement.
type Code int

// The codes. Those from CodeBusy to CodeNoStatement guarantee that nothing of the
// client's operation takes effect.
const (
	CodeNone Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeWrongNode
	CodeTooMany // The backend server refuses a further connection.
	CodeNoStatement
	CodeFailed
	CodeTimeout
	CodeInDoubt
	CodeMalformed
	CodeNoDatabase
	CodeDenied
)

// codeNames are the names of the codes in logs and metrics.
var codeNames = []string{
	"Served", "Busy", "Aborted", "Lagging", "ReadOnly", "WrongNode", "TooMany", "NoStatement",
	"Failed", "Timeout", "InDoubt", "Malformed", "NoDatabase", "Denied",
}

// String returns the name of the code.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return fmt.Sprintf("Code(%d)", int(c))
	}
	return codeNames[c]
}

// NotRun reports whether the code guarantees that the statement had no effect.
func (c Code) NotRun() bool { return c >= CodeBusy && c <= CodeNoStatement }

// Failure is the reason why a statement did not succeed.
type Failure struct {
	Code Code
	Text string
}

// Error implements error.
func (f *Failure) Error() string { return f.Text }

// Answer is the complete answer to a statement.
type Answer struct {
	Rows      []string
	Signature string // The server's signature of a success; empty if daisyglade answered itself.
	Failure   *Failure
	State     State
	Position  Position // Log position of the server that answered.
}

// Done returns a success that daisyglade answers itself.
func Done(s State) Answer { return Answer{State: s} }

// Fail returns a failed answer. Its text is one line.
func Fail(s State, c Code, format string, args ...any) Answer {
	// The texts of joined errors have several lines.
	text := strings.NewReplacer("\r", " ", "\n", "; ").Replace(fmt.Sprintf(format, args...))
	return Answer{State: s, Failure: &Failure{Code: c, Text: text}}
}
