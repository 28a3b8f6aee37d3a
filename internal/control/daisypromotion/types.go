package daisypromotion

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Role is a server's replication role in its service, as the server reports it.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Announcement is sent by a backend server at intervals, to register
// and to stay registered.
type Announcement struct {
	ID            string // Identifies the incarnation of the server.
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Started       time.Time // When the process started.
	Sequence      uint64    // Increases with each announcement of a process.
	Leaving       bool      // The server asked to get no new work.
	Role          Role
	Slots         int           // Number of statements that it runs concurrently; 0 if unknown.
	ColdLeft      time.Duration // For how much longer its caches are cold.
}

// Status is a server's answer to a probe.
type Status struct {
	Role     Role
	Term     uint64                  // The latest term that it knows.
	Received daisystatement.Position // Of the last log entry that it has received.
}

// OrderKind is the action of an Order.
type OrderKind int

// The kinds of order.
const (
	// OrderProbe asks the server for its status.
	OrderProbe OrderKind = iota
	// OrderPromote promotes the server to primary.
	OrderPromote
	// OrderStepDown tells a replaced primary the term of its successor, so that
	// it becomes a replica.
	OrderStepDown
)

// Order is an action that the caller of Leader is to carry out on a server.
type Order struct {
	Kind    OrderKind
	Service string
	Server  string
	Address netip.AddrPort
	Term    uint64 // The successor's term, for OrderStepDown.
	Issued  time.Time
}

// PromotionOutcome is the outcome of an order to promote a server.
type PromotionOutcome int

// The outcomes of a promotion.
const (
	// PromotionUnknown means that the promotion may or may not have been accepted.
	PromotionUnknown PromotionOutcome = iota
	// PromotionAccepted means that the promotion is in progress.
	PromotionAccepted
	// PromotionNotSent means that the platform was not told.
	PromotionNotSent
	// PromotionRefused means that the server cannot be promoted.
	PromotionRefused
)

// Result is the result of an order.
type Result struct {
	Order
	Status  *Status          // Nil if a probe was not answered.
	Reached bool             // The probed server took a connection; it may be too busy to answer.
	Outcome PromotionOutcome // For OrderPromote.
}
