package daisylog

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// Role is the role of a replica.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var (
	// ErrNotLeader is returned for a proposal to a replica that does not lead.
	ErrNotLeader = errors.New("replica does not lead")
	// ErrConfigurationRefused is returned for a configuration change that is not
	// allowed yet because another one, or the first entry of the leader's term, is
	// not committed, or not at all because it changes more than one voter.
	ErrConfigurationRefused = errors.New("configuration change refused: an earlier entry is not committed yet, or more than one voter changes")
)

// progress is what a leader knows about the log of another replica.
type progress struct {
	match        uint64
	next         uint64    // The entry to send next; those after match and before it are on their way.
	lastAck      time.Time // Send time of the latest broadcast that the replica has answered.
	snapshotSent bool      // A snapshot was sent and is not acknowledged yet.

	resumedFrom  uint64 // The entry from which the replica was first, or last again, sent entries.
	resumedRound uint64 // The broadcast before that.
}

// resume makes the replica be sent the entries from next on again, after it has refused a
// message of the broadcast. It returns false for another refusal of what was sent before
// the last resumption.
func (p *progress) resume(next, round, latest uint64) bool {
	next = max(p.match+1, min(p.next-1, next))
	if next >= p.resumedFrom && round <= p.resumedRound {
		return false
	}
	p.next, p.snapshotSent = next, false
	p.resumedFrom, p.resumedRound = next, latest
	return true
}

// Replica is one replica of the log. It is not safe for concurrent use.
type Replica struct {
	id     ReplicaID
	random *rand.Rand

	hardState        HardState
	savedHardState   HardState // As last returned by Ready.
	role             Role
	leader           ReplicaID
	started          time.Time          // When the replica started.
	lastContact      time.Time          // When the current leader was last heard, or when the replica started.
	electionDeadline time.Time          // When the next election starts.
	campaignedAt     time.Time          // When pre-votes were last requested.
	preVotedFor      ReplicaID          // The candidate that was last granted a pre-vote.
	preVotedAt       time.Time          // When that pre-vote was granted.
	votes            map[ReplicaID]bool // Whether the vote was granted; replicas that have not answered are missing.

	snapshot           Snapshot
	entries            []Entry // Entries after the snapshot.
	firstUnsaved       uint64  // Index of the first entry that Ready has not returned for saving.
	durable            uint64  // Index of the last entry known to be on disk.
	commit             uint64
	applied            uint64 // Index of the last committed entry that Ready has returned.
	appliedBytes       int    // About the size of the entries after the snapshot up to there.
	configuration      []Peer
	configurationIndex uint64

	progress      map[ReplicaID]*progress
	round         uint64               // Number of the latest broadcast.
	roundSentAt   map[uint64]time.Time // By number of the broadcast.
	nextHeartbeat time.Time
	leaderSince   time.Time
	noopIndex     uint64 // Index of the empty entry that began the term as leader.

	newSnapshot *Snapshot
	outbox      []Message
	maxVoters   int // 0 means no limit.

	retiring bool // The process is about to stop.
	retired  bool // The leader has said that its vote is handed over, or that no learner takes it.
}

// SetMaxVoters limits the number of voters. At the limit, a learner becomes a
// voter only in place of one that stops, or has been silent for VoterReplaceTimeout.
func (r *Replica) SetMaxVoters(n int) { r.maxVoters = n }

// New returns a replica that continues from its persisted state.
func New(now time.Time, s PersistedState, random *rand.Rand) *Replica {
	r := &Replica{
		id: s.Replica, random: random, hardState: s.HardState, savedHardState: s.HardState,
		snapshot: s.Snapshot, entries: slices.Clone(s.Entries), started: now, lastContact: now,
	}
	r.commit, r.applied = s.Snapshot.Index, s.Snapshot.Index
	r.durable, r.firstUnsaved = r.lastIndex(), r.lastIndex()+1
	r.loadConfiguration()
	r.resetElectionTimer(now)
	if s.HardState.Won {
		// The replica led before it restarted. A leader supports no lease but its
		// own, which has ended, so there is none to wait for.
		r.lastContact, r.electionDeadline = now.Add(-ElectionMax), now
	}
	return r
}

// ID returns the replica's ID.
func (r *Replica) ID() ReplicaID { return r.id }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Commit returns the index of the last committed entry.
func (r *Replica) Commit() uint64 { return r.commit }

// Configuration returns the latest configuration, committed or not.
func (r *Replica) Configuration() []Peer { return slices.Clone(r.configuration) }

// Leader returns the leader, or false if none is known.
func (r *Replica) Leader() (Peer, bool) {
	return r.peer(r.leader)
}

