package daisylog_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// disk holds what a replica has saved.
type disk struct {
	saved daisylog.PersistedState
}

func (d *disk) save(r daisylog.Ready, hardState daisylog.HardState, entries []daisylog.Entry, forgetHardState bool) {
	if r.Snapshot != nil {
		d.saved.Snapshot, d.saved.Entries = *r.Snapshot, slices.Clone(entries)
	}
	if r.HardState != nil && !forgetHardState {
		d.saved.HardState = *r.HardState
	}
	if r.Snapshot != nil && !forgetHardState {
		d.saved.HardState = hardState
	}
	for _, e := range r.Entries {
		d.saved.Entries = append(d.saved.Entries[:e.Index-d.saved.Snapshot.Index-1], e)
	}
}

// member is a control host in the cluster.
type member struct {
	name    string
	disk    *disk
	replica *daisylog.Replica // Nil while it is down.
	state   daisyfleet.State
}

// defects switches single mechanisms off, to show that the checks detect it.
type defects struct {
	forgetHardState bool // The disk loses the hard state.
	keepReplicaID   bool // A host that lost its disk keeps its replica ID and vote.
	voteAfterStart  bool // A replica votes immediately after a start.
	claimLeadership bool // A replica that restarts claims to have been the leader.
	countUnsaved    bool // Entries are acknowledged before they are saved, and a crash loses them.
}

// cluster simulates replicas with messages in flight and a clock of its own.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	members  []*member
	inFlight []daisylog.Message
	blocked  map[[2]daisylog.ReplicaID]bool
	nextID   daisylog.ReplicaID
	defects  defects

	leaders    map[uint64]daisylog.ReplicaID // By term.
	committed  map[uint64]daisylog.Entry     // By index.
	decided    map[string]uint64             // Change ID to the index that the leader reported.
	violations []string
}

func newCluster(seed uint64, size int, d defects) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), defects: d,
		blocked: make(map[[2]daisylog.ReplicaID]bool),
		leaders: make(map[uint64]daisylog.ReplicaID), committed: make(map[uint64]daisylog.Entry),
		decided: make(map[string]uint64),
	}
	for i := range size {
		m := &member{name: fmt.Sprintf("c%d", i+1), disk: &disk{}}
		m.disk.saved.Replica = c.newID()
		if i == 0 {
			m.disk.saved = daisylog.Bootstrap(c.peer(m))
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

func (c *cluster) newID() daisylog.ReplicaID {
	c.nextID++
	return c.nextID
}

func (c *cluster) peer(m *member) daisylog.Peer {
	return daisylog.Peer{Replica: m.disk.saved.Replica, Name: m.name, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 1)}
}

func (c *cluster) start(m *member) {
	began := c.now
	if c.defects.voteAfterStart {
		began = began.Add(-daisylog.ElectionMax)
	}
	saved := m.disk.saved
	saved.Entries = slices.Clone(saved.Entries)
	saved.HardState.Won = saved.HardState.Won || c.defects.claimLeadership && saved.HardState.Term > 0
	m.replica = daisylog.New(began, saved, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
	m.state = daisyfleet.State{}
	restored := saved.Snapshot.State
	restored.Revision = saved.Snapshot.Index
	m.state.Restore(restored)
}

func (c *cluster) crash(m *member) {
	if m.replica == nil {
		return
	}
	if n := len(m.disk.saved.Entries); c.defects.countUnsaved && n > 0 {
		m.disk.saved.Entries = m.disk.saved.Entries[:n-1]
	}
	m.replica = nil
}

func (c *cluster) loseDisk(m *member) {
	c.crash(m)
	id := c.newID()
	if c.defects.keepReplicaID {
		id = m.disk.saved.Replica
	}
	m.disk = &disk{}
	m.disk.saved.Replica = id
	c.start(m)
}

// process carries out what Ready returns and checks the invariants.
func (c *cluster) process(m *member) {
	for {
		ready := m.replica.Ready()
		if ready.Empty() {
			break
		}
		m.disk.save(ready, m.replica.HardState(), m.replica.Entries(), c.defects.forgetHardState)
		m.replica.Saved(c.now)
		c.inFlight = append(c.inFlight, ready.Messages...)
		if ready.Snapshot != nil {
			restored := ready.Snapshot.State
			restored.Revision = ready.Snapshot.Index
			m.state.Restore(restored)
		}
		for _, e := range ready.Committed {
			c.commit(m, e)
		}
	}
	if m.replica.Role() == daisylog.Leader {
		c.checkLeader(m.replica.Term(), m.replica.ID())
	}
	c.checkLeases()
}

func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) commit(m *member, e daisylog.Entry) {
	other, ok := c.committed[e.Index]
	if ok && other.Term != e.Term {
		c.addViolation("entry %d was committed in term %d and in term %d", e.Index, other.Term, e.Term)
	}
	c.committed[e.Index] = e
	if e.Change == nil {
		m.state.Skip(e.Index)
		return
	}
	outcome := m.state.Apply(e.Index, *e.Change)
	if m.replica.Role() != daisylog.Leader {
		return
	}
	first, known := c.decided[e.Change.ID]
	if known && first != outcome.Revision {
		c.addViolation("change %s was decided at %d and at %d", e.Change.ID, first, outcome.Revision)
	}
	c.decided[e.Change.ID] = outcome.Revision
}

func (c *cluster) checkLeader(term uint64, id daisylog.ReplicaID) {
	if other, ok := c.leaders[term]; ok && other != id {
		c.addViolation("term %d has leaders %d and %d", term, other, id)
	}
	c.leaders[term] = id
}

// checkLeases checks that at most one replica holds the lease.
func (c *cluster) checkLeases() {
	var holders []daisylog.ReplicaID
	for _, m := range c.members {
		if m.replica != nil && m.replica.HoldsLease(c.now) {
			holders = append(holders, m.replica.ID())
		}
	}
	if len(holders) > 1 {
		c.addViolation("replicas %v hold the lease at once", holders)
	}
}

// deliver delivers the i-th message in flight, or loses it.
func (c *cluster) deliver(i int, lose bool) {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	if lose || c.blocked[[2]daisylog.ReplicaID{m.From, m.To}] {
		return
	}
	for _, to := range c.members {
		if to.replica != nil && to.replica.ID() == m.To {
			to.replica.Step(c.now, m)
			c.process(to)
		}
	}
}

// advance moves the clock in small steps and delivers the messages in flight.
func (c *cluster) advance(d time.Duration, lose float64) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, m := range c.members {
			if m.replica != nil {
				m.replica.Tick(c.now)
				c.process(m)
			}
		}
		for n := len(c.inFlight); n > 0; n-- {
			c.deliver(c.random.IntN(len(c.inFlight)), c.random.Float64() < lose)
		}
		c.join()
	}
}

