// Package daisyheartbeat defines the messages between a host and the control leader:
// a heartbeat carries the host's reports, and its reply carries the lease and the
// changes of the state.
package daisyheartbeat

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// OwnershipTerm identifies the ownership of a database in a term.
type OwnershipTerm struct {
	Database string
	Term     uint64
}

// TakeoverReport reports that a holder has fenced a database group and chosen its
// primary.
type TakeoverReport struct {
	OwnershipTerm
	Primary string
	Note    string // Why the member was chosen and what may have been lost.
}

// Observation reports whether a primary answers a host.
type Observation struct {
	OwnershipTerm
	Member  string
	Answers bool
}

// Probe asks a host to probe a primary.
type Probe struct {
	OwnershipTerm
	Member  string
	Address netip.AddrPort
}

// Announcement is a backend server's periodic message that it is running.
type Announcement struct {
	Member string
	Value  daisyfleet.Member
	Age    time.Duration // Time since the host received it.
}

// Heartbeat is a host's message to the control leader, which renews its lease.
type Heartbeat struct {
	ID            uint64
	Host          string
	Incarnation   uint64
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	Revision      uint64 // The revision of the state that the host has; 0 if none.
	Leaving       bool
	Released      []OwnershipTerm
	Takeovers     []TakeoverReport
	HigherTerms   []OwnershipTerm // Groups whose members are at a higher term than the host's; Term is the members' one.
	Observations  []Observation
	Announcements []Announcement
	Demands       []Demand // Tokens that the host lacks for its current demand.
}

// Demand is an amount of a workspace's rate limit tokens, requested or granted.
type Demand struct {
	Workspace string
	Tokens    float64

	// The other fields are of grants.

	After      time.Duration // When the tokens may be used, from their arrival on.
	Denied     float64       // Requested tokens that are not granted.
	RetryAfter time.Duration // With Denied, when to request them again.

	// The fields below are about tokens in reserve. They are set if Sequence is.

	Sequence uint64        // Of a demand, increases with each of a process; of a grant, the demand's.
	Reserve  int           // Of a demand, how many tokens to hold; of a grant, how many the host may hold.
	Held     int           // Of a demand, how many unused tokens the host holds.
	Returned int           // Of a demand, how many the host gave up unused since the last one.
	Lifetime time.Duration // Of a grant, from the sending of the demand on.
}

// WithoutReserves returns the demands without what concerns tokens in reserve, for
// control hosts that do not know them.
func WithoutReserves(demands []Demand) (left []Demand) {
	for _, d := range demands {
		if d.Tokens > 0 {
			left = append(left, Demand{Workspace: d.Workspace, Tokens: d.Tokens})
		}
	}
	return left
}

// Reply answers a Heartbeat.
type Reply struct {
	ID       uint64
	Lease    time.Duration // From the time at which the heartbeat was sent; 0 grants none.
	Revision uint64        // The revision that the host must have for the lease; 0 if not stated.
	Delta    *daisyfleet.Delta
	Probes   []Probe        // Primaries that the host must probe now.
	Leader   netip.AddrPort // The leader, to which heartbeats must be sent; invalid if unknown.

	Controls []netip.AddrPort // Replaces the control hosts that the host knows, unless empty.
	Grants   []Demand         // Tokens granted in answer to the demands.
}
