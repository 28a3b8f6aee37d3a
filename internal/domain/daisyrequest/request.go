package daisyrequest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

var (
	// ErrNotSent is returned for a statement that certainly did not reach the
	// server.
	ErrNotSent = errors.New("statement was not sent")
	// ErrUnreachable is returned, with ErrNotSent, if no connection to the server
	// could be opened.
	ErrUnreachable = errors.New("backend server cannot be reached")
	// ErrNoPosition is returned, with ErrNotSent, for a read whose Freshness asks for a
	// position of the primary, if none is known.
	ErrNoPosition = errors.New("no recent position of the primary is known")
	// ErrClientLeft is returned, with ErrNotSent, if the client left while its statement
	// waited.
	ErrClientLeft = errors.New("the client has left")
	// ErrOverBudget is returned, with ErrNotSent, if the server is cold and gets no more
	// requests at the moment.
	ErrOverBudget = errors.New("the requests of the cold backend server are limited; retry in 200ms")
	// ErrTooLong is returned, with ErrNotSent, for a statement that is too long, with its
	// session values, for a message between hosts.
	ErrTooLong = errors.New("the statement with its session values is too long")
	// ErrPinnedConnClosed is returned for a pinned connection that was closed; its
	// transaction is rolled back.
	ErrPinnedConnClosed = errors.New("pinned connection is closed")
)

// OverloadError is returned, with ErrNotSent, for a statement that the server's
// queue cannot take by its send deadline. To send it again before RetryAfter has
// passed would only add to the load.
type OverloadError struct {
	RetryAfter time.Duration // When the requests that go first are expected to have run.
	// OwnShare is set if the workspace's share of the server was used up, so that the
	// requests of other workspaces may still be served.
	OwnShare bool
}

// minRetryAfter is the shortest RetryAfter: the time in which a server runs a few
// statements.
const minRetryAfter = 100 * time.Millisecond

// NewOverloadError returns an ErrNotSent with an OverloadError.
func NewOverloadError(expectedWait time.Duration, ownShare bool) error {
	retryAfter := max(expectedWait, minRetryAfter).Round(time.Millisecond)
	return fmt.Errorf("%w: %w", ErrNotSent, &OverloadError{RetryAfter: retryAfter, OwnShare: ownShare})
}

// Error implements error.
func (e *OverloadError) Error() string {
	return "the backend server's queue is too long; retry in " + e.RetryAfter.String()
}

// Request is a statement to be run on a backend server.
type Request struct {
	Service      string
	Server       string
	Workspace    string
	Weight       float64           // The workspace's weight in the server's fair queue.
	Priority     int               // 0 is the highest.
	Class        string            // Requests of one class have similar run times.
	Values       map[string]string // The session values that the statement runs with.
	Statement    daisystatement.Statement
	SendDeadline time.Time       // For sending the statement.
	Deadline     time.Time       // For receiving the answer.
	Objective    time.Time       // By when the operation should be answered; zero if there is none.
	Pin          bool            // Keep the connection for a transaction.
	Client       context.Context // Ends when the client has left; nil if that is not known. Not sent to other hosts.
	Freshness    Freshness       // For a read without a known position; zero for other statements.
	Home         Home            // Where the statement may be sent; nil sets no restriction. It stays within the host.
}

// Freshness asks the gateway of a replica to add the minimum position that a read
// needs to the one in its statement. The gateways of a service's servers sample its
// primary; other hosts would ask the primary for each few reads.
type Freshness struct {
	Epoch  uint64        // Of the primary that the position must be from.
	MaxAge time.Duration // Of the position, when the gateway receives the request; 0 asks for none.
}

// Expedite brings the deadlines and the objective forward by the time for which the request was held up
// on its way here. The caller gives up at the original ones.
func (req *Request) Expedite(delay time.Duration) {
	req.SendDeadline, req.Deadline = req.SendDeadline.Add(-delay), req.Deadline.Add(-delay)
	if !req.Objective.IsZero() {
		req.Objective = req.Objective.Add(-delay)
	}
}

// Waiting returns the context for what the request waits for. It ends when the client has
// left.
func (req *Request) Waiting() context.Context {
	if req.Client == nil {
		return context.Background()
	}
	return req.Client
}

// QueueClass returns the class under which run times are averaged. Transactions have
// classes of their own, since the run time of all their statements counts.
func (req *Request) QueueClass() string {
	if req.Pin {
		return req.Class + " transaction"
	}
	return req.Class
}

// PinnedConn is a connection that is kept for a transaction. It is not safe for
// concurrent use.
type PinnedConn interface {
	// Do runs the request on the connection. Its server and workspace must be those
	// of the request that pinned the connection.
	Do(req Request) (daisystatement.Answer, error)
	// Close closes the connection, unless its transaction has ended. The server rolls back
	// an open one.
	Close()
}
