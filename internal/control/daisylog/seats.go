package daisylog

import (
	"net/netip"
	"slices"
	"time"
)

// ChangeConfiguration appends a new set of seats, which may differ from the one in
// force by one voting replica at most.
func (r *Replica) ChangeConfiguration(now time.Time, seats []Peer) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.commit < r.seatIndex || r.commit < r.began {
		return ErrConfigurationPending
	}
	if votersChanged(r.seats, seats) > 1 {
		return ErrConfigurationPending
	}
	r.appendEntry(Entry{Configuration: slices.Clone(seats)})
	r.broadcast(now)
	return nil
}

func votersChanged(before, after []Peer) int {
	changed := 0
	for _, s := range before {
		if s.Voting && !votes(after, s.Replica) {
			changed++
		}
	}
	for _, s := range after {
		if s.Voting && !votes(before, s.Replica) {
			changed++
		}
	}
	return changed
}

func votes(seats []Peer, id ReplicaID) bool {
	return slices.ContainsFunc(seats, func(s Peer) bool { return s.Replica == id && s.Voting })
}

// Join returns the message with which a newcomer asks for a seat.
func Join(seat Peer) Message {
	return Message{Kind: KindJoin, From: seat.Replica, Address: seat.Address, Peer: &seat}
}

// stepJoin gives a newcomer a seat without a vote. A newcomer with the name of
// a seated host has lost its disk: it takes the seat over once it has caught up.
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
	newcomer := *m.Peer
	newcomer.Voting = false
	if held, ok := r.seat(newcomer.Replica); ok {
		if held.Address != newcomer.Address {
			r.moveSeat(now, held, newcomer.Address)
		}
		return
	}
	seats := slices.DeleteFunc(slices.Clone(r.seats), func(s Peer) bool {
		return s.Name == newcomer.Name && !s.Voting
	})
	_ = r.ChangeConfiguration(now, append(seats, newcomer)) // The newcomer asks again.
}

func (r *Replica) moveSeat(now time.Time, held Peer, to netip.AddrPort) {
	seats := slices.Clone(r.seats)
	for i := range seats {
		if seats[i].Replica == held.Replica {
			seats[i].Address = to
		}
	}
	_ = r.ChangeConfiguration(now, seats)
}

// promoteNewcomer gives a newcomer that has caught up its vote, after the seat
// that it replaces has been removed.
func (r *Replica) promoteNewcomer(now time.Time, id ReplicaID) {
	seat, ok := r.seat(id)
	if !ok || seat.Voting || r.progress[id].match < r.commit || r.commit < r.seatIndex {
		return
	}
	seats := slices.Clone(r.seats)
	replaced := slices.IndexFunc(seats, func(s Peer) bool { return s.Name == seat.Name && s.Replica != id })
	if replaced < 0 && r.voters > 0 && r.countVoters() >= r.voters {
		if replaced = r.silentSeat(now); replaced < 0 {
			return
		}
	}
	if replaced >= 0 {
		_ = r.ChangeConfiguration(now, slices.Delete(seats, replaced, replaced+1))
		return
	}
	for i := range seats {
		if seats[i].Replica == id {
			seats[i].Voting = true
		}
	}
	_ = r.ChangeConfiguration(now, seats)
}

func (r *Replica) countVoters() int {
	n := 0
	for _, s := range r.seats {
		if s.Voting {
			n++
		}
	}
	return n
}

// silentSeat returns the index of the voting seat that has been silent for the
// longest time, RetireAfter at least, or -1.
func (r *Replica) silentSeat(now time.Time) int {
	found := -1
	var oldest time.Time
	for i, s := range r.seats {
		p := r.progress[s.Replica]
		if !s.Voting || p == nil {
			continue
		}
		heard := p.acked
		if heard.Before(r.ledSince) {
			heard = r.ledSince
		}
		if now.Sub(heard) >= VoterReplaceTimeout && (found < 0 || heard.Before(oldest)) {
			found, oldest = i, heard
		}
	}
	return found
}