// join makes detached replicas ask to be added, at random times.
func (c *cluster) join() {
	for _, m := range c.members {
		if m.replica == nil || !m.replica.Detached(c.now) {
			continue
		}
		if c.random.IntN(50) > 0 {
			continue
		}
		for _, to := range c.members {
			if to.replica != nil && to != m {
				to.replica.Step(c.now, daisylog.Join(c.peer(m)))
				c.process(to)
			}
		}
	}
}

func (c *cluster) propose(id string) {
	for _, m := range c.members {
		if m.replica == nil {
			continue
		}
		workspace := daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 1}
		change := daisyfleet.Change{ID: id, Operations: []daisyfleet.Operation{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: id}, Value: workspace,
		}}}
		if _, _, err := m.replica.Propose(c.now, change); err == nil {
			c.process(m)
			return
		}
	}
}

func (c *cluster) compact(m *member) {
	if m.replica == nil {
		return
	}
	index := m.state.Revision()
	if index <= m.replica.Snapshot().Index {
		return
	}
	snapshot := daisylog.Snapshot{Index: index, Term: m.replica.TermAt(index), Configuration: m.replica.ConfigurationAt(index), State: m.state.Snapshot()}
	m.replica.Compact(snapshot)
	m.disk.saved.Snapshot, m.disk.saved.Entries = snapshot, m.replica.Entries()
}

// leader returns the member that holds the lease, or nil.
func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.replica != nil && m.replica.HoldsLease(c.now) {
			return m
		}
	}
	return nil
}

// isolate blocks the messages to and from a member; with oneWay, only those to it.
func (c *cluster) isolate(m *member, oneWay bool) {
	for _, o := range c.members {
		if o == m {
			continue
		}
		a, b := m.disk.saved.Replica, o.disk.saved.Replica
		c.blocked[[2]daisylog.ReplicaID{b, a}] = true
		if !oneWay {
			c.blocked[[2]daisylog.ReplicaID{a, b}] = true
		}
	}
}

func (c *cluster) heal() { clear(c.blocked) }

// voters returns the number of voters in the leader's configuration.
func (c *cluster) voters() int {
	n := 0
	if m := c.leader(); m != nil {
		for _, p := range m.replica.Configuration() {
			if p.Voting {
				n++
			}
		}
	}
	return n
}

// allVoting reports whether every member runs, is reachable and is a voter by a
// committed entry. Only then may a disk be lost: a quorum does not survive the
// loss of its majority, and while a replica is being replaced the configuration
// has one voter less.
func (c *cluster) allVoting() bool {
	leader := c.leader()
	if leader == nil || len(c.blocked) > 0 || c.voters() != len(c.members) {
		return false
	}
	peers := leader.replica.ConfigurationAt(leader.replica.Commit())
	for _, m := range c.members {
		if m.replica == nil || !slices.ContainsFunc(peers, func(p daisylog.Peer) bool { return p.Voting && p.Replica == m.replica.ID() }) {
			return false
		}
	}
	return true
}

// checkDecided checks that the leader's state contains every decided change.
func (c *cluster) checkDecided() {
	m := c.leader()
	if m == nil {
		c.addViolation("no leader after the faults ended")
		return
	}
	for id := range c.decided {
		if _, ok := m.state.Get(daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: id}); !ok {
			c.addViolation("decided change %s is missing", id)
		}
	}
}
