package daisypool

// Answers counts the answers that servers sent without a statement that they belong to.
type Answers struct {
	Foreign   uint64 // Received in place of the answer to a later statement.
	Uncertain uint64 // Perhaps so: an answer like an earlier one, which may also be the statement's own.
	Unread    uint64 // Idle connections closed since the server had sent more than the answers.
}

// Answers returns the totals so far.
func (p *Pool) Answers() Answers {
	return Answers{Foreign: p.foreign.Load(), Uncertain: p.uncertain.Load(), Unread: p.unread.Load()}
}

// count records what was found of an answer.
func (s *serverPool) count(v verdict) {
	switch v {
	case verdictForeign:
		s.pool.foreign.Add(1)
		s.noteRepeat()
	case verdictUncertain:
		s.pool.uncertain.Add(1)
	}
}

// noteRepeat records that the server has sent more than one answer to a statement.
func (s *serverPool) noteRepeat() {
	if !s.repeats.Swap(true) && s.pool.OnRepeat != nil {
		s.pool.OnRepeat(s.name)
	}
}
