package daisylog

import (
	"slices"
	"time"
)

// Step handles a message from another replica, for which m.Check returns nil.
func (r *Replica) Step(now time.Time, m Message) {
	switch {
	case m.Kind == KindJoin:
		r.stepJoin(now, m)
		return
	case m.Term > r.hardState.Term:
		if !r.adoptTerm(now, m) {
			return
		}
	case m.Term < r.hardState.Term && m.Kind == KindPreVoteReply && !m.Reject:
		// A replica grants a pre-vote without adopting the candidate's term, so a
		// lower term is valid here.
	case m.Term < r.hardState.Term:
		r.replyStaleTerm(m)
		return
	}
	switch m.Kind {
	case KindPreVote:
		r.stepPreVote(now, m)
	case KindVote:
		r.stepVote(now, m)
	case KindPreVoteReply, KindVoteReply:
		r.stepVoteReply(now, m)
	case KindAppend:
		r.stepAppend(now, m)
	case KindSnapshot:
		r.stepSnapshot(now, m)
	case KindAppendReply:
		r.stepAppendReply(now, m)
	case KindResign:
		r.stepResign(now, m)
	case KindRetire:
		r.stepRetire(now, m)
	case KindRetired:
		r.retired = r.retiring
	}
}

// adoptTerm adopts the message's higher term, except for pre-votes. It returns
// false if the message must be ignored: a vote request while a lease may be held.
func (r *Replica) adoptTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteReply:
		if !m.Reject {
			return true
		}
	case KindVote:
		if r.boundByLease(now) {
			return false
		}
	}
	leader := ReplicaID(0)
	if m.Kind == KindAppend || m.Kind == KindSnapshot {
		leader = m.From
	}
	r.becomeFollower(now, m.Term, leader)
	return true
}

// boundByLease reports whether a leader may still hold a lease that this replica
// supported.
func (r *Replica) boundByLease(now time.Time) bool {
	if r.role == Leader {
		return now.Sub(r.quorumTime(now)) < ElectionMin
	}
	return now.Sub(r.lastContact) < ElectionMin
}

// replyStaleTerm rejects a message of an older term, so that its sender learns the
// current one.
func (r *Replica) replyStaleTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		r.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: r.lastIndex()})
	case KindPreVote:
		r.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

// isUpToDate reports whether a log whose last entry has this index and term is at
// least as up-to-date as this replica's log.
func (r *Replica) isUpToDate(index, term uint64) bool {
	lastTerm, _ := r.termAt(r.lastIndex())
	return term > lastTerm || term == lastTerm && index >= r.lastIndex()
}

func (r *Replica) stepPreVote(now time.Time, m Message) {
	prefersOther := r.preVotedFor < m.From && now.Sub(r.preVotedAt) < PreVoteYieldTime
	grant := !r.boundByLease(now) && r.isUpToDate(m.Index, m.LogTerm) && !prefersOther && !r.hasPrecedence(now, m)
	if grant {
		r.preVotedFor, r.preVotedAt = m.From, now
	}
	r.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: !grant})
}

// stepResign handles the resignation of this term's leader. Its election ended
// every lease of an earlier term, so no lease binds the replica any more.
func (r *Replica) stepResign(now time.Time, m Message) {
	if r.role == Follower && (r.leader == 0 || r.leader == m.From) {
		r.leader = 0
		r.lastContact = now.Add(-ElectionMax)
		r.scheduleElectionRetry(now)
	}
}

func (r *Replica) stepVote(now time.Time, m Message) {
	free := r.hardState.Vote == 0 || r.hardState.Vote == m.From
	grant := free && !r.boundByLease(now) && r.role == Follower && r.isUpToDate(m.Index, m.LogTerm)
	if grant {
		r.hardState.Vote = m.From
		r.resetElectionTimer(now)
	}
	r.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (r *Replica) stepVoteReply(now time.Time, m Message) {
	expected := m.Kind == KindPreVoteReply && r.role == PreCandidate || m.Kind == KindVoteReply && r.role == Candidate
	if !expected {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes(now)
}

// followLeader records that the sender leads this term.
func (r *Replica) followLeader(now time.Time, m Message) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(now, m.Term, m.From)
	}
	r.lastContact = now
	r.resetElectionTimer(now)
}

func (r *Replica) stepAppend(now time.Time, m Message) {
	r.followLeader(now, m)
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round}
	if m.Index < r.commit {
		// Entries up to the commit index are known to match.
		m = skipTo(m, r.commit)
	}
	term, ok := r.termAt(m.Index)
	if !ok || m.Index != r.commit && term != m.LogTerm {
		reply.Reject = true
		reply.Index = min(r.lastIndex(), m.Index)
		if ok {
			reply.Index = m.Index - 1
		}
		r.send(reply)
		return
	}
	r.mergeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, match))
	reply.Index = match
	r.send(reply)
}

// skipTo removes the entries up to index from the message.
func skipTo(m Message, index uint64) Message {
	n := min(int(index-m.Index), len(m.Entries))
	m.Entries = m.Entries[n:]
	m.Index = index
	return m
}

// mergeEntries appends the entries. From the first conflict on, they replace the
// entries of the log.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := r.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		r.entries = append(slices.Clone(r.entries[:e.Index-r.snapshot.Index-1]), entries[i:]...)
		r.firstUnsaved = min(r.firstUnsaved, e.Index)
		r.durable = min(r.durable, e.Index-1)
		r.loadConfiguration()
		return
	}
}

func (r *Replica) stepSnapshot(now time.Time, m Message) {
	r.followLeader(now, m)
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Index: r.commit}
	if m.Snapshot != nil && m.Snapshot.Index > r.commit {
		snapshot := *m.Snapshot
		r.snapshot, r.newSnapshot = snapshot, &snapshot
		r.entries = nil
		r.commit, r.applied, r.appliedBytes = snapshot.Index, snapshot.Index, 0
		r.durable, r.firstUnsaved = snapshot.Index, snapshot.Index+1
		r.loadConfiguration()
		reply.Index = snapshot.Index
	}
	r.send(reply)
}

func (r *Replica) stepAppendReply(now time.Time, m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	if sentAt, ok := r.roundSentAt[m.Round]; ok && sentAt.After(p.lastAck) {
		p.lastAck = sentAt
	}
	if m.Reject {
		if p.resume(m.Index+1, m.Round, r.round) {
			r.sendAppend(m.From, p)
		}
		return
	}
	if m.Index > r.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotSent = false
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if r.canSend(p) {
		r.sendAppend(m.From, p)
	}
	r.removeExcessVoter(now)
	r.promoteLearner(now, m.From)
}

// advanceCommit commits the entries of the current term that a majority has on
// disk, and those before them. A leader that a committed configuration leaves out
// steps down.
func (r *Replica) advanceCommit(now time.Time) {
	var matches []uint64
	for _, peer := range r.configuration {
		switch {
		case !peer.Voting:
		case peer.Replica == r.id:
			matches = append(matches, r.durable)
		default:
			matches = append(matches, r.progress[peer.Replica].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := r.termAt(index); !ok || term != r.hardState.Term || index <= r.commit {
		return
	}
	r.commit = index
	r.broadcast(now)
	if _, member := r.peer(r.id); !member && r.commit >= r.configurationIndex {
		r.becomeFollower(now, r.hardState.Term, 0)
	}
}
