// Package daisypromotion decides which backend server is the primary of each
// replicated service, for deployments in which an external platform carries
// promotions out.
//
// A succession replaces the primary in four steps. A new control leader can
// resume it at any step from the control log:
//
//  1. The log accepts a new epoch without a primary. Hosts that hold this state
//     send the service no writes and acknowledge none.
//  2. The leader waits until every host that is up holds that state, or is
//     declared down because its lease on an older state has expired.
//  3. It probes all servers of the service for their log positions and orders
//     the promotion of the one that has received most.
//  4. Once that server reports that it is the primary in a later term, the log
//     accepts it as the primary of the epoch.
//
// So no write is acknowledged by a replaced primary, and no read that must be
// current is sent to one. The leases are those of Gray and Cheriton ("Leases",
// 1989). Hosts that can be reached have the old state recalled; only for hosts
// that cannot be reached does the leader wait until the lease expires.
//
// Leader only decides and does no I/O. Its caller passes in the announcements
// of servers, the heartbeats of hosts and the results of its orders.
package daisypromotion
