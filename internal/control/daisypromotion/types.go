package daisypromotion

import (
	"net/netip"
	"time"
)

// Role is the part that a server plays in its service, as it says itself.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Announcement is a server's word that it is there.
type Announcement struct {
	ID            string // Names the incarnation of the server.
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Started       time.Time // When the process started.
	Sequence      uint64    // Increases with each announcement of a process.
	Leaving       bool      // The server asks for no new work.
	Role          Role
	Slots         int // How many statements it runs at once; 0 if unknown.
}

// Status is what a server says of itself when it is probed.
type Status struct {
	Role     Role
	Term     uint64 // The term of its log.
	Received uint64 // The number of the last entry that it has received.
}

// OrderKind names what is to be done.
type OrderKind int

// The kinds of order.
const (
	// OrderProbe asks the server for its status.
	OrderProbe OrderKind = iota
	// OrderPromote has the server promoted.
	OrderPromote
	// OrderStepDown tells a replaced primary the term that replaced it.
	OrderStepDown
)

// Order is something to be done to a server.
type Order struct {
	Kind    OrderKind
	Service string
	Server  string
	Address netip.AddrPort
	Term    uint64 // For OrderStepDown.
	Issued  time.Time
}

// PromotionOutcome is what became of a promotion.
type PromotionOutcome int

// The verdicts.
const (
	// PromotionUnknown means that the promotion may or may not have been taken.
	PromotionUnknown PromotionOutcome = iota
	// PromotionAccepted means that the promotion is under way.
	PromotionAccepted
	// PromotionRefused means that the server cannot be promoted.
	PromotionRefused
)

// Result is what became of an order.
type Result struct {
	Order
	Status  *Status          // Nil if a probe was not answered.
	Reached bool             // The probed server took a connection; it may be too busy to answer.
	Outcome PromotionOutcome // Of a promotion.
}
