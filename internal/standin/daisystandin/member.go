package daisystandin

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

// Role is the part that a member plays in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

var (
	errFenced    = errors.New("a later term holds the group")
	errDuplicate = errors.New("duplicate key")
	errReadOnly  = errors.New("cannot execute a write in a read-only transaction")
)

// pretendPoll is how often a member that waits looks at what it pretends.
const pretendPoll = 5 * time.Millisecond

// write is one row change: a deletion if gone is set.
type write struct {
	table, key, value string
	gone              bool
	fresh             bool // The key must not exist.
}

type entry struct {
	term   uint64
	writes []write
}

// Member is one server of a group.
type Member struct {
	Name   string
	served atomic.Int64

	mu       sync.Mutex
	changed  chan struct{}
	term     uint64
	role     Role
	upstream *Member
	log      []entry
	applied  int
	rows     map[string]map[string]string
	lag      time.Duration // From received to applied.
	delay    time.Duration // From written to received.
	stalled  bool
	leaving  bool
	pretend  bool
	conns    map[*session]bool
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

// Status is what a member tells of itself.
type Status struct {
	Term     uint64
	Role     Role
	Received daisystream.Position
	Applied  daisystream.Position
}

// notify wakes waiters; m.mu is held.
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
	if m.pretend && m.upstream != nil {
		m.upstream.mu.Lock()
		defer m.upstream.mu.Unlock()
		claimed := m.upstream.position(len(m.upstream.log))
		return Status{Term: m.term, Role: m.role, Received: claimed, Applied: claimed}
	}
	return Status{Term: m.term, Role: m.role, Received: m.position(len(m.log)), Applied: m.position(m.applied)}
}

// fence adopts the term, stops serving writes and ends older sessions.
func (m *Member) fence(term uint64, keep *session) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term {
		return Status{}, errFenced
	}
	if term > m.term {
		m.term = term
		m.role = RoleReplica
		m.upstream = nil
		m.endSessions(func(s *session) bool { return s != keep && s.term < term })
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

// promote makes the member the primary of the term.
func (m *Member) promote(term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term {
		return errFenced
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
		return errFenced
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
	if w.gone {
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
		return daisystream.Position{}, errFenced
	}
	for _, w := range writes {
		if _, taken := m.rows[w.table][w.key]; w.fresh && taken {
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

// await returns once more than the given positions is received or applied, or
// when the timeout has passed.
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
		case <-time.After(pretendPoll):
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
		up, own := m.upstream, m.changed
		stalled, delay := m.stalled, m.delay
		m.mu.Unlock()
		var theirs <-chan struct{}
		if up != nil && !stalled {
			if theirs = m.pull(up, delay, done); theirs == nil {
				continue
			}
		}
		select {
		case <-own:
		case <-theirs:
		case <-done:
			return
		}
	}
}

// pull copies what the upstream has more. It returns a channel that is closed
// when there may be more, or nil if it copied something.
func (m *Member) pull(up *Member, delay time.Duration, done <-chan struct{}) <-chan struct{} {
	up.mu.Lock()
	term, role, log, changed := up.term, up.role, up.log[:len(up.log):len(up.log)], up.changed
	up.mu.Unlock()
	m.mu.Lock()
	same := role == RolePrimary && term == m.term && m.upstream == up
	current := same && len(log) == len(m.log) && (len(log) == 0 || log[len(log)-1].term == m.log[len(log)-1].term)
	m.mu.Unlock()
	if !same || current {
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
	if m.term != term || m.upstream != up {
		return changed
	}
	m.receive(log)
	return nil
}

// receive replaces the log with the upstream's; m.mu is held.
func (m *Member) receive(log []entry) {
	keep := commonPrefix(m.log, log)
	if keep < m.applied {
		m.rows = make(map[string]map[string]string)
		m.applied = 0
	}
	if keep < len(m.log) {
		m.log = slices.Clone(m.log[:keep]) // Others may read the entries that go.
	}
	m.log = append(m.log, log[keep:]...)
	if m.applied == 0 && keep > 0 {
		m.applyTo(keep)
	}
	m.notify()
	length, term := len(m.log), m.term
	if m.lag == 0 {
		m.applyTo(length)
		return
	}
	time.AfterFunc(m.lag, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.term == term && m.role == RoleReplica && length > m.applied && length <= len(m.log) {
			m.applyTo(length)
			m.notify()
		}
	})
}

// commonPrefix returns how many entries two logs share. Logs that agree on the
// term of an entry agree on all before it.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// SetLag sets how long replication takes: delay until a write is received,
// lag from then until it is applied.
func (m *Member) SetLag(delay, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay, m.lag = delay, lag
	m.notify()
}

// StallReplication stops or resumes replication to the member.
func (m *Member) StallReplication(stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = stalled
	m.notify()
}

// RaiseTerm raises the member's term, as if it had been led before.
func (m *Member) RaiseTerm(term uint64) error {
	_, err := m.fence(term, nil)
	return err
}

// OverstatePosition makes the member claim to have received and applied whatever its
// upstream has, although it has not. Tests use it to show that they notice.
func (m *Member) OverstatePosition(pretend bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pretend = pretend
	m.notify()
}

// Row returns a row of a table as the member has applied it.
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
