package daisyfleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// outcomeLimit bounds the outcomes remembered for changes sent again.
	outcomeLimit = 10_000
	// eventLimit is how many events are remembered at the least.
	eventLimit = 2_000
	// recentLimit is how many changed objects are remembered for deltas at the
	// least; they are forgotten when there are twice as many.
	recentLimit = 8_192
)

// ErrGap is returned for a delta that does not join the held revision.
var ErrGap = errors.New("delta does not join the held revision")

// ID identifies an object.
type ID struct {
	Kind Kind
	Name string
}

// Object is a named value with the revision at which it last changed. A
// deleted object has a nil Value.
type Object struct {
	ID
	Revision uint64
	Value    Value
}

// Deleted reports whether the object is a tombstone.
func (o Object) Deleted() bool { return o.Value == nil }

// Operation is one compare-and-set: it puts Value, or deletes the object if
// Value is nil, provided that the object's revision is Against. Against is 0
// for an object that must not exist.
type Operation struct {
	ID
	ExpectedRevision uint64
	Value            Value
}

// Change is an atomic set of operations. A change with an ID that was already
// decided yields its first outcome again.
type Change struct {
	ID         string
	Reason     string
	At         time.Time // When it was proposed.
	Operations []Operation
}

// Outcome is what became of a change.
type Outcome struct {
	ID       string
	Accepted bool
	Revision uint64 // The log index that decided the change.
	Message  string // Why the change was refused.
}

// Event records a decision of the fleet.
type Event struct {
	Revision uint64 // The log index that decided it.
	At       time.Time
	Reason   string
	Refused  string // Why it was refused; empty if it was accepted.
}

// Delta carries the objects that changed after From. A delta with From 0 is a
// whole state and replaces what the receiver holds.
type Delta struct {
	From    uint64
	To      uint64
	Objects []Object
}

// Snapshot is a whole state for a snapshot.
type Snapshot struct {
	Revision          uint64
	CompactedRevision uint64
	Objects           []Object
	Outcomes          []Outcome
	Events            []Event
}

type touch struct {
	revision uint64
	id       ID
}

// State is the control state. The zero value is empty and usable. It is not
// safe for concurrent use.
type State struct {
	revision uint64
	horizon  uint64 // Deltas from before this revision are not available.
	objects  map[Kind]map[string]Object
	recent   []touch
	outcomes map[string]Outcome
	order    []string
	events   []Event // The latest, oldest first.
}

// Revision returns the log index of the last applied entry.
func (s *State) Revision() uint64 { return s.revision }

// Get returns the live object with the identity.
func (s *State) Get(id ID) (Object, bool) {
	o, ok := s.objects[id.Kind][id.Name]
	return o, ok && !o.Deleted()
}

// Each calls f for every live object of the kind, in no particular order.
func (s *State) Each(kind Kind, f func(Object)) {
	for _, o := range s.objects[kind] {
		if !o.Deleted() {
			f(o)
		}
	}
}

// EachSorted calls f for every live object of the kind, in the order of names.
func (s *State) EachSorted(kind Kind, f func(Object)) {
	objects := s.objects[kind]
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if o := objects[name]; !o.Deleted() {
			f(o)
		}
	}
}

// Outcome returns the remembered outcome of a change.
func (s *State) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Skip advances the revision past a log entry without a change.
func (s *State) Skip(index uint64) { s.revision = max(s.revision, index) }

// Apply decides the change at the log index and returns its outcome. Indexes
// must increase.
func (s *State) Apply(index uint64, c Change) Outcome {
	s.Skip(index)
	if first, ok := s.outcomes[c.ID]; ok {
		return first
	}
	out := Outcome{ID: c.ID, Accepted: true, Revision: index}
	for _, op := range c.Operations {
		if err := s.allow(op); err != nil {
			out.Accepted = false
			out.Message = err.Error()
			break
		}
	}
	if out.Accepted {
		for _, op := range c.Operations {
			s.put(Object{ID: op.ID, Revision: index, Value: op.Value})
		}
	}
	s.remember(out)
	s.record(Event{Revision: index, At: c.At, Reason: c.Reason, Refused: out.Message})
	return out
}

// record adds an event, if it has a reason, and forgets the oldest by the half.
func (s *State) record(e Event) {
	if e.Reason == "" {
		return
	}
	s.events = append(s.events, e)
	if len(s.events) >= 2*eventLimit {
		s.events = slices.Clone(s.events[eventLimit:])
	}
}

