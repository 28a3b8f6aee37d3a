// Package daisycontroller makes the decisions of the control leader: which hosts
// are up, which host holds each database, when a primary is replaced and which
// backend servers exist.
//
// Leader keeps the reports from heartbeats in memory and derives the changes that
// are due from them and from the replicated state. It opens no socket and no file,
// and its caller passes in the time.
//
// Safety rests on three rules. A host is declared down only after every lease
// granted to it has expired. A host for which such a change is proposed gets no
// lease until the outcome is known. A new leader treats every host as if it had
// been granted a lease at the moment its term as leader began.
package daisycontroller
