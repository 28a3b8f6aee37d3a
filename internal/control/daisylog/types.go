package daisylog

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// Times of the protocol.
const (
	// HeartbeatInterval is the time between two rounds of the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionMin is the least time without a leader before an election. A
	// follower votes for nobody for this long after hearing from a leader.
	ElectionMin = 450 * time.Millisecond
	// ElectionMax is the greatest time without a leader before an election.
	ElectionMax = 750 * time.Millisecond
	// PreVoteYieldTime is how long a replica that has asked for pre-votes, or granted one,
	// grants none to replicas of a higher identity than that candidate's. It covers
	// the round trips of an election between distant hosts.
	PreVoteYieldTime = 150 * time.Millisecond
	// ElectionRetryMin is the least wait before an election after a lost one or after a
	// resignation, when no replica has a leader. It covers two round trips between
	// distant hosts, in which a replica that stands at once is elected.
	ElectionRetryMin = 50 * time.Millisecond
	// ElectionRetryMax spreads the candidates over several one-way trips.
	ElectionRetryMax = 200 * time.Millisecond
	// VoterReplaceTimeout is how long a voting replica must be silent before a newcomer
	// that has caught up may take its seat. It outlasts an election, so that a
	// replica is not given up because a leader has just begun.
	VoterReplaceTimeout = 2500 * time.Millisecond
	// LeaseMargin is what clocks may gain on each other during ElectionMin.
	LeaseMargin = 100 * time.Millisecond
)

// batchEntries bounds the entries of one message.
const batchEntries = 256

// ReplicaID identifies a replica together with its disk. 0 is nobody.
type ReplicaID uint64

// Peer is a control host's place in the quorum.
type Peer struct {
	Replica ReplicaID
	Name    string // The host name.
	Address netip.AddrPort
	Voting  bool
}

// Entry is one entry of the log: a change, a new set of seats, or neither.
type Entry struct {
	Index         uint64
	Term          uint64
	Change        *daisyfleet.Change
	Configuration []Peer
}

// HardState is what a replica must not forget between entries.
type HardState struct {
	Term uint64
	Vote ReplicaID
	Won  bool // The replica led, or leads, in the term.
}

// Snapshot is a snapshot: the state after the entry at Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration []Peer
	State         daisyfleet.Snapshot
}

// MessageKind names what a message is.
type MessageKind string

// The kinds of message.
const (
	KindPreVote      MessageKind = "PreVote"
	KindPreVoteReply MessageKind = "PreVoteReply"
	KindVote         MessageKind = "Vote"
	KindVoteReply    MessageKind = "VoteReply"
	KindAppend       MessageKind = "Append"
	KindAppendReply  MessageKind = "AppendReply"
	KindSnapshot     MessageKind = "Image"
	KindJoin         MessageKind = "Join"
	KindRedirect     MessageKind = "Refer"
	// KindResign says that the sender led in the term and never will again. The
	// lease that the receiver supported is over.
	KindResign MessageKind = "Resign"
)

// Message passes between replicas.
type Message struct {
	Kind     MessageKind
	From     ReplicaID
	Address  netip.AddrPort // Where the sender listens; filled in by the owner.
	To       ReplicaID
	Term     uint64
	Index    uint64 // Append: the entry before. Votes: the last entry. Replies: the match, or a hint.
	LogTerm  uint64 // The term of the entry at Index.
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Round    uint64 // Numbers the leader's rounds; echoed by replies.
	Snapshot *Snapshot
	Peer     *Peer // Join: the newcomer. Refer: the leader, to be asked instead.
}

// PersistedState is what a replica finds on its disk when it starts.
type PersistedState struct {
	Replica   ReplicaID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // Those after the image, in order.
}

// Ready is what the owner must carry out after a call.
type Ready struct {
	HardState *HardState // To be saved first.
	Snapshot  *Snapshot  // To replace the saved log.
	Entries   []Entry    // To be saved; they replace any saved entries from the first's index on.
	Messages  []Message
	Committed []Entry // To be applied in order, after Image.
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}
