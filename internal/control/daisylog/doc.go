// Package daisylog is the replicated log on the control hosts. It follows Raft
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014; Ongaro's dissertation for pre-vote, membership changes of
// one replica at a time and leases).
//
// Replica is the decision part. It opens no socket and no file and is told the
// time. Its owner passes it messages and ticks, and after each call carries
// out what Ready returns, in this order: save, tell Saved, send, apply.
//
// A replica's identity is bound to its disk. A host that lost its disk comes
// back under a new identity, as a newcomer without a vote, so it cannot vote
// twice in a term that it forgot. A replica that has just started votes for
// nobody until the leases that it may have supported have run out, or their leader
// says that it has stopped.
package daisylog
