package daisyfleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the outcomes kept for changes that are sent again.
	maxOutcomes = 10_000
	// minEvents is the minimum number of events that are kept; the oldest are
	// dropped when there are twice as many.
	minEvents = 2_000
	// minRecentChanges is the minimum number of object changes that are kept for
	// deltas; the oldest are dropped when there are twice as many.
	minRecentChanges = 8_192
)

// ErrGap is returned for a delta that starts after the held revision.
var ErrGap = errors.New("delta starts after the held revision")

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

// Operation is one compare-and-set: it stores Value, or deletes the object if
// Value is nil, provided that the object is at ExpectedRevision. ExpectedRevision
// is 0 for an object that must not exist.
type Operation struct {
	ID
	ExpectedRevision uint64
	Value            Value
}

// Change is an atomic set of operations. Applying a change whose ID was already
// decided returns the first outcome again.
type Change struct {
	ID         string
	Reason     string
	At         time.Time // When it was proposed.
	Operations []Operation
}

// Size returns about how many bytes the encoded change takes.
func (c *Change) Size() int {
	const operationBytes = 256
	n := len(c.ID) + len(c.Reason)
	for _, op := range c.Operations {
		n += operationBytes + len(op.Name)
		switch v := op.Value.(type) {
		case Document:
			n += len(v.Content)
		case Server:
			n += len(v.Service) + len(v.FailureDomain)
		}
	}
	return n
}

// Outcome is the decision on a change.
type Outcome struct {
	ID       string
	Accepted bool
	Revision uint64 // The log index of the decision.
	Message  string // Why the change was refused; empty if it was accepted.
}

// Event records a decision on a change that has a reason.
type Event struct {
	Revision uint64 // The log index of the decision.
	At       time.Time
	Reason   string
	Refused  string // Why it was refused; empty if it was accepted.
}

// Delta carries the objects that changed after From, up to To. A delta with From 0
// is a full state and replaces what the receiver holds.
type Delta struct {
	From    uint64
	To      uint64
	Objects []Object
}

// Snapshot is a copy of the full state.
type Snapshot struct {
	Revision          uint64
	CompactedRevision uint64 // The oldest revision that deltas can start from.
	Objects           []Object
	Outcomes          []Outcome
	Events            []Event
}

// objectChange records that the object changed at the revision.
type objectChange struct {
	revision uint64
	id       ID
}

// State is the control state. The zero value is empty and usable. It is not
// safe for concurrent use.
type State struct {
	revision          uint64
	compactedRevision uint64 // The oldest revision that deltas can start from.
	objects           map[Kind]map[string]Object
	servers           serverIndex
	recentChanges     []objectChange // In the order in which they were applied.
	outcomes          map[string]Outcome
	outcomeOrder      []string // IDs of changes, oldest first.
	events            []Event  // Oldest first.
}

// Revision returns the log index of the last applied entry.
func (s *State) Revision() uint64 { return s.revision }

// Get returns the object with the ID, unless it is deleted.
func (s *State) Get(id ID) (Object, bool) {
	o, ok := s.objects[id.Kind][id.Name]
	return o, ok && !o.Deleted()
}

// Each calls f for every object of the kind that is not deleted, in no particular
// order.
func (s *State) Each(kind Kind, f func(Object)) {
	for _, o := range s.objects[kind] {
		if !o.Deleted() {
			f(o)
		}
	}
}

// EachSorted calls f for every object of the kind that is not deleted, sorted by
// name.
func (s *State) EachSorted(kind Kind, f func(Object)) {
	objects := s.objects[kind]
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if o := objects[name]; !o.Deleted() {
			f(o)
		}
	}
}

// Outcome returns the outcome of a change, or false if it is unknown or no longer
// kept.
func (s *State) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Skip advances the revision to a log entry that carries no change.
func (s *State) Skip(index uint64) { s.revision = max(s.revision, index) }

// Apply decides the change at the log index and returns its outcome. Indexes
// must increase.
func (s *State) Apply(index uint64, c Change) Outcome {
	s.Skip(index)
	if earlier, ok := s.outcomes[c.ID]; ok {
		return earlier
	}
	out := Outcome{ID: c.ID, Accepted: true, Revision: index}
	for _, op := range c.Operations {
		if err := s.checkOperation(op); err != nil {
			out.Accepted = false
			out.Message = err.Error()
			break
		}
	}
	if out.Accepted {
		for _, op := range c.Operations {
			s.storeObject(Object{ID: op.ID, Revision: index, Value: op.Value})
		}
	}
	s.storeOutcome(out)
	s.recordEvent(Event{Revision: index, At: c.At, Reason: c.Reason, Refused: out.Message})
	return out
}

