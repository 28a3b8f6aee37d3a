package daisylog

import "slices"

// Bootstrap returns the state from which the first replica of a new log starts: a
// snapshot whose configuration holds that replica alone.
func Bootstrap(peer Peer) PersistedState { return BootstrapGroup(peer.Replica, []Peer{peer}) }

// BootstrapGroup returns the state from which the replica, one of the peers,
// starts in a new log: a snapshot that makes each of the peers a voter. Every
// replica of the group must be given the same peers.
func BootstrapGroup(self ReplicaID, peers []Peer) PersistedState {
	peers = slices.Clone(peers)
	for i := range peers {
		peers[i].Voting = true
	}
	return PersistedState{
		Replica:   self,
		HardState: HardState{Term: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Configuration: peers},
	}
}
