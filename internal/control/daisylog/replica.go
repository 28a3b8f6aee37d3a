package daisylog

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// Role is the part that a replica plays.
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
	// ErrConfigurationPending is returned while another change of the seats is under way.
	ErrConfigurationPending = errors.New("another change of the seats is under way")
)

// progress is what a leader knows of another replica.
type progress struct {
	match uint64
	next  uint64
	acked time.Time // When the latest answered round was sent.
	sent  bool      // An image was sent and not answered yet.
}

// Replica is one member of the log. It is not safe for concurrent use.
type Replica struct {
	id     ReplicaID
	random *rand.Rand

	ballot     HardState
	saved      HardState // As last handed out for saving.
	role       Role
	leader     ReplicaID
	started    time.Time          // When this process began.
	heard      time.Time          // From a current leader, or when the replica started.
	deadline   time.Time          // Of the next election.
	stood      time.Time          // When pre-votes were asked for last.
	favoured   ReplicaID          // Who was granted a pre-vote last.
	favouredAt time.Time          // When it was granted.
	votes      map[ReplicaID]bool // Granted or refused; those that did not answer are missing.

	image     Snapshot
	entries   []Entry // Those after the image.
	unsaved   uint64  // The first entry that is not handed out for saving.
	durable   uint64  // The last entry that is known to be saved.
	commit    uint64
	handed    uint64 // The last committed entry handed out.
	seats     []Peer
	seatIndex uint64

	progress map[ReplicaID]*progress
	round    uint64
	rounds   map[uint64]time.Time
	nextBeat time.Time
	ledSince time.Time
	began    uint64 // The index of the entry with which the leadership began.

	newImage *Snapshot
	outbox   []Message
	voters   int // How many replicas may vote; 0 sets no limit.
}

// SetMaxVoters limits how many replicas vote. A newcomer beyond the limit gets a
// vote only in place of a replica that has been silent for RetireAfter.
func (r *Replica) SetMaxVoters(n int) { r.voters = n }

// New returns a replica that continues from what was saved.
func New(now time.Time, s PersistedState, random *rand.Rand) *Replica {
	r := &Replica{
		id: s.Replica, random: random, ballot: s.HardState, saved: s.HardState,
		image: s.Snapshot, entries: slices.Clone(s.Entries), started: now, heard: now,
	}
	r.commit, r.handed = s.Snapshot.Index, s.Snapshot.Index
	r.durable, r.unsaved = r.last(), r.last()+1
	r.findSeats()
	r.postpone(now)
	if s.HardState.Won {
		// The process that led is gone, and a leader supports only itself.
		r.heard, r.deadline = now.Add(-ElectionMax), now
	}
	return r
}

// ID returns the identity of the replica.
func (r *Replica) ID() ReplicaID { return r.id }

// Role returns the part that the replica plays.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.ballot.Term }

// Commit returns the index of the last committed entry.
func (r *Replica) Commit() uint64 { return r.commit }

// Configuration returns the seats in force.
func (r *Replica) Configuration() []Peer { return slices.Clone(r.seats) }

// Leader returns the seat of the leader, or false if none is known.
func (r *Replica) Leader() (Peer, bool) {
	return r.seat(r.leader)
}

func (r *Replica) seat(id ReplicaID) (Peer, bool) {
	for _, s := range r.seats {
		if s.Replica == id && id != 0 {
			return s, true
		}
	}
	return Peer{}, false
}

func (r *Replica) voting() bool {
	s, ok := r.seat(r.id)
	return ok && s.Voting
}

// HoldsLease reports whether the replica leads, everything committed before its
// leadership is applied, and no other can have been elected yet.
func (r *Replica) HoldsLease(now time.Time) bool {
	return r.role == Leader && r.handed >= r.began && now.Before(r.quorumTime(now).Add(ElectionMin-LeaseMargin))
}

// quorumTime returns the latest time at which a majority followed the leader.
func (r *Replica) quorumTime(now time.Time) time.Time {
	var times []time.Time
	for _, s := range r.seats {
		switch {
		case !s.Voting:
		case s.Replica == r.id:
			times = append(times, now)
		default:
			times = append(times, r.progress[s.Replica].acked)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

func (r *Replica) last() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index
	}
	return r.image.Index
}

// termAt returns the term of the entry, or false if it is not held.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.image.Index:
		return r.image.Term, true
	case index < r.image.Index || index > r.last():
		return 0, false
	}
	return r.entries[index-r.image.Index-1].Term, true
}

func (r *Replica) from(index uint64) []Entry {
	return r.entries[index-r.image.Index-1:]
}

// findSeats sets the seats from the latest entry that changes them.
func (r *Replica) findSeats() {
	r.seats, r.seatIndex = r.image.Configuration, r.image.Index
	for _, e := range r.entries {
		if e.Configuration != nil {
			r.seats, r.seatIndex = e.Configuration, e.Index
		}
	}
}

func (r *Replica) send(m Message) {
	m.From, m.Term = r.id, r.ballot.Term
	r.outbox = append(r.outbox, m)
}

func (r *Replica) follow(now time.Time, term uint64, leader ReplicaID) {
	if term > r.ballot.Term {
		r.ballot = HardState{Term: term}
	}
	r.role, r.leader = Follower, leader
	r.progress, r.rounds = nil, nil
	r.postpone(now)
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Time) {
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	switch {
	case now.Before(r.deadline):
	case r.voting():
		r.preVote(now)
	default:
		r.postpone(now)
	}
}

