// Package daisyfleet is the control state of the fleet: a deterministic store
// of named objects, each with the revision at which it last changed.
//
// A Change is a set of compare-and-set operations that is applied whole or not
// at all. Every replica that applies the same changes in the same order holds
// the same State. A Delta carries the objects that changed after a revision,
// so that a host follows the state without reading the whole of it.
//
// The package opens no socket and no file.
package daisyfleet
