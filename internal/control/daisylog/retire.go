package daisylog

import (
	"slices"
	"time"
)

// learnerAwayTimeout is how long a learner must be silent before nobody waits for it. It is
// longer than an election and a slow sync of a disk.
const learnerAwayTimeout = 2 * time.Second

// Retire prepares the replica for the end of its process: its vote goes to a learner, if one
// waits for a vote because there are maxVoters of them. Else the replica keeps its vote, for
// the next process. It must be called again, after some time, until it returns true.
//
// The learner becomes a voter before this replica, which runs until then, is removed: the
// running voters are never fewer than maxVoters for that.
func (r *Replica) Retire(now time.Time) (done bool) {
	r.retiring = true
	switch {
	case r.retired || r.maxVoters == 0 || !r.isVoter():
		return true
	case r.role == Leader:
		return r.retireLeader(now)
	case r.countVoters() <= r.maxVoters && r.countVoters() == len(r.configuration):
		return true
	}
	for _, peer := range r.configuration {
		if peer.Voting && peer.Replica != r.id { // Any of them may be the leader next.
			r.send(Message{Kind: KindRetire, To: peer.Replica})
		}
	}
	return false
}

// retireLeader gives a learner a vote and then resigns. The next leader removes this replica.
func (r *Replica) retireLeader(now time.Time) (done bool) {
	switch {
	case !r.mayChangeConfiguration():
		return false
	case r.countVoters() > r.maxVoters:
		r.Resign(now)
		return false
	}
	return !r.addWaitingVoter(now)
}

// stepRetire takes the next step in handing the vote of the sender, which stops, to a learner.
// The sender asks again until there is nothing left to do.
func (r *Replica) stepRetire(now time.Time, m Message) {
	if r.role != Leader || !r.mayChangeConfiguration() {
		return
	}
	waits := false
	switch {
	case !isVoterIn(r.configuration, m.From):
	case r.countVoters() > r.maxVoters:
		r.removePeer(now, m.From)
		return
	default:
		waits = r.addWaitingVoter(now)
	}
	if !waits {
		r.send(Message{Kind: KindRetired, To: m.From})
	}
}

// mayChangeConfiguration reports whether the leader may append a new configuration.
func (r *Replica) mayChangeConfiguration() bool {
	return r.commit >= r.configurationIndex && r.commit >= r.noopIndex
}

// addWaitingVoter makes a learner a voter that answers and has caught up. It reports whether
// there is a learner that answers, or may answer yet.
func (r *Replica) addWaitingVoter(now time.Time) (waits bool) {
	peers := slices.Clone(r.configuration)
	for i, peer := range peers {
		p := r.progress[peer.Replica]
		if peer.Voting || p == nil || now.Sub(r.lastHeard(p)) > learnerAwayTimeout {
			continue
		}
		waits = true
		if p.match >= r.commit && now.Sub(p.lastAck) <= ElectionMax {
			peers[i].Voting = true
			_ = r.ChangeConfiguration(now, peers) // On error, the next message tries again.
			break
		}
	}
	return waits
}

// removeExcessVoter removes a voter that is silent while there are more than maxVoters: a
// replica that stopped while its vote was handed over.
func (r *Replica) removeExcessVoter(now time.Time) {
	if r.maxVoters == 0 || r.countVoters() <= r.maxVoters || !r.mayChangeConfiguration() {
		return
	}
	if i := r.silentVoter(now); i >= 0 {
		r.removePeer(now, r.configuration[i].Replica)
	}
}

func (r *Replica) removePeer(now time.Time, id ReplicaID) {
	peers := slices.DeleteFunc(slices.Clone(r.configuration), func(p Peer) bool { return p.Replica == id })
	_ = r.ChangeConfiguration(now, peers) // On error, the next message tries again.
}
