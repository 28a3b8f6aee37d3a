package daisyrequest

import (
	"errors"
	"fmt"
	"time"
)

// ErrEvacuated is returned, with ErrNotSent, for a statement to a server whose failure
// domain is evacuated. Another server may run it.
var ErrEvacuated = errors.New("backend server is in an evacuated failure domain")

// evacuationRetryAfter is the time to retry that clients are told. It is not known when
// an operator ends an evacuation, so it only bounds how often they ask.
const evacuationRetryAfter = time.Second

// EvacuationError is returned, with ErrNotSent, for a statement that no server can run
// because of evacuations.
type EvacuationError struct {
	RetryAfter time.Duration
}

// NewEvacuationError returns an ErrNotSent with an EvacuationError.
func NewEvacuationError() error {
	return fmt.Errorf("%w: %w", ErrNotSent, &EvacuationError{RetryAfter: evacuationRetryAfter})
}

// Error implements error.
func (e *EvacuationError) Error() string {
	return "only backend servers in evacuated failure domains can run the statement; retry in " + e.RetryAfter.String()
}