// NextTick returns when Tick is due at the latest.
func (r *Replica) NextTick() time.Time {
	if r.role == Leader {
		return r.nextBeat
	}
	return r.deadline
}

func (r *Replica) tickLeader(now time.Time) {
	followed := r.quorumTime(now)
	if followed.Before(r.ledSince) {
		followed = r.ledSince
	}
	if now.Sub(followed) > ElectionMax {
		r.follow(now, r.ballot.Term, 0)
		return
	}
	if !now.Before(r.nextBeat) {
		r.broadcast(now)
	}
}

func (r *Replica) trackSeats() {
	for _, s := range r.seats {
		if s.Replica != r.id && r.progress[s.Replica] == nil {
			r.progress[s.Replica] = &progress{next: r.last() + 1}
		}
	}
	for id := range r.progress {
		if _, ok := r.seat(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) appendEntry(e Entry) {
	e.Index, e.Term = r.last()+1, r.ballot.Term
	r.entries = append(r.entries, e)
	if e.Configuration != nil {
		r.seats, r.seatIndex = e.Configuration, e.Index
		r.trackSeats()
	}
}

// Propose appends changes. The first has the index, the others follow; index
// and term identify an entry.
func (r *Replica) Propose(now time.Time, changes ...daisyfleet.Change) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = r.last() + 1
	for i := range changes {
		r.appendEntry(Entry{Change: &changes[i]})
	}
	r.broadcast(now)
	return index, r.ballot.Term, nil
}

// broadcast starts a round: it sends every replica what it lacks.
func (r *Replica) broadcast(now time.Time) {
	r.round++
	r.rounds[r.round] = now
	for round, at := range r.rounds {
		if now.Sub(at) > ElectionMax {
			delete(r.rounds, round)
		}
	}
	r.nextBeat = now.Add(HeartbeatInterval)
	for _, s := range r.seats { // In order, so that the same inputs give the same messages.
		if p := r.progress[s.Replica]; p != nil {
			r.sendAppend(s.Replica, p)
		}
	}
}

func (r *Replica) sendAppend(to ReplicaID, p *progress) {
	before := p.next - 1
	term, ok := r.termAt(before)
	if !ok {
		r.sendImage(to, p)
		return
	}
	entries := r.from(p.next)
	if len(entries) > batchEntries {
		entries = entries[:batchEntries]
	}
	r.send(Message{
		Kind: KindAppend, To: to, Index: before, LogTerm: term,
		Commit: r.commit, Entries: slices.Clone(entries), Round: r.round,
	})
}

// sendImage sends the snapshot once and then empty rounds until it is answered.
func (r *Replica) sendImage(to ReplicaID, p *progress) {
	m := Message{Kind: KindAppend, To: to, Index: r.image.Index, LogTerm: r.image.Term, Commit: 0, Round: r.round}
	if !p.sent {
		p.sent = true
		image := r.image
		m.Kind, m.Snapshot = KindSnapshot, &image
	}
	r.send(m)
}

// Ready returns what must be carried out now and counts it as handed out.
func (r *Replica) Ready() Ready {
	ready := Ready{Snapshot: r.newImage, Messages: r.outbox}
	if r.ballot != r.saved {
		ballot := r.ballot
		ready.HardState = &ballot
		r.saved = ballot
	}
	if r.unsaved <= r.last() {
		ready.Entries = slices.Clone(r.from(max(r.unsaved, r.image.Index+1)))
		r.unsaved = r.last() + 1
	}
	if r.handed < r.commit {
		start := r.handed + 1
		ready.Committed = slices.Clone(r.from(start)[:r.commit-r.handed])
		r.handed = r.commit
	}
	r.newImage, r.outbox = nil, nil
	return ready
}

// Saved tells that everything handed out so far is on the disk. It may commit
// entries, so Ready is due again.
func (r *Replica) Saved(now time.Time) {
	r.durable = r.unsaved - 1
	if r.role == Leader {
		r.advance(now)
	}
}

// Compact replaces the entries up to the image, which the owner has saved.
func (r *Replica) Compact(img Snapshot) {
	if img.Index <= r.image.Index || img.Index > r.handed {
		return
	}
	r.entries = slices.Clone(r.from(img.Index + 1))
	r.image = img
}

// Snapshot returns the latest snapshot.
func (r *Replica) Snapshot() Snapshot { return r.image }

// Entries returns the entries after the snapshot.
func (r *Replica) Entries() []Entry { return slices.Clone(r.entries) }

// HardState returns the term and the vote.
func (r *Replica) HardState() HardState { return r.ballot }

// ConfigurationAt returns the seats in force after the entry at index.
func (r *Replica) ConfigurationAt(index uint64) []Peer {
	seats := r.image.Configuration
	for _, e := range r.entries {
		if e.Index <= index && e.Configuration != nil {
			seats = e.Configuration
		}
	}
	return slices.Clone(seats)
}

// TermAt returns the term of a held entry, or 0.
func (r *Replica) TermAt(index uint64) uint64 {
	term, _ := r.termAt(index)
	return term
}
