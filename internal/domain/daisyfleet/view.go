package daisyfleet

import "sync"

// View is a State that is safe for concurrent use. Lookups take a read lock and
// decode nothing, so they are short.
type View struct {
	mu      sync.RWMutex
	state   State
	changed chan struct{}
}

// NewView returns an empty view.
func NewView() *View { return &View{changed: make(chan struct{})} }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Update runs f on the state with the write lock held. If f changed the revision,
// it closes the channel that Changed returned.
func (v *View) Update(f func(*State) error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.state.revision
	err := f(&v.state)
	if v.state.revision != before {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return err
}

// Read runs f on the state with the read lock held.
func (v *View) Read(f func(*State)) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	f(&v.state)
}

// Revision returns the held revision.
func (v *View) Revision() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.revision
}

func (v *View) value(kind Kind, name string) Value {
	v.mu.RLock()
	defer v.mu.RUnlock()
	o, _ := v.state.Get(ID{Kind: kind, Name: name})
	return o.Value
}

// Profile returns the named profile.
func (v *View) Profile(name string) (Profile, bool) {
	p, ok := v.value(KindProfile, name).(Profile)
	return p, ok
}

// Workspace returns the named workspace.
func (v *View) Workspace(name string) (Workspace, bool) {
	w, ok := v.value(KindWorkspace, name).(Workspace)
	return w, ok
}

// Key returns the key with the identifier.
func (v *View) Key(id string) (Key, bool) {
	k, ok := v.value(KindKey, id).(Key)
	return k, ok
}

// Database returns the named database group.
func (v *View) Database(name string) (Database, bool) {
	d, ok := v.value(KindDatabase, name).(Database)
	return d, ok
}

// Ownership returns the ownership of the named database group.
func (v *View) Ownership(database string) (Ownership, bool) {
	o, ok := v.value(KindOwnership, database).(Ownership)
	return o, ok
}

// Host returns the named host.
func (v *View) Host(name string) (Host, bool) {
	h, ok := v.value(KindHost, name).(Host)
	return h, ok
}

// Members returns the members of a database group, by member name.
func (v *View) Members(database string) map[string]Member {
	prefix := database + "/"
	members := make(map[string]Member)
	v.Read(func(s *State) {
		for name, o := range s.objects[KindMember] {
			if m, ok := o.Value.(Member); ok && m.Database == database {
				members[name[len(prefix):]] = m
			}
		}
	})
	return members
}
