package daisylog

// Found returns what the first replica of a new log starts from: a snapshot
// that seats it alone.
func Found(seat Seat) Saved {
	seat.Voting = true
	return Saved{
		Replica: seat.Replica,
		Ballot:  Ballot{Term: 1},
		Image:   Image{Index: 1, Term: 1, Seats: []Seat{seat}},
	}
}
