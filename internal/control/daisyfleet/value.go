package daisyfleet

import (
	"errors"
	"net/netip"
	"time"
)

// Kind names the type of an object's value.
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
)

// Acknowledge states when a write may be acknowledged to its caller.
type Acknowledge string

const (
	// AcknowledgeMajority waits until a majority of the group holds the write.
	AcknowledgeMajority Acknowledge = "Majority"
	// AcknowledgePrimary waits for the primary alone; a failover may lose the write.
	AcknowledgePrimary Acknowledge = "Primary"
)

// SessionScope states whose writes a read must see.
type SessionScope string

const (
	// SessionKey lets a read see every write that was acknowledged to its key,
	// on whichever connection, so that pools of connections are one session.
	SessionKey SessionScope = "Key"
	// SessionConnection lets a read see the writes of its own connection and
	// those that were acknowledged to its key before the connection was opened.
	SessionConnection SessionScope = "Connection"
)

// Value is the content of an object.
type Value interface {
	// Kind returns the kind of the value.
	Kind() Kind
	// Check returns an error if the value is not acceptable.
	Check() error
}

// Profile states how requests of a kind are treated.
type Profile struct {
	Database    string        // The database group that the profile serves.
	ReadOnly    bool          // Every transaction is read-only.
	MaxAge      time.Duration // How stale a read may be; 0 sets no bound beyond the session floor.
	Acknowledge Acknowledge
	Session     SessionScope
	Cost        float64       // Tokens taken per request.
	Wait        time.Duration // How long a request may queue.
	Objective   float64       // The share of requests that must be good.
	Latency     time.Duration // The time within which a good request is answered; 0 sets none.
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
	case p.Cost <= 0:
		return errors.New("Cost is not positive")
	case p.Wait <= 0:
		return errors.New("Wait is not positive")
	case p.MaxAge < 0:
		return errors.New("MaxAge is negative")
	case p.Latency < 0:
		return errors.New("Latency is negative")
	case p.Objective <= 0 || p.Objective >= 1:
		return errors.New("Objective is not between 0 and 1")
	}
	return nil
}

// Workspace is a tenant with its fleet-wide limit.
type Workspace struct {
	Home  string  // The database whose holder keeps the limit.
	Rate  float64 // Tokens per second.
	Burst float64 // Tokens that may be taken at once.
}

// Kind implements Value.
func (Workspace) Kind() Kind { return KindWorkspace }

// Check implements Value.
func (w Workspace) Check() error {
	switch {
	case w.Home == "":
		return errors.New("Home is empty")
	case w.Rate <= 0:
		return errors.New("Rate is not positive")
	case w.Burst < 1:
		return errors.New("Burst is below 1")
	}
	return nil
}

// Key is a caller's key. The key itself is never stored.
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
	Connections int // Connections per member across the fleet.
	Members     int // Members of the group.
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

// minConnections leaves one connection for control of a member, one for
// waiting on its log and one for statements.
const minConnections = 3

// Majority returns how many members make a majority of the group.
func (d Database) Majority() int { return d.Members/2 + 1 }

// Member is a backend server of a database group.
type Member struct {
	Database      string
	Address       netip.AddrPort
	FailureDomain string
	Leaving       bool // The member asked for no new work.
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

// MemberName returns the name of the object of a member within a group.
func MemberName(database, member string) string { return database + "/" + member }

// Host is a host of the fleet.
type Host struct {
	Incarnation   uint64 // Random number of the process start.
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	Up            bool // The host holds a lease.
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

// Ownership is the exclusive right to a database group for one term. The object
// has the name of the database.
type Ownership struct {
	Term        uint64
	Holder      string // The host that holds the right.
	Incarnation uint64 // The process start that holds the right.
	Primary     string // The member that serves writes; empty while claiming.
	Last        string // The primary before this term.
	Avoid       string // The member that must not stay primary.
	Revoked     bool   // The holder is to hand the right back.
}

// Kind implements Value.
func (Ownership) Kind() Kind { return KindOwnership }

// Check implements Value.
func (t Ownership) Check() error {
	if t.Holder == "" {
		return errors.New("Holder is empty")
	}
	return nil
}
