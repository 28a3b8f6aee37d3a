package daisylog_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// disk is what a replica has saved. Breaks switch off what it promises.
type disk struct {
	saved daisylog.PersistedState
}

func (d *disk) save(r daisylog.Ready, ballot daisylog.HardState, entries []daisylog.Entry, forgetBallot bool) {
	if r.Snapshot != nil {
		d.saved.Snapshot, d.saved.Entries = *r.Snapshot, slices.Clone(entries)
	}
	if r.HardState != nil && !forgetBallot {
		d.saved.HardState = *r.HardState
	}
	if r.Snapshot != nil && !forgetBallot {
		d.saved.HardState = ballot
	}
	for _, e := range r.Entries {
		d.saved.Entries = append(d.saved.Entries[:e.Index-d.saved.Snapshot.Index-1], e)
	}
}

// member is a control host of the cluster.
type member struct {
	name    string
	disk    *disk
	replica *daisylog.Replica // Nil while it is down.
	state   daisyfleet.State
}

// breaks switches single mechanisms off, to show that the checks notice.
type breaks struct {
	forgetBallot bool // The disk loses the ballot.
	keepIdentity bool // A host that lost its disk keeps its identity and vote.
	earlyVote    bool // A replica votes at once after a start.
	falseWinner  bool // A replica that restarts says that it had led.
	ackUnsaved   bool // Entries count before they are saved, and a crash loses them.
}

// cluster is a set of replicas with messages in flight, on an explicit clock.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	members  []*member
	inFlight []daisylog.Message
	cut      map[[2]daisylog.ReplicaID]bool
	nextID   daisylog.ReplicaID
	breaks   breaks

	leaders   map[uint64]daisylog.ReplicaID // By term.
	committed map[uint64]daisylog.Entry     // By index.
	acked     map[string]uint64             // Change ID to index, as its proposer learned.
	faults    []string
}

func newCluster(seed uint64, names int, b breaks) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), breaks: b,
		cut:     make(map[[2]daisylog.ReplicaID]bool),
		leaders: make(map[uint64]daisylog.ReplicaID), committed: make(map[uint64]daisylog.Entry),
		acked: make(map[string]uint64),
	}
	for i := range names {
		m := &member{name: fmt.Sprintf("c%d", i+1), disk: &disk{}}
		m.disk.saved.Replica = c.newID()
		if i == 0 {
			m.disk.saved = daisylog.Bootstrap(c.seat(m))
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

func (c *cluster) seat(m *member) daisylog.Peer {
	return daisylog.Peer{Replica: m.disk.saved.Replica, Name: m.name, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 1)}
}

func (c *cluster) start(m *member) {
	began := c.now
	if c.breaks.earlyVote {
		began = began.Add(-daisylog.ElectionMax)
	}
	saved := m.disk.saved
	saved.Entries = slices.Clone(saved.Entries)
	saved.HardState.Won = saved.HardState.Won || c.breaks.falseWinner && saved.HardState.Term > 0
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
	if n := len(m.disk.saved.Entries); c.breaks.ackUnsaved && n > 0 {
		m.disk.saved.Entries = m.disk.saved.Entries[:n-1]
	}
	m.replica = nil
}

func (c *cluster) loseDisk(m *member) {
	c.crash(m)
	id := c.newID()
	if c.breaks.keepIdentity {
		id = m.disk.saved.Replica
	}
	m.disk = &disk{}
	m.disk.saved.Replica = id
	c.start(m)
}

// settle carries out what the replica wants and checks what it claims.
func (c *cluster) settle(m *member) {
	for {
		ready := m.replica.Ready()
		if ready.Empty() {
			break
		}
		m.disk.save(ready, m.replica.HardState(), m.replica.Entries(), c.breaks.forgetBallot)
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

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) commit(m *member, e daisylog.Entry) {
	held, ok := c.committed[e.Index]
	if ok && held.Term != e.Term {
		c.fault("entry %d was committed in term %d and in term %d", e.Index, held.Term, e.Term)
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
	first, known := c.acked[e.Change.ID]
	if known && first != outcome.Revision {
		c.fault("change %s was decided at %d and at %d", e.Change.ID, first, outcome.Revision)
	}
	c.acked[e.Change.ID] = outcome.Revision
}

func (c *cluster) checkLeader(term uint64, id daisylog.ReplicaID) {
	if other, ok := c.leaders[term]; ok && other != id {
		c.fault("term %d has leaders %d and %d", term, other, id)
	}
	c.leaders[term] = id
}

// checkLeases checks that at most one replica is certain to lead.
func (c *cluster) checkLeases() {
	var holding []daisylog.ReplicaID
	for _, m := range c.members {
		if m.replica != nil && m.replica.HoldsLease(c.now) {
			holding = append(holding, m.replica.ID())
		}
	}
	if len(holding) > 1 {
		c.fault("replicas %v hold the lease at once", holding)
	}
}

// deliver hands over the i-th message in flight, or loses it.
func (c *cluster) deliver(i int, lose bool) {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	if lose || c.cut[[2]daisylog.ReplicaID{m.From, m.To}] {
		return
	}
	for _, to := range c.members {
		if to.replica != nil && to.replica.ID() == m.To {
			to.replica.Step(c.now, m)
			c.settle(to)
		}
	}
}

// advance lets time pass in small steps, delivering what is in flight.
func (c *cluster) advance(d time.Duration, lose float64) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, m := range c.members {
			if m.replica != nil {
				m.replica.Tick(c.now)
				c.settle(m)
			}
		}
		for n := len(c.inFlight); n > 0; n-- {
			c.deliver(c.random.IntN(len(c.inFlight)), c.random.Float64() < lose)
		}
		c.join()
	}
}

// join lets members without a seat ask for one.
func (c *cluster) join() {
	for _, m := range c.members {
		if m.replica == nil || slices.ContainsFunc(m.replica.Configuration(), func(s daisylog.Peer) bool { return s.Replica == m.replica.ID() }) {
			continue
		}
		if c.random.IntN(50) > 0 {
			continue
		}
		for _, to := range c.members {
			if to.replica != nil && to != m {
				to.replica.Step(c.now, daisylog.Join(c.seat(m)))
				c.settle(to)
			}
		}
	}
}

func (c *cluster) propose(id string) {
	for _, m := range c.members {
		if m.replica == nil {
			continue
		}
		profile := daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 1}
		change := daisyfleet.Change{ID: id, Operations: []daisyfleet.Operation{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: id}, Value: profile,
		}}}
		if _, _, err := m.replica.Propose(c.now, change); err == nil {
			c.settle(m)
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
	img := daisylog.Snapshot{Index: index, Term: m.replica.TermAt(index), Configuration: m.replica.ConfigurationAt(index), State: m.state.Snapshot()}
	m.replica.Compact(img)
	m.disk.saved.Snapshot, m.disk.saved.Entries = img, m.replica.Entries()
}

