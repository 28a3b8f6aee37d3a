// Package daisysession runs the statements of one client session over pooled
// connections to backend servers.
//
// Session values and prepared statements belong to the session; a connection is
// given them before a statement runs on it. A transaction keeps one connection
// from its first statement to its end. Whether a statement may be retried, and
// what its failure guarantees, depends on what was sent:
//
//   - A read outside a transaction may be retried on another server.
//   - A write whose answer is missing is reported as in doubt.
//   - A transaction whose COMMIT was not sent is rolled back when its connection
//     is closed, so its failure guarantees that nothing was committed.
//   - A write is acknowledged only if, when its answer arrives, the host holds a
//     valid lease and the server that answered is still the leader.
package daisysession
