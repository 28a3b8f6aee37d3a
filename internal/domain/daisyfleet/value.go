package daisyfleet

import (
	"errors"
	"math"
	"net/netip"
	"time"
)

// Kind is the type of an object's value, as it is named on the wire.
type Kind string

// The kinds of object.
const (
	KindProfile    Kind = "Profile"
	KindWorkspace  Kind = "Workspace"
	KindKey        Kind = "Key"
	KindDatabase   Kind = "Database"
	KindMember     Kind = "Member"
	KindHost       Kind = "Host"
	KindOwnership  Kind = "Tenure"
	KindDocument   Kind = "Document"
	KindServer     Kind = "Server"
	KindLeadership Kind = "Primacy"
	KindEvacuation Kind = "Evacuation"
	KindPromotion  Kind = "Promotion"
)

// Acknowledge states what a write waits for before it is acknowledged.
type Acknowledge string

const (
	// AcknowledgeMajority waits until a majority of the group holds the write.
	AcknowledgeMajority Acknowledge = "Majority"
	// AcknowledgePrimary waits for the primary only; a failover may lose the write.
	AcknowledgePrimary Acknowledge = "Primary"
)

// SessionScope states which acknowledged writes a read must see: the scope of
// session consistency.
type SessionScope string

const (
	// SessionKey makes a read see every write that was acknowledged to the same
	// key on any connection, so that a connection pool is one session.
	SessionKey SessionScope = "Key"
	// SessionConnection makes a read see the writes of its own connection and
	// those that were acknowledged to its key before the connection was opened.
	SessionConnection SessionScope = "Connection"
)

// Value is the content of an object.
type Value interface {
	// Kind returns the kind of the value.
	Kind() Kind
	// Check returns an error if the value is invalid.
	Check() error
}

// isPositive reports whether the number is above 0 and finite.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

// Profile states how a class of requests is handled.
type Profile struct {
	Database    string        // The database group that requests go to.
	ReadOnly    bool          // Every transaction is read-only.
	MaxAge      time.Duration // Maximum staleness of a read; 0 sets no bound beyond the session's minimum position.
	Acknowledge Acknowledge
	Session     SessionScope
	Cost        float64       // Tokens per request.
	Wait        time.Duration // Maximum queueing time of a request.
	Objective   float64       // Service level objective: the share of requests that must be good.
	Latency     time.Duration // Maximum latency of a good request; 0 sets no bound.
}

// Kind implements Value.
func (Profile) Kind() Kind { return KindProfile }

// Check implements Value.
func (p Profile) Check() error {
	switch {
	case p.Database == "":
		return errors.New("Database is empty")
	case p.Acknowledge != AcknowledgeMajority && p.Acknowledge != AcknowledgePrimary:
		return errors.New("Acknowledge is neither Majority nor Primary")
	case p.Session != SessionKey && p.Session != SessionConnection:
		return errors.New("Session is neither Key nor Connection")
	case !isPositive(p.Cost):
		return errors.New("Cost is not positive")
	case p.Wait <= 0:
		return errors.New("Wait is not positive")
	case p.MaxAge < 0:
		return errors.New("MaxAge is negative")
	case p.Latency < 0:
		return errors.New("Latency is negative")
	case !(p.Objective > 0 && p.Objective < 1):
		return errors.New("Objective is not between 0 and 1")
	}
	return nil
}

// Workspace is a tenant with its fleet-wide rate limit.
type Workspace struct {
	Home  string  // The database whose holder owns the token bucket.
	Rate  float64 // Tokens per second.
	Burst float64 // Capacity of the token bucket.
}

// Kind implements Value.
func (Workspace) Kind() Kind { return KindWorkspace }

// Check implements Value.
func (w Workspace) Check() error {
	switch {
	case w.Home == "":
		return errors.New("Home is empty")
	case !isPositive(w.Rate):
		return errors.New("Rate is not positive")
	case w.Burst < 1 || !isPositive(w.Burst):
		return errors.New("Burst is below 1")
	}
	return nil
}

// Key is a client's API key. Only its hash is stored.
type Key struct {
	Workspace string
	Hash      [32]byte // SHA-256 of the key.
}

// Kind implements Value.
func (Key) Kind() Kind { return KindKey }

// Check implements Value.
func (k Key) Check() error {
	if k.Workspace == "" {
		return errors.New("Workspace is empty")
	}
	return nil
}

// Database is a replicated database group.
type Database struct {
	Connections int // Maximum connections to each member from the whole fleet.
	Members     int // Number of members of the group.
}

// Kind implements Value.
func (Database) Kind() Kind { return KindDatabase }

// Check implements Value.
func (d Database) Check() error {
	switch {
	case d.Connections < minConnections:
		return errors.New("Connections is below 3")
	case d.Members < 1:
		return errors.New("Members is below 1")
	}
	return nil
}

// minConnections is one connection each for control of a member, for waiting on
// its log and for statements.
const minConnections = 3

// Majority returns how many members make a majority of the group.
func (d Database) Majority() int { return d.Members/2 + 1 }

// Member is a backend server of a database group.
type Member struct {
	Database      string
	Address       netip.AddrPort
	FailureDomain string
	Leaving       bool // The member asked to get no new work.
}

// Kind implements Value.
func (Member) Kind() Kind { return KindMember }

// Check implements Value.
func (m Member) Check() error {
	switch {
	case m.Database == "":
		return errors.New("Database is empty")
	case !m.Address.IsValid():
		return errors.New("Address is not an IP and port")
	}
	return nil
}

// MemberName returns the object name of a member of the database group.
func MemberName(database, member string) string { return database + "/" + member }

// Host is a host of the fleet.
type Host struct {
	Incarnation   uint64 // Random number chosen when the process starts.
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	Up            bool // The host was declared up and may hold a lease.
	Leaving       bool // The host is draining.
}

// Kind implements Value.
func (Host) Kind() Kind { return KindHost }

// Check implements Value.
func (h Host) Check() error {
	if !h.Address.IsValid() {
		return errors.New("Address is not an IP and port")
	}
	return nil
}

// Ownership is the exclusive right of a host to a database group for one term.
// The object's name is the database.
type Ownership struct {
	Term        uint64
	Holder      string // The host that owns the group.
	Incarnation uint64 // The holder's process.
	Primary     string // The member that serves writes; empty until the holder has taken over.
	Last        string // The last primary before this term; empty if there was none.
	Avoid       string // The member that becomes primary only if no other has as long a log.
	Revoked     bool   // The holder must release the ownership.
}

// Kind implements Value.
func (Ownership) Kind() Kind { return KindOwnership }

// Check implements Value.
func (o Ownership) Check() error {
	if o.Holder == "" {
		return errors.New("Holder is empty")
	}
	return nil
}
