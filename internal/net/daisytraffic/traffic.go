// Package daisytraffic counts the bytes of messages between hosts by their purpose and
// the boundary that they cross. Bytes between regions cost money.
package daisytraffic

import "sync/atomic"

// Purpose is what a message is for.
type Purpose int

// The purposes.
const (
	PurposeStatements Purpose = iota // Statements and their answers.
	PurposeControl                   // Heartbeats, their replies, proposals and pings.
	PurposePositions                 // Samples of a primary's position, asked for by a host and not with a read.
)

// Boundary is what a message crosses.
type Boundary int

// The boundaries.
const (
	BoundaryNone   Boundary = iota // Both hosts are in one failure domain.
	BoundaryDomain                 // Both are in one region.
	BoundaryRegion
	BoundaryUnknown // The location of the other host is not known.
)

const (
	purposes   = int(PurposePositions) + 1
	boundaries = int(BoundaryUnknown) + 1
)

var (
	purposeNames  = [purposes]string{"statements", "control", "positions"}
	boundaryNames = [boundaries]string{"none", "domain", "region", "unknown"}
)

// Crossed returns the boundary between two locations. An empty failure domain is not
// known.
func Crossed(fromDomain, fromRegion, toDomain, toRegion string) Boundary {
	switch {
	case fromDomain == "" || toDomain == "":
		return BoundaryUnknown
	case fromDomain == toDomain:
		return BoundaryNone
	case fromRegion == toRegion:
		return BoundaryDomain
	}
	return BoundaryRegion
}

// Meter counts the bytes of a process. It is safe for concurrent use.
type Meter struct {
	bytes [purposes][boundaries]atomic.Uint64
}

// Across returns the counter of messages that cross the boundary.
func (m *Meter) Across(b Boundary) Counter { return Counter{meter: m, boundary: b} }

// Totals returns the bytes counted so far.
func (m *Meter) Totals() (t Totals) {
	for p := range m.bytes {
		for b := range m.bytes[p] {
			t[p][b] = m.bytes[p][b].Load()
		}
	}
	return t
}

// Counter counts messages that cross one boundary. The zero value counts nothing.
type Counter struct {
	meter    *Meter
	boundary Boundary
}

// Add counts the bytes of a message.
func (c Counter) Add(p Purpose, bytes int) {
	if c.meter != nil {
		c.meter.bytes[p][c.boundary].Add(uint64(bytes))
	}
}

// Totals are bytes by purpose and boundary.
type Totals [purposes][boundaries]uint64

// Across returns the bytes of all purposes that crossed the boundary.
func (t Totals) Across(b Boundary) (bytes uint64) {
	for p := range t {
		bytes += t[p][b]
	}
	return bytes
}

// EachSeries calls f for each purpose and boundary with their names.
func EachSeries(f func(p Purpose, b Boundary, purpose, boundary string)) {
	for p, purpose := range purposeNames {
		for b, boundary := range boundaryNames {
			f(Purpose(p), Boundary(b), purpose, boundary)
		}
	}
}
