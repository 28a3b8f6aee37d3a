package daisyfleet

import "time"

// Evacuation is an operator's order that the backend servers of a failure domain get
// no more work. The object's name is the failure domain. It exists while the order
// holds.
type Evacuation struct {
	Ordered time.Time // When the control leader took the order.
}

// Kind implements Value.
func (Evacuation) Kind() Kind { return KindEvacuation }

// Check implements Value.
func (Evacuation) Check() error { return nil }

// Evacuated reports whether the failure domain is evacuated.
func (s *State) Evacuated(failureDomain string) bool {
	_, ok := s.Get(ID{Kind: KindEvacuation, Name: failureDomain})
	return ok
}

// Evacuations returns the names of the evacuated failure domains, sorted.
func (s *State) Evacuations() (domains []string) {
	s.EachSorted(KindEvacuation, func(o Object) { domains = append(domains, o.Name) })
	return domains
}

// Evacuations returns the names of the evacuated failure domains, sorted.
func (v *View) Evacuations() (domains []string) {
	v.Read(func(s *State) { domains = s.Evacuations() })
	return domains
}
