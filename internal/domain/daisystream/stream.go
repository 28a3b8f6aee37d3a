// Package daisystream defines the requests and answers that an entry host and the
// holder of a database exchange to run one transaction at a time.
//
// A stream carries one request at a time and belongs to one session while a
// transaction is open. A stream that fails or is abandoned is closed and never
// reused, so that an answer cannot be taken for that of another request.
package daisystream

import (
	"context"
	"fmt"
	"time"
)

// Position is a point in a database group's log. Positions are ordered by
// term, then offset.
type Position struct {
	Term   uint64
	Offset uint64
}

// Less reports whether p lies before q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool { return p == Position{} }

// String returns term/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

// ParsePosition parses the format that String returns.
func ParsePosition(s string) (p Position, err error) {
	if _, err = fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset); err != nil {
		return Position{}, fmt.Errorf("position %q: %w", s, err)
	}
	return p, nil
}

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// Status is the transaction status of a ReadyForQuery message.
type Status byte

// The transaction statuses.
const (
	StatusIdle   Status = 'I'
	StatusOpen   Status = 'T'
	StatusFailed Status = 'E'
)

// Statement is the definition of a prepared statement under its fleet-wide name.
type Statement struct {
	Name  string
	Parse []byte // The encoded Parse message.
}

// Part is a sequence of frontend messages that refers to at most one prepared
// statement.
type Part struct {
	Uses    string // The name of the prepared statement; empty if there is none.
	Defines bool   // Bytes is a Parse message that defines the statement.
	Bytes   []byte // Encoded frontend messages.
}

// Request is a batch of frontend messages that ends with Query or Sync.
type Request struct {
	ID          uint64
	Workspace   string
	Key         string // The identifier of the key.
	Profile     string
	MinPosition Position
	NewSession  bool          // The session has no minimum position yet.
	ReadOnly    bool          // The transaction is declared read-only.
	Name        string        // Recorded with the request's effects, so that the client can find out whether it ran.
	Wait        time.Duration // Longest wait for rate-limit tokens, and again for a connection.
	Parts       []Part
	Statements  []Statement
}

// Cause is the cause of a refusal, by which refusals are counted.
type Cause string

// The causes of refusal.
const (
	CauseNone       Cause = ""
	CauseLimit      Cause = "Limit"          // The workspace is over its rate.
	CauseConnection Cause = "NoConnection"   // No connection to the chosen member was available in time.
	CauseFailover   Cause = "Failover"       // The group has no primary yet.
	CauseBackend    Cause = "Backend"        // A connection was lost during a read, or the database moved during a transaction.
	CauseUnknown    Cause = "UnknownOutcome" // It is unknown whether a request that may write took effect.
	CauseMoved      Cause = "Moved"          // No host that may serve the database was reached.
	CauseKey        Cause = "Key"            // Not set at present, but counted and reported.
	CauseRequest    Cause = "Request"        // The profile is unknown.
)

// Refusal is the reason why a request ended without a complete answer.
type Refusal struct {
	Code       string // The SQLSTATE.
	Message    string
	RetryAfter time.Duration // The delay before a retry; 0 if unknown.
	Cause      Cause
}

// NotRun reports whether the refused request had certainly no effect.
func (r Refusal) NotRun() bool {
	switch r.Cause {
	case CauseLimit, CauseConnection, CauseFailover, CauseMoved, CauseKey, CauseRequest:
		return true
	}
	return false
}

// Answer is a part of the answer to a request.
type Answer struct {
	ID          uint64
	Bytes       []byte // Encoded backend messages.
	Final       bool
	Status      Status   // Valid if Final.
	MinPosition Position // The session's minimum position after the request; valid if Final.
	Refusal     *Refusal
	Replica     bool // A replica served the request.
}

// Stream runs the requests of one session, one at a time.
type Stream interface {
	// Do runs the request and passes the parts of its answer to emit in order.
	// The last part has Final set. An error means that the outcome of the
	// request is unknown, unless it wraps ErrNotSent.
	Do(ctx context.Context, r *Request, emit func(*Answer) error) error
	// Close closes the stream and rolls back an open transaction.
	Close()
}

// SQLSTATE codes of errors that daisyglade itself returns.
const (
	CodeUnknownOutcome = "08007" // transaction_resolution_unknown
	CodeNotNow         = "57P03" // cannot_connect_now
	CodeLimit          = "53400" // configuration_limit_exceeded
	CodeNoConnection   = "53300" // too_many_connections
	CodeUnsupported    = "0A000" // feature_not_supported
	CodeKey            = "28P01" // invalid_password
	CodeTooLarge       = "54000" // program_limit_exceeded
	CodeProtocol       = "08P01" // protocol_violation
	CodeShutdown       = "57P01" // admin_shutdown
	CodeRolledBack     = "40001" // serialization_failure
	CodeRecorded       = "DG001" // The named request was recorded before.
)
