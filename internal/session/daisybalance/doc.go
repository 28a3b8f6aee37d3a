// Package daisybalance decides, on one host, which share of a class's reads each
// backend server of a service gets.
//
// Reads stay at the nearest servers while these answer well within the latency
// objective of the class. A share of them goes farther once the expected time gained
// exceeds what it costs to cross the boundary. The share grows with the gain and
// changes by bounded steps, so that many hosts with the same old view neither all move
// nor oscillate. Servers that fail a part of their requests get less in proportion.
//
// The package does no I/O, reads no clock and has no randomness of its own.
// docs/design/leaving-the-domain.md has what was weighed.
package daisybalance
