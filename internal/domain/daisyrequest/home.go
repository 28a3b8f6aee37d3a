package daisyrequest

import (
	"fmt"
	"time"
)

// Home tells in which regions a statement may run and its text may be known.
type Home interface {
	Allows(region string) bool
	String() string // Names the home regions.
}

// allows reports whether the home regions allow the region. A nil h allows all.
func allows(h Home, region string) bool { return h == nil || h.Allows(region) }

// Allows reports whether the request may be sent to a host or a server in the region.
func (req *Request) Allows(region string) bool { return allows(req.Home, region) }

// HomeError is returned, with ErrNotSent, for a statement for which there is no server
// or no gateway in its home regions. Only a change of the fleet's state helps.
type HomeError struct {
	Home       string // The home regions.
	Reason     string
	RetryAfter time.Duration
}

// homeRetryAfter is when to try again: the time in which a primary is replaced and a
// host learns of it.
const homeRetryAfter = time.Second

// NewHomeError returns an ErrNotSent with a HomeError.
func NewHomeError(h Home, reason string) error {
	return fmt.Errorf("%w: %w", ErrNotSent, &HomeError{Home: h.String(), Reason: reason, RetryAfter: homeRetryAfter})
}

// Error implements error.
func (e *HomeError) Error() string {
	return fmt.Sprintf("%s in the home regions (%s); retry in %s", e.Reason, e.Home, e.RetryAfter)
}
