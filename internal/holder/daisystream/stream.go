// Package daisystream defines what an entry host and the holder of a database
// say to each other about one transaction at a time.
//
// A lane carries one request at a time and belongs to one session while a
// transaction is open. A lane that fails or is abandoned is closed and never
// used again, so that an answer cannot reach another request.
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

// ParsePosition reads what String writes.
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

// Status is a transaction status as in a ReadyForQuery message.
type Status byte

// The transaction statuses.
const (
	StatusIdle   Status = 'I'
	StatusOpen   Status = 'T'
	StatusFailed Status = 'E'
)

// Statement defines a prepared statement under its fleet-wide name.
type Statement struct {
	Name  string
	Parse []byte // The encoded Parse message.
}

// Part is a run of frontend messages that names at most one prepared statement.
type Part struct {
	Uses    string
	Defines bool // Bytes is a Parse message that defines Uses.
	Bytes   []byte
}

// Request is a batch of frontend messages that ends with Query or Sync.
type Request struct {
	ID          uint64
	Workspace   string
	Key         string // The identifier of the key.
	Profile     string
	MinPosition Position
	NewSession  bool   // The session has no floor yet.
	ReadOnly    bool   // The transaction is declared read-only.
	Name        string // The name under which the caller may settle the request.
	Wait        time.Duration
	Parts       []Part
	Statements  []Statement
}

// Cause is the cause under which a refused request is counted.
type Cause string

// The causes of refusal.
const (
	CauseNone       Cause = ""
	CauseLimit      Cause = "Limit"
	CauseConnection Cause = "NoConnection"
	CauseFailover   Cause = "Failover"
	CauseBackend    Cause = "Backend"
	CauseUnknown    Cause = "UnknownOutcome"
	CauseMoved      Cause = "Moved"
	CauseKey        Cause = "Key"
	CauseRequest    Cause = "Request"
)

// Refusal says why a request ended without a complete answer.
type Refusal struct {
	Code       string // The SQLSTATE.
	Message    string
	RetryAfter time.Duration // When to come back; 0 if not known.
	Cause      Cause
}

// NotRun reports whether the refused request certainly had no effect.
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
	MinPosition Position // The session's floor after the request; valid if Final.
	Refusal     *Refusal
	Replica     bool // A replica served the request.
}

// Stream runs requests of one session, one after the other.
type Stream interface {
	// Do runs the request and passes the parts of its answer to emit in order.
	// The last part has Final set. An error means that the outcome of the
	// request is unknown, unless it wraps ErrNotSent.
	Do(ctx context.Context, r *Request, emit func(*Answer) error) error
	// Close ends the lane; an open transaction is rolled back.
	Close()
}

// SQLSTATE codes that daisyglade itself answers with.
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
