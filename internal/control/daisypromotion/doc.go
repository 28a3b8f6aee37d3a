// Package daisypromotion decides which backend server leads each replicated
// service where another party carries promotions out.
//
// A succession has four steps, each of which any control leader can take up
// from the log:
//
//  1. The log accepts a round without a server. Hosts that hold this state
//     send the service no writes and acknowledge none.
//  2. The leader waits until every host that is up holds that state, or is
//     declared down because its lease on an older state has run out.
//  3. It asks all servers of the service for their positions and orders the
//     promotion of the one that has received most.
//  4. Once that server says that it leads a later term, the log accepts it.
//
// So no write is acknowledged by a replaced primary, and no read that must be
// current is sent to one. The lease is the one of Gray and Cheriton ("Leases",
// 1989), with recall so that only hosts out of reach are waited out.
//
// Leader decides and opens no socket: it is told what servers announce, what
// hosts see and what became of its orders.
package daisypromotion
