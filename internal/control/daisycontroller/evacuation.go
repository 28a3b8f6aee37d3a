package daisycontroller

import "github.com/daisyglade/daisyglade/internal/domain/daisyfleet"

// movesForEvacuation reports whether the database's primary is to be replaced since its
// failure domain is evacuated: there are other members, and all are elsewhere. A takeover
// chooses among them by their logs alone, so with an evacuated member among them it
// might choose that one, and the next takeover the first again.
func movesForEvacuation(s *daisyfleet.State, database, primary string) bool {
	if !s.Evacuated(lookupMember(s, database, primary).FailureDomain) {
		return false
	}
	others, evacuated := 0, 0
	s.Each(daisyfleet.KindMember, func(o daisyfleet.Object) {
		m, ok := o.Value.(daisyfleet.Member)
		if !ok || m.Database != database || o.Name == daisyfleet.MemberName(database, primary) {
			return
		}
		others++
		if s.Evacuated(m.FailureDomain) {
			evacuated++
		}
	})
	return others > 0 && evacuated == 0
}
