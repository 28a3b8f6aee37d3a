package daisyrequest

import "time"

// Load is the load of a backend server as its gateway sees it, for the requests of one
// class. The zero value states nothing.
type Load struct {
	Wait time.Duration // The expected wait of a request before it is sent to the server.
	Run  time.Duration // The mean run time of a request on the server.
}

// IsZero reports whether the load states nothing.
func (l Load) IsZero() bool { return l == Load{} }