func (r *Replica) peer(id ReplicaID) (Peer, bool) {
	for _, peer := range r.configuration {
		if peer.Replica == id && id != 0 {
			return peer, true
		}
	}
	return Peer{}, false
}

func (r *Replica) isVoter() bool {
	peer, ok := r.peer(r.id)
	return ok && peer.Voting
}

// HoldsLease reports whether the replica is the leader, has applied every entry
// that was committed before its term, and no other replica can have been elected
// yet.
func (r *Replica) HoldsLease(now time.Time) bool {
	return r.role == Leader && r.applied >= r.noopIndex && now.Before(r.quorumTime(now).Add(ElectionMin-LeaseMargin))
}

// quorumTime returns the latest time at which a majority is known to have
// followed the leader.
func (r *Replica) quorumTime(now time.Time) time.Time {
	var times []time.Time
	for _, peer := range r.configuration {
		switch {
		case !peer.Voting:
		case peer.Replica == r.id:
			times = append(times, now)
		default:
			times = append(times, r.progress[peer.Replica].lastAck)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

func (r *Replica) lastIndex() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.snapshot.Index
}

// termAt returns the term of the entry at index, or false if the log does not
// contain it.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.snapshot.Index:
		return r.snapshot.Term, true
	case index < r.snapshot.Index || index > r.lastIndex():
		return 0, false
	}
	return r.entries[index-r.snapshot.Index-1].Term, true
}

func (r *Replica) entriesFrom(index uint64) []Entry {
	return r.entries[index-r.snapshot.Index-1:]
}

// loadConfiguration sets the configuration from the latest entry that changes it.
func (r *Replica) loadConfiguration() {
	r.configuration, r.configurationIndex = r.snapshot.Configuration, r.snapshot.Index
	for _, e := range r.entries {
		if e.Configuration != nil {
			r.configuration, r.configurationIndex = e.Configuration, e.Index
		}
	}
}

func (r *Replica) send(m Message) {
	m.From, m.Term = r.id, r.hardState.Term
	r.outbox = append(r.outbox, m)
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader ReplicaID) {
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
	}
	r.role, r.leader = Follower, leader
	r.progress, r.roundSentAt = nil, nil
	r.resetElectionTimer(now)
}

// Tick starts an election or a broadcast if one is due.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	switch {
	case now.Before(r.electionDeadline):
	case r.isVoter() && !r.retiring:
		r.startPreVote(now)
	default:
		r.resetElectionTimer(now)
	}
}

// NextTick returns the latest time for the next call of Tick.
func (r *Replica) NextTick() time.Time {
	if r.role == Leader {
		return r.nextHeartbeat
	}
	return r.electionDeadline
}

func (r *Replica) tickLeader(now time.Time) {
	lastQuorum := r.quorumTime(now)
	if lastQuorum.Before(r.leaderSince) {
		lastQuorum = r.leaderSince
	}
	if now.Sub(lastQuorum) > ElectionMax {
		r.becomeFollower(now, r.hardState.Term, 0)
		return
	}
	if !now.Before(r.nextHeartbeat) {
		r.broadcast(now)
	}
}

