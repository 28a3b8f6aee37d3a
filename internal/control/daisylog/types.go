package daisylog

import (
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Timing of the protocol.
const (
	// HeartbeatInterval is the time between two broadcasts of the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionMin is the minimum election timeout. A follower grants no vote for
	// this long after it has heard from a leader.
	ElectionMin = 450 * time.Millisecond
	// ElectionMax is the maximum election timeout.
	ElectionMax = 750 * time.Millisecond
	// PreVoteYieldTime is how long a replica that requests pre-votes, or has granted
	// one to another candidate, refuses them to replicas with a higher ID than its own
	// or that candidate's. It covers the round trips of an election between distant
	// hosts.
	PreVoteYieldTime = 150 * time.Millisecond
	// ElectionRetryMin is the minimum delay before an election that follows a lost
	// election or a leader's resignation, when no replica has a leader. It covers two
	// round trips between distant hosts: the time that a candidate which starts at
	// once takes to be elected.
	ElectionRetryMin = 50 * time.Millisecond
	// ElectionRetryMax is the maximum of that delay. The range spreads the
	// candidates over several one-way network latencies.
	ElectionRetryMax = 200 * time.Millisecond
	// VoterReplaceTimeout is how long a voter must be silent before a learner that
	// has caught up may replace it. It is longer than an election, so that a voter
	// is not replaced because a new leader has only just been elected.
	VoterReplaceTimeout = time.Second
	// LeaseMargin bounds the drift between two replicas' clocks during ElectionMin.
	LeaseMargin = 100 * time.Millisecond
)

const (
	// maxBatchEntries is the maximum number of entries in one message.
	maxBatchEntries = 256
	// maxUnacknowledgedBytes bounds the entries on their way to a replica, though one
	// entry may be larger. A link of 2 Mbit/s takes less than ElectionMin for them.
	maxUnacknowledgedBytes = 64 << 10
)

// ReplicaID identifies a replica together with its disk. 0 means no replica.
type ReplicaID uint64

// Peer is a replica in the cluster configuration. One without a vote is a learner.
type Peer struct {
	Replica ReplicaID
	Name    string // Host name.
	Address netip.AddrPort
	Voting  bool
}

// Entry is a log entry. It holds a change, a new configuration or, as the first
// entry of a leader's term, neither.
type Entry struct {
	Index         uint64
	Term          uint64
	Change        *daisyfleet.Change
	Configuration []Peer
}

// size returns about how many bytes the encoded entry takes.
func (e *Entry) size() int {
	const entryBytes, peerBytes = 64, 128
	n := entryBytes + peerBytes*len(e.Configuration)
	if e.Change != nil {
		n += e.Change.Size()
	}
	return n
}

// HardState is the state besides the log that a replica must persist.
type HardState struct {
	Term uint64
	Vote ReplicaID
	Won  bool // The replica was elected leader of the term.
}

// Snapshot is the fleet's state and the configuration after the entry at Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration []Peer
	State         daisyfleet.Snapshot
}

// MessageKind is the type of a message.
type MessageKind string

// The message types.
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
	// KindResign says that the sender led the term and will never lead in it again.
	// It ends the lease that the receiver supported.
	KindResign MessageKind = "Resign"
	// KindRetire asks the leader to give the sender's vote to a learner, since the sender
	// stops. KindRetired says that the sender need not wait any longer.
	KindRetire  MessageKind = "Retire"
	KindRetired MessageKind = "Retired"
)

// Message is a message between replicas.
type Message struct {
	Kind     MessageKind
	From     ReplicaID
	Address  netip.AddrPort // Where the sender listens; set by the caller.
	To       ReplicaID
	Term     uint64
	Index    uint64 // Append: the entry before Entries. Vote requests: the last entry. Replies: the last matching entry; with Reject, the last one that may match.
	LogTerm  uint64 // Term of the entry at Index.
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Round    uint64 // Number of the leader's broadcast; replies echo it.
	Snapshot *Snapshot
	Peer     *Peer // Join: the sender. Redirect: the leader, to which Join must be sent.
}

// PersistedState is what a replica reads from its disk when it starts.
type PersistedState struct {
	Replica   ReplicaID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // Entries after the snapshot, in order.
}

// Ready is what the caller must carry out after a call to the replica.
type Ready struct {
	HardState *HardState // To save first; nil if unchanged.
	Snapshot  *Snapshot  // To save in place of the saved log; nil if there is none.
	Entries   []Entry    // To save; they replace saved entries from the index of the first on.
	Messages  []Message
	Committed []Entry // To apply in order, after Snapshot.
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}