// recordEvent adds the event if it has a reason, and drops the older half when
// there are twice minEvents.
func (s *State) recordEvent(e Event) {
	if e.Reason == "" {
		return
	}
	s.events = append(s.events, e)
	if len(s.events) >= 2*minEvents {
		s.events = slices.Clone(s.events[minEvents:])
	}
}

// Events returns the latest events, oldest first.
func (s *State) Events() []Event { return slices.Clone(s.events) }

func (s *State) checkOperation(op Operation) error {
	current, live := s.Get(op.ID)
	var revision uint64
	if live {
		revision = current.Revision
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

func (s *State) storeObject(o Object) {
	if s.objects == nil {
		s.objects = make(map[Kind]map[string]Object)
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = make(map[string]Object)
	}
	if o.Kind == KindServer {
		s.servers.replace(o.Name, s.objects[o.Kind][o.Name].Value, o.Value)
	}
	s.objects[o.Kind][o.Name] = o
	s.recentChanges = append(s.recentChanges, objectChange{revision: o.Revision, id: o.ID})
	if len(s.recentChanges) >= 2*minRecentChanges {
		s.compact(len(s.recentChanges) - minRecentChanges)
	}
}

// compact drops the n oldest recent changes, and the tombstones of
// objects that have not changed since.
func (s *State) compact(n int) {
	for _, c := range s.recentChanges[:n] {
		s.compactedRevision = max(s.compactedRevision, c.revision)
		if o := s.objects[c.id.Kind][c.id.Name]; o.Deleted() && o.Revision == c.revision {
			delete(s.objects[c.id.Kind], c.id.Name)
		}
	}
	s.recentChanges = slices.Clone(s.recentChanges[n:])
}

func (s *State) storeOutcome(out Outcome) {
	if out.ID == "" {
		return
	}
	if s.outcomes == nil {
		s.outcomes = make(map[string]Outcome)
	}
	s.outcomes[out.ID] = out
	s.outcomeOrder = append(s.outcomeOrder, out.ID)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// Delta returns the objects that changed after the revision, or the full state if
// the revision is 0, below the compacted revision or above the current one. It leaves out
// objects of KindPromotion, which concern control hosts only.
func (s *State) Delta(from uint64) Delta {
	if from == 0 || from < s.compactedRevision || from > s.revision {
		objects := slices.DeleteFunc(s.liveObjects(), func(o Object) bool { return o.Kind == KindPromotion })
		return Delta{To: s.revision, Objects: objects}
	}
	d := Delta{From: from, To: s.revision}
	start, _ := slices.BinarySearchFunc(s.recentChanges, from+1, func(c objectChange, r uint64) int {
		return compare(c.revision, r)
	})
	for _, c := range s.recentChanges[start:] {
		if o := s.objects[c.id.Kind][c.id.Name]; o.Revision == c.revision && o.Kind != KindPromotion {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// Merge applies a delta. The revision never decreases: a delta that does not end
// after the held revision is ignored, and one that starts after it is refused
// with ErrGap.
func (s *State) Merge(d Delta) error {
	if d.To <= s.revision {
		return nil
	}
	if d.From > s.revision {
		return ErrGap
	}
	if d.From == 0 {
		s.objects, s.servers = nil, serverIndex{}
		s.recentChanges = nil
		s.compactedRevision = d.To
	}
	for _, o := range d.Objects {
		s.storeObject(o)
	}
	s.revision = d.To
	return nil
}

// Snapshot returns the full state, including tombstones and outcomes.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Revision: s.revision, CompactedRevision: s.compactedRevision, Objects: s.allObjects(), Events: s.Events()}
	for _, id := range s.outcomeOrder {
		snap.Outcomes = append(snap.Outcomes, s.outcomes[id])
	}
	return snap
}

// Restore replaces the state with the snapshot.
func (s *State) Restore(snap Snapshot) {
	*s = State{revision: snap.Revision, compactedRevision: snap.CompactedRevision, events: slices.Clone(snap.Events)}
	objects := slices.Clone(snap.Objects)
	slices.SortStableFunc(objects, func(a, b Object) int { return compare(a.Revision, b.Revision) })
	for _, o := range objects {
		s.storeObject(o)
	}
	for _, out := range snap.Outcomes {
		s.storeOutcome(out)
	}
}

func (s *State) liveObjects() []Object {
	return slices.DeleteFunc(s.allObjects(), Object.Deleted)
}

// allObjects returns all objects, including tombstones, sorted by kind and name.
func (s *State) allObjects() []Object {
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
