// Package daisystatement is the model of statements and answers that entry,
// sessions and connections to backend servers share. It depends on no protocol.
package daisystatement

import (
	"cmp"
	"fmt"
)

// Kind names what a statement does.
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
	KindDiscard // Drops session values and prepared statements; of the system only.
	KindStatus  // Asks a server for its status; of the system only.
	KindStepDown
)

// SystemID is the request ID of statements that the system issues itself.
const SystemID = "-"

// Statement is one statement of a caller, or of the system.
type Statement struct {
	ID          string
	Kind        Kind
	Text        string // As the caller sent it; empty for statements of the system.
	ReadOnly    bool   // Of a transaction, or of what is prepared.
	Name        string // Of a session value or of a prepared statement.
	Value       string // Of a session value.
	Shape       string // Of a prepared statement.
	Arguments   string // What follows the name of an executed statement.
	Term        uint64 // Of KindStepDown.
	MinPosition Position
}

// Position is a point in the log of a service: the term, then the number of the
// entry. The zero value is no position.
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

// The states.
const (
	StateIdle State = iota
	StateOpen
	StateFailed // Ending the transaction rolls it back.
)

// Code classifies a failed statement.
type Code int

// The codes. Those before CodeFailed promise that nothing of the caller's
// operation is kept.
const (
	CodeNone Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeWrongNode
	CodeTooMany
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

// NotRun reports whether the code promises that the statement had no effect.
func (c Code) NotRun() bool { return c >= CodeBusy && c <= CodeNoStatement }

// Failure is why a statement did not succeed.
type Failure struct {
	Code Code
	Text string
}

// Error implements error.
func (f *Failure) Error() string { return f.Text }

// Answer is the whole answer to a statement.
type Answer struct {
	Rows      []string
	Signature string // What the server signed a success with; empty if the system answered.
	Failure   *Failure
	State     State
	Position  Position // Of the answering server's log.
}

// Done is the system's own success.
func Done(s State) Answer { return Answer{State: s} }

// Fail returns a failed answer.
func Fail(s State, c Code, format string, args ...any) Answer {
	return Answer{State: s, Failure: &Failure{Code: c, Text: fmt.Sprintf(format, args...)}}
}
