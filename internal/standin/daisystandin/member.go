package daisystandin

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// Role is the replication role of a member.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

var (
	errTermMismatch = errors.New("term differs from the member's term")
	errDuplicate    = errors.New("duplicate key")
	errReadOnly     = errors.New("cannot execute a write in a read-only transaction")
)

// overstatePollInterval is how often await reads the status again. A member that
// overstates its position is not notified when its upstream advances.
const overstatePollInterval = 5 * time.Millisecond

// write is a change of one row: a deletion if deleted is set.
type write struct {
	table, key, value string
	deleted           bool
	mustBeNew         bool // The commit fails if the key exists.
}

// entry is one transaction in the log of a member.
type entry struct {
	term   uint64
	writes []write
}

// Member is one server of a group.
type Member struct {
	Name     string
	executed atomic.Int64

	mu           sync.Mutex
	changed      chan struct{} // Closed and replaced when the member's state changes.
	term         uint64
	role         Role
	upstream     *Member
	log          []entry
	applied      int
	rows         map[string]map[string]string
	applyDelay   time.Duration // Time from receiving an entry to applying it.
	receiveDelay time.Duration // Time from the upstream's write to receiving it.
	stalled      bool
	leaving      bool
	overstate    bool // Report the upstream's position as the member's own.
	repeat       func() (time.Duration, bool)
	conns        map[*session]bool
}

func newMember(name string) *Member {
	return &Member{
		Name:    name,
		changed: make(chan struct{}),
		role:    RoleReplica,
		rows:    make(map[string]map[string]string),
		conns:   make(map[*session]bool),
	}
}

// Status is the replication state that a member reports.
type Status struct {
	Term     uint64
	Role     Role
	Received daisystream.Position
	Applied  daisystream.Position
}

// notify wakes the goroutines that wait for a change; m.mu is held.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// position returns the position after n entries; m.mu is held.
func (m *Member) position(n int) daisystream.Position {
	if n == 0 {
		return daisystream.Position{}
	}
	return daisystream.Position{Term: m.log[n-1].term, Offset: uint64(n)}
}

// Status returns the member's status.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

func (m *Member) status() Status {
	if m.overstate && m.upstream != nil {
		m.upstream.mu.Lock()
		defer m.upstream.mu.Unlock()
		overstated := m.upstream.position(len(m.upstream.log))
		return Status{Term: m.term, Role: m.role, Received: overstated, Applied: overstated}
	}
	return Status{Term: m.term, Role: m.role, Received: m.position(len(m.log)), Applied: m.position(m.applied)}
}

// fence adopts a later term, makes the member a replica without an upstream and
// closes the sessions of earlier terms except current.
func (m *Member) fence(term uint64, current *session) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term {
		return Status{}, errTermMismatch
	}
	if term > m.term {
		m.term = term
		m.role = RoleReplica
		m.upstream = nil
		m.endSessions(func(s *session) bool { return s != current && s.term < term })
		m.notify()
	}
	return m.status(), nil
}

func (m *Member) endSessions(match func(*session) bool) {
	for s := range m.conns {
		if match(s) {
			_ = s.conn.Close()
		}
	}
}

// promote makes the member the primary of its present term.
func (m *Member) promote(term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term {
		return errTermMismatch
	}
	if m.role == RolePrimary {
		return nil
	}
	m.role = RolePrimary
	m.upstream = nil
	m.applyTo(len(m.log))
	m.log = append(m.log, entry{term: term})
	m.applied = len(m.log)
	m.notify()
	return nil
}

// follow makes the member a replica of the primary.
func (m *Member) follow(term uint64, primary *Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term {
		return errTermMismatch
	}
	m.role = RoleReplica
	m.upstream = primary
	m.notify()
	return nil
}

// applyTo applies entries up to n; m.mu is held.
func (m *Member) applyTo(n int) {
	for _, e := range m.log[m.applied:n] {
		for _, w := range e.writes {
			m.applyWrite(w)
		}
	}
	m.applied = n
}

func (m *Member) applyWrite(w write) {
	table := m.rows[w.table]
	if table == nil {
		table = make(map[string]string)
		m.rows[w.table] = table
	}
	if w.deleted {
		delete(table, w.key)
		return
	}
	table[w.key] = w.value
}

// commit appends the writes to the log of the primary of the term.
func (m *Member) commit(term uint64, writes []write) (daisystream.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != RolePrimary {
		return daisystream.Position{}, errReadOnly
	}
	if term != m.term {
		return daisystream.Position{}, errTermMismatch
	}
	for _, w := range writes {
		if _, exists := m.rows[w.table][w.key]; w.mustBeNew && exists {
			return daisystream.Position{}, errDuplicate
		}
	}
	m.log = append(m.log, entry{term: term, writes: writes})
	m.applyTo(len(m.log))
	m.notify()
	return m.position(len(m.log)), nil
}