// leader returns the member that is certain to lead, or nil.
func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.replica != nil && m.replica.HoldsLease(c.now) {
			return m
		}
	}
	return nil
}

// isolate cuts a member off in both directions; oneWay leaves what it sends.
func (c *cluster) isolate(m *member, oneWay bool) {
	for _, o := range c.members {
		if o == m {
			continue
		}
		a, b := m.disk.saved.Replica, o.disk.saved.Replica
		c.cut[[2]daisylog.ReplicaID{b, a}] = true
		if !oneWay {
			c.cut[[2]daisylog.ReplicaID{a, b}] = true
		}
	}
}

func (c *cluster) heal() { clear(c.cut) }

// voters returns how many seats of the leader's configuration vote.
func (c *cluster) voters() int {
	n := 0
	if m := c.leader(); m != nil {
		for _, s := range m.replica.Configuration() {
			if s.Voting {
				n++
			}
		}
	}
	return n
}

// whole reports whether every member runs, is reachable and has its vote by a
// committed entry. Only then may a disk be lost: a quorum cannot outlive the
// loss of its majority, and while a seat is being replaced two voters are one.
func (c *cluster) whole() bool {
	lead := c.leader()
	if lead == nil || len(c.cut) > 0 || c.voters() != len(c.members) {
		return false
	}
	seats := lead.replica.ConfigurationAt(lead.replica.Commit())
	for _, m := range c.members {
		if m.replica == nil || !slices.ContainsFunc(seats, func(s daisylog.Peer) bool { return s.Voting && s.Replica == m.replica.ID() }) {
			return false
		}
	}
	return true
}

// checkAcked checks that every decided change is held by the leader.
func (c *cluster) checkAcked() {
	m := c.leader()
	if m == nil {
		c.fault("no leader after the faults were over")
		return
	}
	for id := range c.acked {
		if _, ok := m.state.Get(daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: id}); !ok {
			c.fault("decided change %s is gone", id)
		}
	}
}
