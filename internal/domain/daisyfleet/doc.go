// Package daisyfleet is the control state of the fleet: a deterministic store
// of named objects, each with the revision at which it last changed.
//
// A Change is an atomic set of compare-and-set operations. Replicas that apply
// the same changes in the same order hold the same State. A Delta carries the
// objects that changed after a revision, so that a host can follow the state
// without fetching it in full.
//
// The package does no I/O.
package daisyfleet