func (m *Member) get(table, key string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.rows[table][key]
	return v, ok
}

func (m *Member) count(table string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows[table])
}

func (m *Member) isPrimary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == RolePrimary
}

// await returns the status once it differs from the given received and applied
// positions, the timeout has passed or done is signalled.
func (m *Member) await(received, applied daisystream.Position, timeout time.Duration, done <-chan struct{}) Status {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	for {
		m.mu.Lock()
		status, changed := m.status(), m.changed
		m.mu.Unlock()
		if received != status.Received || applied != status.Applied {
			return status
		}
		select {
		case <-changed:
		case <-time.After(overstatePollInterval):
		case <-expired.C:
			return status
		case <-done:
			return status
		}
	}
}

// replicate pulls from the upstream until done is closed.
func (m *Member) replicate(done <-chan struct{}) {
	for {
		m.mu.Lock()
		upstream, changed := m.upstream, m.changed
		stalled, delay := m.stalled, m.receiveDelay
		m.mu.Unlock()
		var upstreamChanged <-chan struct{}
		if upstream != nil && !stalled {
			if upstreamChanged = m.pull(upstream, delay, done); upstreamChanged == nil {
				continue
			}
		}
		select {
		case <-changed:
		case <-upstreamChanged:
		case <-done:
			return
		}
	}
}

// pull copies the upstream's log if the member lacks entries of it. It returns nil
// if it copied entries, otherwise a channel that is closed when the upstream changes.
func (m *Member) pull(upstream *Member, delay time.Duration, done <-chan struct{}) <-chan struct{} {
	upstream.mu.Lock()
	term, role, log, changed := upstream.term, upstream.role, upstream.log[:len(upstream.log):len(upstream.log)], upstream.changed
	upstream.mu.Unlock()
	m.mu.Lock()
	following := role == RolePrimary && term == m.term && m.upstream == upstream
	upToDate := following && len(log) == len(m.log) && (len(log) == 0 || log[len(log)-1].term == m.log[len(log)-1].term)
	m.mu.Unlock()
	if !following || upToDate {
		return changed
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-done:
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term || m.upstream != upstream {
		return changed
	}
	m.receive(log)
	return nil
}

// receive replaces the log with the upstream's and applies it after the apply
// delay; m.mu is held.
func (m *Member) receive(log []entry) {
	shared := commonPrefix(m.log, log)
	if shared < m.applied {
		m.rows = make(map[string]map[string]string)
		m.applied = 0
	}
	if shared < len(m.log) {
		m.log = slices.Clone(m.log[:shared]) // Other goroutines may read the replaced entries.
	}
	m.log = append(m.log, log[shared:]...)
	if m.applied == 0 && shared > 0 {
		m.applyTo(shared)
	}
	m.notify()
	length, term := len(m.log), m.term
	if m.applyDelay == 0 {
		m.applyTo(length)
		return
	}
	time.AfterFunc(m.applyDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.term == term && m.role == RoleReplica && length > m.applied && length <= len(m.log) {
			m.applyTo(length)
			m.notify()
		}
	})
}

// commonPrefix returns the number of leading entries that two logs share. If two
// logs have an entry of the same term at the same index, all entries before it are
// equal too.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// SetLag sets the replication lag: receiveDelay is the time until a write is
// received, applyDelay the time from then until it is applied.
func (m *Member) SetLag(receiveDelay, applyDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receiveDelay, m.applyDelay = receiveDelay, applyDelay
	m.notify()
}

// StallReplication stops or resumes replication to the member.
func (m *Member) StallReplication(stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = stalled
	m.notify()
}

// RaiseTerm raises the member's term, as if the group had reached that term before.
func (m *Member) RaiseTerm(term uint64) error {
	_, err := m.fence(term, nil)
	return err
}

// OverstatePosition makes the member report its upstream's log position as received
// and applied, although it has not replicated up to it. Tests use it to show that
// their checks notice such a replica.
func (m *Member) OverstatePosition(overstate bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.overstate = overstate
	m.notify()
}

// Row returns the value of a key in a table as the member has applied it.
func (m *Member) Row(table, key string) (string, bool) { return m.get(table, key) }

// Rows returns a copy of a table as the member has applied it.
func (m *Member) Rows(table string) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make(map[string]string)
	for k, v := range m.rows[table] {
		rows[k] = v
	}
	return rows
}

// String describes the member.
func (m *Member) String() string {
	s := m.Status()
	return fmt.Sprintf("%s: %s of term %d, received %s, applied %s", m.Name, s.Role, s.Term, s.Received, s.Applied)
}
