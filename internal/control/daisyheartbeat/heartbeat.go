// Package daisyheartbeat defines what a host and the control leader say to each
// other: one heartbeat carries the host's reports up, and its reply carries
// the lease and the state's delta down.
package daisyheartbeat

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// OwnershipTerm names a tenure.
type OwnershipTerm struct {
	Database string
	Term     uint64
}

// TakeoverReport reports that a holder fenced a group and chose its primary.
type TakeoverReport struct {
	OwnershipTerm
	Primary string
	Note    string // What may have been lost, and why the member was chosen.
}

// Observation reports what a host sees of a primary.
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

// Announcement is a backend server's word that it is there.
type Announcement struct {
	Member string
	Value  daisyfleet.Member
	Age    time.Duration // How long ago the host heard it.
}

// Heartbeat is a host's heartbeat.
type Heartbeat struct {
	ID            uint64
	Host          string
	Incarnation   uint64
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	Revision      uint64 // The revision that the host holds.
	Leaving       bool
	Released      []OwnershipTerm
	Takeovers     []TakeoverReport
	HigherTerms   []OwnershipTerm // Groups whose members are at a later term, which is given, than the one to claim.
	Observations  []Observation
	Announcements []Announcement
	Demands       []Demand // Tokens that the host lacks for its present demand.
}

// Demand is an amount of a workspace's tokens, asked for or granted.
type Demand struct {
	Workspace string
	Tokens    float64
}

// Reply answers a Beat.
type Reply struct {
	ID     uint64
	Lease  time.Duration // Counted from the sending of the beat; 0 grants none.
	Delta  *daisyfleet.Delta
	Probes []Probe        // Primaries that the host is to probe now.
	Leader netip.AddrPort // Where to turn to instead; invalid if unknown.

	Controls []netip.AddrPort // The control hosts; empty if they are as configured.
	Grants   []Demand         // Tokens granted in answer to the demands.
}
