// Package daisycontroller makes the decisions of the control leader: which hosts
// are up, who holds which database, when a primary is given up and which
// backend servers exist.
//
// Leader keeps what heartbeats report in memory and derives from it and from
// the replicated state the changes that are due. It opens no socket and no
// file, and is told the time.
//
// Safety rests on three rules. A host is declared down only after every lease
// that was granted to it has run out. A host that has been given up gets no
// lease until the log has decided. A new leader treats every host as if it had
// been granted a lease at the moment the leadership began.
package daisycontroller
