package daisylog

import "time"

// postpone sets the time of the next election after hearing from a leader or
// beginning an attempt.
func (r *Replica) postpone(now time.Time) {
	spread := time.Duration(r.random.Int64N(int64(ElectionMax - ElectionMin)))
	r.deadline = now.Add(ElectionMin + spread)
}

// preVote asks whether an election would succeed, without a new term.
func (r *Replica) preVote(now time.Time) {
	r.role, r.leader = PreCandidate, 0
	r.stood = now
	r.votes = map[ReplicaID]bool{r.id: true}
	r.postpone(now)
	if r.ballot.Won {
		r.resign()
		if now.Sub(r.started) < ElectionMax {
			r.restand(now) // Others may have started later and heard nothing.
		}
	}
	r.askVotes(KindPreVote)
	r.count(now)
}

// stand begins an election in a new term.
func (r *Replica) stand(now time.Time) {
	r.role, r.leader = Candidate, 0
	r.ballot = HardState{Term: r.ballot.Term + 1, Vote: r.id}
	r.votes = map[ReplicaID]bool{r.id: true}
	r.postpone(now)
	r.askVotes(KindVote)
	r.count(now)
}

func (r *Replica) askVotes(kind MessageKind) {
	lastTerm, _ := r.termAt(r.last())
	for _, s := range r.seats {
		if s.Voting && s.Replica != r.id {
			r.send(Message{Kind: kind, To: s.Replica, Index: r.last(), LogTerm: lastTerm})
		}
	}
}

// count ends an election that is decided.
func (r *Replica) count(now time.Time) {
	granted, refused := r.tally()
	switch {
	case granted < r.majority():
		if r.role == Candidate && r.lost(refused) {
			r.restand(now)
		}
	case r.role == PreCandidate:
		r.stand(now)
	default:
		r.lead(now)
	}
}

// tally returns how many voting replicas granted and refused their votes.
func (r *Replica) tally() (granted, refused int) {
	for _, s := range r.seats {
		answer, ok := r.votes[s.Replica]
		switch {
		case !s.Voting || !ok:
		case answer:
			granted++
		default:
			refused++
		}
	}
	return granted, refused
}

// lost reports whether so many refusals leave no majority.
func (r *Replica) lost(refused int) bool { return refused > r.countVoters()-r.majority() }

// precedes reports whether the replica's own attempt to be elected, which began a
// moment ago and may still succeed, goes before that of the sender, whose log
// ends where this one does. Of replicas that stand at once, one gets every vote.
func (r *Replica) precedes(now time.Time, m Message) bool {
	if r.role != PreCandidate || now.Sub(r.stood) > PreVoteYieldTime || r.id > m.From {
		return false
	}
	lastTerm, _ := r.termAt(r.last())
	_, refused := r.tally()
	return m.Index == r.last() && m.LogTerm == lastTerm && !r.lost(refused)
}

func (r *Replica) majority() int { return r.countVoters()/2 + 1 }

// lead begins the leadership of the present term.
func (r *Replica) lead(now time.Time) {
	r.role, r.leader = Leader, r.id
	r.ballot.Won = true
	r.ledSince = now
	r.progress = make(map[ReplicaID]*progress)
	r.rounds = make(map[uint64]time.Time)
	r.trackSeats()
	r.appendEntry(Entry{})
	r.began = r.last()
	r.broadcast(now)
}

// Resign ends a leadership at once, before the process ends, so that the others
// need not wait for the lease to run out. It does nothing on a follower.
func (r *Replica) Resign(now time.Time) {
	if r.role != Leader {
		return
	}
	r.follow(now, r.ballot.Term, 0)
	r.resign()
}

// resign tells the other replicas that nobody leads in the term any more.
func (r *Replica) resign() {
	for _, s := range r.seats {
		if s.Replica != r.id {
			r.send(Message{Kind: KindResign, To: s.Replica})
		}
	}
}

// restand sets the time of the next election a moment ahead.
func (r *Replica) restand(now time.Time) {
	r.deadline = now.Add(ElectionRetryMin + time.Duration(r.random.Int64N(int64(ElectionRetryMax-ElectionRetryMin))))
}
