// Package daisysession serves the statements of one caller's session over
// pooled connections to backend servers.
//
// Session values and prepared statements belong to the session; connections
// are brought in line with them before a statement runs. A transaction keeps
// one connection from its first statement to its end. Whether a statement may
// be sent again, and what a failure promises, follows from what was sent:
//
//   - A read outside a transaction may run again on another server.
//   - A write whose answer is missing is in doubt, and said to be.
//   - A transaction whose COMMIT was not sent is rolled back with its
//     connection, so its failure promises that nothing is kept.
//   - A write is acknowledged only if, when its answer arrives, the host may
//     still act on the state in which the answering server leads.
package daisysession
