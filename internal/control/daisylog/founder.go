package daisylog

import "slices"

// Bootstrap returns what the first replica of a new log starts from: a snapshot
// that seats it alone.
func Bootstrap(seat Peer) PersistedState { return BootstrapGroup(seat.Replica, []Peer{seat}) }

// BootstrapGroup returns what the replica, one of the seats, starts from in a
// new log that all the seats found: a snapshot that gives each of them a vote.
// Every founder must be given the same seats.
func BootstrapGroup(self ReplicaID, seats []Peer) PersistedState {
	seats = slices.Clone(seats)
	for i := range seats {
		seats[i].Voting = true
	}
	return PersistedState{
		Replica:   self,
		HardState: HardState{Term: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Configuration: seats},
	}
}
