// Package daisyroute holds the explanation where a statement would go.
package daisyroute

import (
	"fmt"
	"time"
)

// Kind is the kind of a statement, as operators name it.
type Kind string

// The kinds.
const (
	KindRead            Kind = "read"
	KindWrite           Kind = "write"
	KindReadTransaction Kind = "read-transaction" // Declared read-only.
	KindTransaction     Kind = "transaction"
)

// Kinds are all kinds.
var Kinds = []Kind{KindRead, KindWrite, KindReadTransaction, KindTransaction}

// ParseKind returns the named kind.
func ParseKind(name string) (Kind, error) {
	for _, k := range Kinds {
		if string(k) == name {
			return k, nil
		}
	}
	return "", &UnknownError{What: "kind of statement", Name: name}
}

// Pick sets Server to the one with the greatest chance.
func (r *Route) Pick() {
	greatest := 0.0
	for _, s := range r.Servers {
		if s.Chance > greatest {
			r.Server, greatest = s.Name, s.Chance
		}
	}
}

// Reads reports whether statements of the kind only read.
func (k Kind) Reads() bool { return k == KindRead || k == KindReadTransaction }

// Transaction reports whether statements of the kind begin a transaction.
func (k Kind) Transaction() bool { return k == KindReadTransaction || k == KindTransaction }

// Query asks where a statement would go from a host.
type Query struct {
	Database  string // The name that clients connect to.
	Workspace string // Empty if Key is stated, or if no workspace is needed.
	Key       string // A key of the workspace, instead of its name.
	Kind      Kind
}

// Route is where a statement would go now.
type Route struct {
	Host      string
	Database  string
	Workspace string
	Kind      Kind
	Service   string
	Server    string   // The server with the greatest chance; empty if there is none.
	Notes     []string // What else decides.
	Servers   []Server
}

// Server is a server of the service in a Route.
type Server struct {
	Name     string
	Primary  bool
	Distance string
	Chance   float64 // Of a statement to go to it now.
	Share    float64 // Of the class's reads while no recent problem speaks against a server.
	Cost     time.Duration
	Expected time.Duration // Until the answer: Wait, Run and Way.
	Wait     time.Duration
	Run      time.Duration
	Way      time.Duration
	Known    bool          // Whether a load of the server is known; else a default is shown.
	Age      time.Duration // Of the load.
	Answered float64       // The fraction of its requests that it answers.
	Busy     int           // Connections in use; 0 if not known.
	Gateways []string      // In the order in which they are tried.
	Reason   string        // Why it is not taken, or with which part; empty if it is taken.
}

// UnknownError is returned for a name that the host does not know.
type UnknownError struct {
	What string
	Name string // Empty if it is a secret.
}

// Error implements error.
func (e *UnknownError) Error() string {
	if e.Name == "" {
		return "unknown " + e.What
	}
	return fmt.Sprintf("unknown %s %q", e.What, e.Name)
}
