package daisygateway

import (
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

var (
	// ErrNotSent is returned for a statement that certainly did not reach the
	// server.
	ErrNotSent = errors.New("statement was not sent")
	// ErrUnreachable is returned, with ErrNotSent, if no connection to the server
	// could be opened.
	ErrUnreachable = errors.New("backend server cannot be reached")
	// ErrPinnedConnClosed is returned for a lane that has ended; its transaction is
	// rolled back.
	ErrPinnedConnClosed = errors.New("lane has ended")
)

// StatementRequest is a statement to be run on a backend server.
type StatementRequest struct {
	Service      string
	Server       string
	Workspace    string
	Weight       float64 // The share of the server that the workspace is due.
	Priority     int     // 0 is the highest.
	Class        string  // Errands of one class take alike.
	Values       map[string]string
	Statement    daisystatement.Statement
	SendDeadline time.Time // Until when it may wait to be sent.
	Deadline     time.Time // Until when it must have ended.
	Pin          bool      // The connection is kept as a lane, for a transaction.
}

// class tells errands apart that take unlike: a transaction's all statements
// count.
func (e *StatementRequest) class() string {
	if e.Pin {
		return e.Class + " transaction"
	}
	return e.Class
}

// PinnedConn is a connection that is kept for a transaction. It is not safe for
// concurrent use.
type PinnedConn interface {
	// Do runs the errand on the lane. Server and workspace stay as they were.
	Do(e StatementRequest) (daisystatement.Answer, error)
	// Close rolls back what is open and gives the connection back. It does not
	// wait.
	Close()
}
