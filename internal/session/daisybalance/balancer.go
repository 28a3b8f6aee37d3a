package daisybalance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// stepRate is how much of the reads moves in a second at most: all of them in 2 s.
	stepRate = 0.5
	// stepMax is how much moves at once at most, after a time without requests.
	stepMax = 0.25
	// stateAge is how long the shares between a set of candidates stay as they are
	// without requests. After it they continue from the latest of the class.
	stateAge = 2 * time.Second
	// maxStates bounds the sets of candidates whose shares are kept.
	maxStates = 16
)

// Balancer holds the shares of a class's reads between the servers of a service. The
// zero value is ready for use. It is not safe for concurrent use.
type Balancer struct {
	states map[string]*state // By the names of the candidates.
	latest *state
	// excluded has the excluded servers, with the time of their last statement since.
	excluded map[string]time.Time
}

// state is the shares between one set of candidates.
type state struct {
	shares  map[string]float64
	updated time.Time
}

// Update moves the shares a step towards what the costs call for and returns the
// candidates with their shares. A server that was no candidate before begins without
// reads and gets its share in steps.
func (b *Balancer) Update(now time.Time, o Costs, class Class, candidates []Candidate) []Assessment {
	if len(candidates) == 0 {
		return nil
	}
	all := assess(o, class, candidates, b.excluded)
	b.remember(all)
	s := b.state(now, all)
	step := min(stepMax, stepRate*max(0, now.Sub(s.updated)).Seconds())
	s.move(all, step)
	s.updated = now
	b.latest = s
	return all
}

// Peek returns the candidates with the shares that they have, without a change.
func (b *Balancer) Peek(now time.Time, o Costs, class Class, candidates []Candidate) []Assessment {
	all := assess(o, class, candidates, b.excluded)
	s := b.states[setName(all)]
	if s == nil || now.Sub(s.updated) > stateAge {
		s = b.continued(now, all)
	} else {
		s = &state{shares: copied(s.shares)}
	}
	s.move(all, 0)
	return all
}

// remember keeps which servers are excluded.
func (b *Balancer) remember(all []Assessment) {
	for _, a := range all {
		switch _, ok := b.excluded[a.Name]; {
		case !a.Excluded:
			delete(b.excluded, a.Name)
		case !ok && b.excluded == nil:
			b.excluded = map[string]time.Time{a.Name: {}}
		case !ok:
			b.excluded[a.Name] = time.Time{}
		}
	}
}

// state returns the state of the set of candidates.
func (b *Balancer) state(now time.Time, all []Assessment) *state {
	name := setName(all)
	s := b.states[name]
	if s != nil && (s == b.latest || now.Sub(s.updated) <= stateAge) {
		return s
	}
	if len(b.states) >= maxStates {
		b.dropOldest()
	}
	if b.states == nil {
		b.states = make(map[string]*state)
	}
	s = b.continued(now, all)
	b.states[name] = s
	return s
}

// continued returns a new state that continues the latest one as far as the candidates
// are the same.
func (b *Balancer) continued(now time.Time, all []Assessment) *state {
	s := &state{shares: make(map[string]float64, len(all)), updated: now}
	sum := 0.0
	for _, a := range all {
		if b.latest != nil {
			s.shares[a.Name] = b.latest.shares[a.Name]
		}
		sum += s.shares[a.Name]
	}
	for _, a := range all {
		if sum > 0 {
			s.shares[a.Name] /= sum
		} else {
			s.shares[a.Name] = a.Target
		}
	}
	return s
}

func (b *Balancer) dropOldest() {
	oldest := ""
	for name, s := range b.states {
		if oldest == "" || s.updated.Before(b.states[oldest].updated) {
			oldest = name
		}
	}
	delete(b.states, oldest)
}

// move moves at most the step of the reads towards the targets and sets the shares of
// the candidates. An excluded server loses its share at once.
func (s *state) move(all []Assessment, step float64) {
	drop(s.shares, all)
	missing := 0.0
	for _, a := range all {
		missing += max(0, a.Target-s.shares[a.Name])
	}
	part := 1.0
	if missing > step {
		part = step / missing
	}
	for i := range all {
		a := &all[i]
		s.shares[a.Name] += part * (a.Target - s.shares[a.Name])
		a.Share = s.shares[a.Name]
	}
}

// drop takes their shares from excluded servers and gives them to the others in
// proportion to what these have, or to what they are to have.
func drop(shares map[string]float64, all []Assessment) {
	kept := 0.0
	for _, a := range all {
		if a.Excluded {
			shares[a.Name] = 0
		}
		kept += shares[a.Name]
	}
	for _, a := range all {
		if kept > 0 {
			shares[a.Name] /= kept
		} else {
			shares[a.Name] = a.Target
		}
	}
}

func copied(shares map[string]float64) map[string]float64 {
	c := make(map[string]float64, len(shares))
	for name, share := range shares {
		c[name] = share
	}
	return c
}

// setName returns a name of the set of candidates.
func setName(all []Assessment) string {
	names := make([]string, len(all))
	for i, a := range all {
		names[i] = a.Name
	}
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(names, "\n")
}