func (r *Replica) trackPeers() {
	for _, peer := range r.configuration {
		if peer.Replica != r.id && r.progress[peer.Replica] == nil {
			next := r.lastIndex() + 1
			r.progress[peer.Replica] = &progress{next: next, resumedFrom: next}
		}
	}
	for id := range r.progress {
		if _, ok := r.peer(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) appendEntry(e Entry) {
	e.Index, e.Term = r.lastIndex()+1, r.hardState.Term
	r.entries = append(r.entries, e)
	if e.Configuration != nil {
		r.configuration, r.configurationIndex = e.Configuration, e.Index
		r.trackPeers()
	}
}

// Propose appends the changes to the log. It returns the index of the first
// one's entry; those of the others follow. Index and term identify an entry.
func (r *Replica) Propose(now time.Time, changes ...daisyfleet.Change) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = r.lastIndex() + 1
	for i := range changes {
		r.appendEntry(Entry{Change: &changes[i]})
	}
	r.broadcast(now)
	return index, r.hardState.Term, nil
}

// broadcast sends every other replica the next entries that it lacks, or a heartbeat.
func (r *Replica) broadcast(now time.Time) {
	r.round++
	r.roundSentAt[r.round] = now
	for round, sentAt := range r.roundSentAt {
		if now.Sub(sentAt) > ElectionMax {
			delete(r.roundSentAt, round)
		}
	}
	r.nextHeartbeat = now.Add(HeartbeatInterval)
	for _, peer := range r.configuration { // In a fixed order, so that a run can be reproduced.
		if p := r.progress[peer.Replica]; p != nil {
			r.sendAppend(peer.Replica, p)
		}
	}
}

func (r *Replica) sendAppend(to ReplicaID, p *progress) {
	previous := p.next - 1
	term, ok := r.termAt(previous)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	entries := r.nextEntries(p)
	p.next += uint64(len(entries))
	r.send(Message{
		Kind: KindAppend, To: to, Index: previous, LogTerm: term,
		Commit: r.commit, Entries: entries, Round: r.round,
	})
}

// nextEntries returns the entries to send next: none while maxUnacknowledgedBytes are on
// their way, or if the replica must be sent the snapshot.
func (r *Replica) nextEntries(p *progress) []Entry {
	if p.next <= r.snapshot.Index || p.next > r.lastIndex() {
		return nil
	}
	room, n := maxUnacknowledgedBytes, 0
	for _, e := range r.entriesFrom(max(p.match+1, p.resumedFrom, r.snapshot.Index+1)) {
		if room <= 0 || n == maxBatchEntries {
			break
		}
		room -= e.size()
		if e.Index >= p.next {
			n++
		}
	}
	return slices.Clone(r.entriesFrom(p.next)[:n])
}

// canSend reports whether there is more to send than a heartbeat.
func (r *Replica) canSend(p *progress) bool {
	return p.next <= r.snapshot.Index && !p.snapshotSent || len(r.nextEntries(p)) > 0
}

// sendSnapshot sends the snapshot once and then heartbeats until it is acknowledged.
func (r *Replica) sendSnapshot(to ReplicaID, p *progress) {
	m := Message{Kind: KindAppend, To: to, Index: r.snapshot.Index, LogTerm: r.snapshot.Term, Commit: 0, Round: r.round}
	if !p.snapshotSent {
		p.snapshotSent = true
		snapshot := r.snapshot
		m.Kind, m.Snapshot = KindSnapshot, &snapshot
	}
	r.send(m)
}

// Ready returns what the caller must carry out now. The next call does not return
// it again.
func (r *Replica) Ready() Ready {
	ready := Ready{Snapshot: r.newSnapshot, Messages: r.outbox}
	if r.hardState != r.savedHardState {
		hardState := r.hardState
		ready.HardState = &hardState
		r.savedHardState = hardState
	}
	if r.firstUnsaved <= r.lastIndex() {
		ready.Entries = slices.Clone(r.entriesFrom(max(r.firstUnsaved, r.snapshot.Index+1)))
		r.firstUnsaved = r.lastIndex() + 1
	}
	if r.applied < r.commit {
		start := r.applied + 1
		ready.Committed = slices.Clone(r.entriesFrom(start)[:r.commit-r.applied])
		for _, e := range ready.Committed {
			r.appliedBytes += e.size()
		}
		r.applied = r.commit
	}
	r.newSnapshot, r.outbox = nil, nil
	return ready
}

// Saved tells the replica that everything returned by Ready is on disk. This may
// commit entries, so the caller must call Ready again.
func (r *Replica) Saved(now time.Time) {
	r.durable = r.firstUnsaved - 1
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// Compact discards the entries up to the snapshot. The caller saves the snapshot
// before the next call of Ready.
func (r *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index <= r.snapshot.Index || snapshot.Index > r.applied {
		return
	}
	for _, e := range r.entriesFrom(r.snapshot.Index + 1)[:snapshot.Index-r.snapshot.Index] {
		r.appliedBytes -= e.size()
	}
	r.entries = slices.Clone(r.entriesFrom(snapshot.Index + 1))
	r.snapshot = snapshot
}

// AppliedBytes returns about how many bytes the entries after the snapshot have that Ready
// has returned as committed.
func (r *Replica) AppliedBytes() int { return r.appliedBytes }

// Snapshot returns the latest snapshot.
func (r *Replica) Snapshot() Snapshot { return r.snapshot }

// Entries returns the entries after the snapshot.
func (r *Replica) Entries() []Entry { return slices.Clone(r.entries) }

// HardState returns the current hard state.
func (r *Replica) HardState() HardState { return r.hardState }

// ConfigurationAt returns the configuration after the entry at index.
func (r *Replica) ConfigurationAt(index uint64) []Peer {
	peers := r.snapshot.Configuration
	for _, e := range r.entries {
		if e.Index <= index && e.Configuration != nil {
			peers = e.Configuration
		}
	}
	return slices.Clone(peers)
}

// TermAt returns the term of the entry at index, or 0 if the log does not contain it.
func (r *Replica) TermAt(index uint64) uint64 {
	term, _ := r.termAt(index)
	return term
}
