package daisylog

import "time"

// resetElectionTimer sets a random election timeout, after the replica has heard
// from a leader or has started an election.
func (r *Replica) resetElectionTimer(now time.Time) {
	jitter := time.Duration(r.random.Int64N(int64(ElectionMax - ElectionMin)))
	r.electionDeadline = now.Add(ElectionMin + jitter)
}

// startPreVote asks the voters whether an election would succeed, without starting
// a new term.
func (r *Replica) startPreVote(now time.Time) {
	r.role, r.leader = PreCandidate, 0
	r.campaignedAt = now
	r.votes = map[ReplicaID]bool{r.id: true}
	r.resetElectionTimer(now)
	if r.hardState.Won {
		r.sendResign()
		if now.Sub(r.started) < ElectionMax {
			r.scheduleElectionRetry(now) // Repeats the resignation for replicas that start later.
		}
	}
	r.requestVotes(KindPreVote)
	r.countVotes(now)
}

// startElection starts an election in a new term.
func (r *Replica) startElection(now time.Time) {
	r.role, r.leader = Candidate, 0
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.id}
	r.votes = map[ReplicaID]bool{r.id: true}
	r.resetElectionTimer(now)
	r.requestVotes(KindVote)
	r.countVotes(now)
}

func (r *Replica) requestVotes(kind MessageKind) {
	lastTerm, _ := r.termAt(r.lastIndex())
	for _, peer := range r.configuration {
		if peer.Voting && peer.Replica != r.id {
			r.send(Message{Kind: kind, To: peer.Replica, Index: r.lastIndex(), LogTerm: lastTerm})
		}
	}
}

// countVotes moves on to the next role, or schedules a retry, once the pre-vote or
// the election is decided.
func (r *Replica) countVotes(now time.Time) {
	granted, refused := r.tallyVotes()
	switch {
	case granted < r.majority():
		if r.role == Candidate && r.electionLost(refused) {
			r.scheduleElectionRetry(now)
		}
	case r.role == PreCandidate:
		r.startElection(now)
	default:
		r.becomeLeader(now)
	}
}

// tallyVotes returns how many voters granted and refused their votes.
func (r *Replica) tallyVotes() (granted, refused int) {
	for _, peer := range r.configuration {
		answer, ok := r.votes[peer.Replica]
		switch {
		case !peer.Voting || !ok:
		case answer:
			granted++
		default:
			refused++
		}
	}
	return granted, refused
}

// electionLost reports whether a majority can no longer be reached after this many
// refusals.
func (r *Replica) electionLost(refused int) bool { return refused > r.countVoters()-r.majority() }

// hasPrecedence reports whether this replica's own pre-vote takes precedence over
// the sender's: it began within PreVoteYieldTime and may still succeed, both logs
// end alike and this replica's ID is lower. Of several replicas that become
// candidates at the same time, one thus gets every vote.
func (r *Replica) hasPrecedence(now time.Time, m Message) bool {
	if r.role != PreCandidate || now.Sub(r.campaignedAt) > PreVoteYieldTime || r.id > m.From {
		return false
	}
	lastTerm, _ := r.termAt(r.lastIndex())
	_, refused := r.tallyVotes()
	return m.Index == r.lastIndex() && m.LogTerm == lastTerm && !r.electionLost(refused)
}

func (r *Replica) majority() int { return r.countVoters()/2 + 1 }

// becomeLeader makes the replica the leader of the current term.
func (r *Replica) becomeLeader(now time.Time) {
	r.role, r.leader = Leader, r.id
	r.hardState.Won = true
	r.leaderSince = now
	r.progress = make(map[ReplicaID]*progress)
	r.roundSentAt = make(map[uint64]time.Time)
	r.trackPeers()
	r.appendEntry(Entry{})
	r.noopIndex = r.lastIndex()
	r.broadcast(now)
}

// Resign makes a leader step down before its process stops, so that the other
// replicas need not wait for its lease to expire. It does nothing on a replica
// that is not the leader.
func (r *Replica) Resign(now time.Time) {
	if r.role != Leader {
		return
	}
	r.becomeFollower(now, r.hardState.Term, 0)
	r.sendResign()
}

// sendResign tells the other replicas that the term has no leader any more.
func (r *Replica) sendResign() {
	for _, peer := range r.configuration {
		if peer.Replica != r.id {
			r.send(Message{Kind: KindResign, To: peer.Replica})
		}
	}
}

// scheduleElectionRetry schedules the next election after a short random delay.
func (r *Replica) scheduleElectionRetry(now time.Time) {
	r.electionDeadline = now.Add(ElectionRetryMin + time.Duration(r.random.Int64N(int64(ElectionRetryMax-ElectionRetryMin))))
}
