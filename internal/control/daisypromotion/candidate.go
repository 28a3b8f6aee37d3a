package daisypromotion

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// answers are the answers of a service's servers since the old state was recalled.
type answers struct {
	replicas   []member // Those that answered, but for the previous primary.
	previous   member   // The previous primary; its name is empty if it did not answer.
	unanswered int      // Servers that may still answer.
	silent     int      // Replicas that did not answer, or have lost their logs, and may each have had any write.
}

// gather returns the answers of the servers.
func (l *Leader) gather(now time.Time, all []member, previous string, ongoing *succession) (a answers) {
	for _, m := range all {
		status, ok := l.statusSince(now, m.name, ongoing.recalledAt)
		m.received = status.Received
		switch {
		case ok && m.name == previous:
			a.previous = m
		case ok:
			a.replicas = append(a.replicas, m)
			if l.hasLostLog(m.name, status) {
				a.silent++
			}
		default:
			if probed := l.probes[m.name]; probed == nil || probed.failures == 0 {
				a.unanswered++
			}
			if m.name != previous {
				a.silent++
			}
		}
	}
	return a
}

// furthest returns the latest position that a replica has received.
func (a answers) furthest() (p daisystatement.Position) {
	for _, m := range a.replicas {
		p = daisystatement.Max(p, m.received)
	}
	return p
}

// complete reports whether a log that ends at the position has every acknowledged write, if
// each was acknowledged once syncReplicas replicas had received it. That is so if the log is
// as long as that of the previous primary, or as the longest of the replicas that answered
// while fewer than syncReplicas did not: then one of those that answered has any such write.
//
// With syncReplicas 0 a write may be on the previous primary only. Then complete reports
// whether the log is as long as the longest among the candidates, but for that primary.
func (a answers) complete(p daisystatement.Position, syncReplicas int, candidates []member) bool {
	if syncReplicas == 0 {
		return !slices.ContainsFunc(candidates, func(m member) bool {
			return m.name != a.previous.name && p.Compare(m.received) < 0
		})
	}
	furthest := a.furthest()
	if a.silent < syncReplicas && p.Compare(furthest) >= 0 {
		return true
	}
	// A primary that has lost its log is no measure; its replicas have received more.
	intact := a.previous.name != "" && !a.previous.received.IsZero() && a.previous.received.Compare(furthest) >= 0
	return intact && p.Compare(a.previous.received) >= 0
}

// chooseCandidate returns the server to promote, or false if the leader must wait
// for more answers, or until a replica has received what another server has.
//
// It prefers a server that stays, outside the evacuated failure domains. If that one may
// lack an acknowledged write, one that has all leads first; it is replaced in turn once
// the others have caught up.
func (l *Leader) chooseCandidate(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership, ongoing *succession) (member, bool) {
	all := members(s, service)
	a := l.gather(now, all, leadership.Previous, ongoing)
	a.silent += l.countAbsent(service, all)
	if !l.allAsked(all, ongoing) {
		return member{}, false
	}
	if ongoing.askedAt.IsZero() {
		ongoing.askedAt = now
	}
	waited := now.Sub(ongoing.askedAt)
	candidates := l.candidates(now, s, service, a, ongoing)
	if len(candidates) == 0 || a.unanswered > 0 && waited < gatherTimeout {
		return member{}, false
	}
	n := l.syncReplicasOf(service)
	best := candidates[0]
	mayCatchUp := a.previous.name != "" && waited < catchUpTimeout
	if mayCatchUp && best.name != leadership.Previous && best.received.Compare(a.previous.received) < 0 {
		return member{}, false
	}
	if mayCatchUp && !a.complete(best.received, n, candidates) {
		return member{}, false
	}
	for _, m := range candidates {
		if a.complete(m.received, n, candidates) {
			return m, true
		}
	}
	return member{}, false
}

// candidates returns the servers that answered and may be promoted, sorted by
// compareCandidates.
func (l *Leader) candidates(now time.Time, s *daisyfleet.State, service string, a answers, ongoing *succession) []member {
	all := slices.Clone(a.replicas)
	if a.previous.name != "" {
		all = append(all, a.previous)
	}
	all = slices.DeleteFunc(all, func(m member) bool { return now.Sub(ongoing.refusedAt[m.name]) <= refusalTTL })
	all = l.withoutEvacuated(now, s, service, a.previous.name, ongoing, all)
	slices.SortFunc(all, func(x, y member) int { return compareCandidates(x, y, a.previous.name) })
	return all
}

// compareCandidates sorts the best candidate first: other servers before the
// previous primary, then staying before leaving ones, then those that have
// received more of the log. A log whose last entry is of a later term has received
// more, however long the other is: that one ends in entries that were never acknowledged.
func compareCandidates(a, b member, previous string) int {
	return cmp.Or(
		cmp.Compare(rank(a, previous), rank(b, previous)),
		b.received.Compare(a.received),
		cmp.Compare(a.name, b.name),
	)
}

func rank(m member, previous string) int {
	r := 0
	if m.server.Leaving {
		r++
	}
	if m.name == previous {
		r += 2
	}
	return r
}
