package daisylog

import (
	"slices"
	"time"
)

// Step handles a message from another replica.
func (r *Replica) Step(now time.Time, m Message) {
	switch {
	case m.Kind == KindJoin:
		r.stepJoin(now, m)
		return
	case m.Term > r.ballot.Term:
		if !r.raiseTerm(now, m) {
			return
		}
	case m.Term < r.ballot.Term && m.Kind == KindPreVoteReply && !m.Reject:
		// A replica grants a pre-vote without adopting the term.
	case m.Term < r.ballot.Term:
		r.answerOld(m)
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
		r.stepImage(now, m)
	case KindAppendReply:
		r.stepAppendReply(now, m)
	case KindResign:
		r.stepResign(now, m)
	}
}

// raiseTerm adopts a higher term where the message calls for it. It returns
// false if the message is to be ignored.
func (r *Replica) raiseTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteReply:
		if !m.Reject {
			return true
		}
	case KindVote:
		if r.bound(now) {
			return false
		}
	}
	leader := ReplicaID(0)
	if m.Kind == KindAppend || m.Kind == KindSnapshot {
		leader = m.From
	}
	r.follow(now, m.Term, leader)
	return true
}

// bound reports whether a leader may hold a lease that this replica supported.
func (r *Replica) bound(now time.Time) bool {
	if r.role == Leader {
		return now.Sub(r.quorumTime(now)) < ElectionMin
	}
	return now.Sub(r.heard) < ElectionMin
}

// answerOld tells a replica in an older term of the newer one.
func (r *Replica) answerOld(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		r.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: r.last()})
	case KindPreVote:
		r.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

// current reports whether a log that ends so holds all that this one holds.
func (r *Replica) current(index, term uint64) bool {
	lastTerm, _ := r.termAt(r.last())
	return term > lastTerm || term == lastTerm && index >= r.last()
}

func (r *Replica) stepPreVote(now time.Time, m Message) {
	taken := r.favoured < m.From && now.Sub(r.favouredAt) < PreVoteYieldTime
	grant := !r.bound(now) && r.current(m.Index, m.LogTerm) && !taken && !r.precedes(now, m)
	if grant {
		r.favoured, r.favouredAt = m.From, now
	}
	r.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: !grant})
}

// stepResign notes that the leader of this term is gone. Its election had ended
// every lease of an earlier term, so the replica is bound by none.
func (r *Replica) stepResign(now time.Time, m Message) {
	if r.role == Follower && (r.leader == 0 || r.leader == m.From) {
		r.leader = 0
		r.heard = now.Add(-ElectionMax)
		r.restand(now)
	}
}

func (r *Replica) stepVote(now time.Time, m Message) {
	free := r.ballot.Vote == 0 || r.ballot.Vote == m.From
	grant := free && !r.bound(now) && r.role == Follower && r.current(m.Index, m.LogTerm)
	if grant {
		r.ballot.Vote = m.From
		r.postpone(now)
	}
	r.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (r *Replica) stepVoteReply(now time.Time, m Message) {
	expected := m.Kind == KindPreVoteReply && r.role == PreCandidate || m.Kind == KindVoteReply && r.role == Candidate
	if !expected {
		return
	}
	r.votes[m.From] = !m.Reject
	r.count(now)
}

// obey notes that the sender leads this term.
func (r *Replica) obey(now time.Time, m Message) {
	if r.role != Follower || r.leader != m.From {
		r.follow(now, m.Term, m.From)
	}
	r.heard = now
	r.postpone(now)
}

func (r *Replica) stepAppend(now time.Time, m Message) {
	r.obey(now, m)
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round}
	if m.Index < r.commit {
		// Everything up to the commit index is known to match.
		m = skipTo(m, r.commit)
	}
	term, ok := r.termAt(m.Index)
	if !ok || m.Index != r.commit && term != m.LogTerm {
		reply.Reject = true
		reply.Index = min(r.last(), m.Index)
		if ok {
			reply.Index = m.Index - 1
		}
		r.send(reply)
		return
	}
	r.merge(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, match))
	reply.Index = match
	r.send(reply)
}

// skipTo drops what the message says of entries up to the index.
func skipTo(m Message, index uint64) Message {
	n := min(int(index-m.Index), len(m.Entries))
	m.Entries = m.Entries[n:]
	m.Index = index
	return m
}

// merge appends the entries, replacing those that conflict.
func (r *Replica) merge(entries []Entry) {
	for i, e := range entries {
		term, ok := r.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		r.entries = append(slices.Clone(r.entries[:e.Index-r.image.Index-1]), entries[i:]...)
		r.unsaved = min(r.unsaved, e.Index)
		r.durable = min(r.durable, e.Index-1)
		r.findSeats()
		return
	}
}

func (r *Replica) stepImage(now time.Time, m Message) {
	r.obey(now, m)
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Index: r.commit}
	if m.Snapshot != nil && m.Snapshot.Index > r.commit {
		img := *m.Snapshot
		r.image, r.newImage = img, &img
		r.entries = nil
		r.commit, r.handed = img.Index, img.Index
		r.durable, r.unsaved = img.Index, img.Index+1
		r.findSeats()
		reply.Index = img.Index
	}
	r.send(reply)
}

func (r *Replica) stepAppendReply(now time.Time, m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	if at, ok := r.rounds[m.Round]; ok && at.After(p.acked) {
		p.acked = at
	}
	if m.Reject {
		p.sent = false
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		r.sendAppend(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.sent = false
	}
	p.next = max(p.next, p.match+1)
	r.advance(now)
	if p.next <= r.last() {
		r.sendAppend(m.From, p)
	}
	r.promoteNewcomer(now, m.From)
}

// advance commits what a majority holds.
func (r *Replica) advance(now time.Time) {
	var matches []uint64
	for _, s := range r.seats {
		switch {
		case !s.Voting:
		case s.Replica == r.id:
			matches = append(matches, r.durable)
		default:
			matches = append(matches, r.progress[s.Replica].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := r.termAt(index); !ok || term != r.ballot.Term || index <= r.commit {
		return
	}
	r.commit = index
	r.broadcast(now)
	if _, seated := r.seat(r.id); !seated && r.commit >= r.seatIndex {
		r.follow(now, r.ballot.Term, 0)
	}
}