// Events returns the latest decisions, oldest first.
func (s *State) Events() []Event { return slices.Clone(s.events) }

func (s *State) allow(op Operation) error {
	held, live := s.Get(op.ID)
	var revision uint64
	if live {
		revision = held.Revision
	}
	if revision != op.ExpectedRevision {
		return fmt.Errorf("%s %q is at revision %d, the change was made against %d", op.Kind, op.Name, revision, op.ExpectedRevision)
	}
	if op.Name == "" {
		return fmt.Errorf("%s has no name", op.Kind)
	}
	if op.Value == nil {
		return nil
	}
	if op.Value.Kind() != op.Kind {
		return fmt.Errorf("%s %q carries a %s", op.Kind, op.Name, op.Value.Kind())
	}
	if err := op.Value.Check(); err != nil {
		return fmt.Errorf("%s %q: %w", op.Kind, op.Name, err)
	}
	return nil
}

func (s *State) put(o Object) {
	if s.objects == nil {
		s.objects = make(map[Kind]map[string]Object)
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = make(map[string]Object)
	}
	s.objects[o.Kind][o.Name] = o
	s.recent = append(s.recent, touch{revision: o.Revision, id: o.ID})
	if len(s.recent) >= 2*recentLimit {
		s.forget(len(s.recent) - recentLimit)
	}
}

// forget drops the n oldest touches and the tombstones that only they kept.
func (s *State) forget(n int) {
	for _, t := range s.recent[:n] {
		s.horizon = max(s.horizon, t.revision)
		if o := s.objects[t.id.Kind][t.id.Name]; o.Deleted() && o.Revision == t.revision {
			delete(s.objects[t.id.Kind], t.id.Name)
		}
	}
	s.recent = slices.Clone(s.recent[n:])
}

func (s *State) remember(out Outcome) {
	if out.ID == "" {
		return
	}
	if s.outcomes == nil {
		s.outcomes = make(map[string]Outcome)
	}
	s.outcomes[out.ID] = out
	s.order = append(s.order, out.ID)
	if len(s.order) > outcomeLimit {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}

// Delta returns what changed after the revision, or the whole state if the
// revision is 0 or lies before the horizon.
func (s *State) Delta(from uint64) Delta {
	if from == 0 || from < s.horizon || from > s.revision {
		return Delta{To: s.revision, Objects: s.live()}
	}
	d := Delta{From: from, To: s.revision}
	start, _ := slices.BinarySearchFunc(s.recent, from+1, func(t touch, r uint64) int {
		return compare(t.revision, r)
	})
	for _, t := range s.recent[start:] {
		if o := s.objects[t.id.Kind][t.id.Name]; o.Revision == t.revision {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// Merge applies a delta. The state never goes back: a delta that ends before
// the held revision is ignored, and a delta that does not join it is refused
// with ErrGap.
func (s *State) Merge(d Delta) error {
	if d.To <= s.revision {
		return nil
	}
	if d.From > s.revision {
		return ErrGap
	}
	if d.From == 0 {
		s.objects = nil
		s.recent = nil
		s.horizon = d.To
	}
	for _, o := range d.Objects {
		s.put(o)
	}
	s.revision = d.To
	return nil
}

// Snapshot returns the whole state, tombstones and outcomes included.
func (s *State) Snapshot() Snapshot {
	img := Snapshot{Revision: s.revision, CompactedRevision: s.horizon, Objects: s.all(), Events: s.Events()}
	for _, id := range s.order {
		img.Outcomes = append(img.Outcomes, s.outcomes[id])
	}
	return img
}

// Restore replaces the state with the image.
func (s *State) Restore(img Snapshot) {
	*s = State{revision: img.Revision, horizon: img.CompactedRevision, events: slices.Clone(img.Events)}
	objects := slices.Clone(img.Objects)
	slices.SortStableFunc(objects, func(a, b Object) int { return compare(a.Revision, b.Revision) })
	for _, o := range objects {
		s.put(o)
	}
	for _, out := range img.Outcomes {
		s.remember(out)
	}
}

func (s *State) live() []Object {
	return slices.DeleteFunc(s.all(), Object.Deleted)
}

// all returns every object, tombstones too, in the order of kinds and names.
func (s *State) all() []Object {
	var all []Object
	for _, kind := range slices.Sorted(maps.Keys(s.objects)) {
		objects := s.objects[kind]
		for _, name := range slices.Sorted(maps.Keys(objects)) {
			all = append(all, objects[name])
		}
	}
	return all
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
