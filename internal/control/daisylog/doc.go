// Package daisylog implements the replicated log of the control hosts. It
// follows Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014; Ongaro's dissertation for pre-vote, configuration changes by
// one server at a time and leases).
//
// Replica is the state machine of the protocol. It opens no socket and no file,
// and its caller passes in the time. The caller feeds it messages and ticks and,
// after each call, carries out what Ready returns in this order: save to disk,
// call Saved, send the messages, apply the committed entries.
//
// A replica ID is bound to a disk. A host that lost its disk comes back with a
// new ID, as a learner without a vote, so it cannot vote twice in a term of
// which it has no record. A replica that has just started grants no vote until
// every lease that it may have supported has expired, or until the holder of
// that lease says that it no longer leads.
package daisylog
