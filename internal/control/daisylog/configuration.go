package daisylog

import (
	"net/netip"
	"slices"
	"time"
)

// ChangeConfiguration appends a new configuration, which may differ from the
// current one by at most one voter.
func (r *Replica) ChangeConfiguration(now time.Time, peers []Peer) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.commit < r.configurationIndex || r.commit < r.noopIndex {
		return ErrConfigurationRefused
	}
	if countVoterChanges(r.configuration, peers) > 1 {
		return ErrConfigurationRefused
	}
	r.appendEntry(Entry{Configuration: slices.Clone(peers)})
	r.broadcast(now)
	return nil
}

func countVoterChanges(before, after []Peer) int {
	changed := 0
	for _, peer := range before {
		if peer.Voting && !isVoterIn(after, peer.Replica) {
			changed++
		}
	}
	for _, peer := range after {
		if peer.Voting && !isVoterIn(before, peer.Replica) {
			changed++
		}
	}
	return changed
}

func isVoterIn(peers []Peer, id ReplicaID) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Replica == id && peer.Voting })
}

// Detached reports whether the replica must ask to be added to the configuration:
// its own does not contain it, or it has not heard from a leader for ElectionMax. A
// leader that removes a replica does not tell it, since the replica may be gone. A
// replica that stops does not ask.
func (r *Replica) Detached(now time.Time) bool {
	if r.retiring {
		return false
	}
	if _, member := r.peer(r.id); !member {
		return true
	}
	return r.role != Leader && now.Sub(r.lastContact) > ElectionMax
}

// Join returns the message with which a replica asks to be added to the
// configuration.
func Join(peer Peer) Message {
	return Message{Kind: KindJoin, From: peer.Replica, Address: peer.Address, Peer: &peer}
}

// stepJoin adds a replica to the configuration as a learner. One that has the host
// name of another replica runs on a host that lost its disk: it replaces that
// replica once it has caught up.
func (r *Replica) stepJoin(now time.Time, m Message) {
	if m.Peer == nil {
		return
	}
	if r.role != Leader {
		if leader, ok := r.Leader(); ok && leader.Replica != m.From {
			r.send(Message{Kind: KindRedirect, To: m.From, Peer: &leader})
		}
		return
	}
	learner := *m.Peer
	learner.Voting = false
	if existing, ok := r.peer(learner.Replica); ok {
		if existing.Address != learner.Address {
			r.updateAddress(now, existing, learner.Address)
		}
		return
	}
	peers := slices.DeleteFunc(slices.Clone(r.configuration), func(peer Peer) bool {
		return peer.Name == learner.Name && !peer.Voting
	})
	_ = r.ChangeConfiguration(now, append(peers, learner)) // On error, the replica asks again.
}

func (r *Replica) updateAddress(now time.Time, existing Peer, to netip.AddrPort) {
	peers := slices.Clone(r.configuration)
	for i := range peers {
		if peers[i].Replica == existing.Replica {
			peers[i].Address = to
		}
	}
	_ = r.ChangeConfiguration(now, peers)
}

// promoteLearner makes a learner that has caught up a voter. If it replaces
// another replica, that one is removed by a configuration change of its own first.
func (r *Replica) promoteLearner(now time.Time, id ReplicaID) {
	learner, ok := r.peer(id)
	if !ok || learner.Voting || r.progress[id].match < r.commit || r.commit < r.configurationIndex {
		return
	}
	peers := slices.Clone(r.configuration)
	replaced := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == learner.Name && p.Replica != id })
	if replaced < 0 && r.maxVoters > 0 && r.countVoters() >= r.maxVoters {
		if replaced = r.silentVoter(now); replaced < 0 {
			return
		}
	}
	if replaced >= 0 {
		_ = r.ChangeConfiguration(now, slices.Delete(peers, replaced, replaced+1))
		return
	}
	for i := range peers {
		if peers[i].Replica == id {
			peers[i].Voting = true
		}
	}
	_ = r.ChangeConfiguration(now, peers)
}

func (r *Replica) countVoters() int {
	n := 0
	for _, peer := range r.configuration {
		if peer.Voting {
			n++
		}
	}
	return n
}

// silentVoter returns the index of the voter that has been silent for the longest
// time, VoterReplaceTimeout at least, or -1 if there is none.
func (r *Replica) silentVoter(now time.Time) int {
	longest := -1
	var oldest time.Time
	for i, peer := range r.configuration {
		p := r.progress[peer.Replica]
		if !peer.Voting || p == nil {
			continue
		}
		lastAck := r.lastHeard(p)
		if now.Sub(lastAck) >= VoterReplaceTimeout && (longest < 0 || lastAck.Before(oldest)) {
			longest, oldest = i, lastAck
		}
	}
	return longest
}

// lastHeard returns when the replica last answered the leader, or when this leader was
// elected if that is later.
func (r *Replica) lastHeard(p *progress) time.Time {
	if p.lastAck.Before(r.leaderSince) {
		return r.leaderSince
	}
	return p.lastAck
}
