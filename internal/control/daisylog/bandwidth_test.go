package daisylog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	slowRate     = 250_000 // Bytes a second.
	slowLatency  = 20 * time.Millisecond
	slowQueue    = 64 // Messages; further ones are lost.
	documentSize = 100_000
)

// slowLink delivers messages in order, at slowRate.
type slowLink struct {
	queue []daisylog.Message
	done  []time.Time // When each of them has arrived.
	free  time.Time   // When all that was sent has left.
	bytes int         // Sent so far.
}

// slowLinks replaces the network of a cluster by one with such links.
type slowLinks struct {
	*cluster
	links map[[2]daisylog.ReplicaID]*slowLink
}

func (s *slowLinks) send(m daisylog.Message) {
	key := [2]daisylog.ReplicaID{m.From, m.To}
	l := s.links[key]
	if l == nil {
		l = &slowLink{}
		s.links[key] = l
	}
	if len(l.queue) >= slowQueue || s.blocked[key] {
		return
	}
	size := len(daisycodec.EncodeLogMessage(m))
	if l.free.Before(s.now) {
		l.free = s.now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / slowRate)
	l.bytes += size
	l.queue, l.done = append(l.queue, m), append(l.done, l.free.Add(slowLatency))
}

func (s *slowLinks) advance(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, m := range s.members {
			m.replica.Tick(s.now)
			s.process(m)
		}
		s.flush()
		for _, from := range s.members { // In a fixed order.
			for _, to := range s.members {
				s.receive(s.links[[2]daisylog.ReplicaID{from.replica.ID(), to.replica.ID()}])
			}
		}
	}
}

func (s *slowLinks) receive(l *slowLink) {
	for l != nil && len(l.queue) > 0 && !l.done[0].After(s.now) {
		s.inFlight = append(s.inFlight, l.queue[0])
		l.queue, l.done = l.queue[1:], l.done[1:]
		s.deliver(len(s.inFlight)-1, false)
		s.flush()
	}
}

func (s *slowLinks) flush() {
	for _, m := range s.inFlight {
		s.send(m)
	}
	s.inFlight = nil
}

// put proposes a desired state and reports whether there is a leader.
func (s *slowLinks) put(version int) bool {
	m := s.leader()
	if m == nil {
		return false
	}
	id := daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}
	o, _ := m.state.Get(id)
	value := daisyfleet.Document{Version: uint64(version), Content: string(make([]byte, documentSize))}
	_, _, err := m.replica.Propose(s.now, daisyfleet.Change{ID: fmt.Sprint("v", version), Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: value}}})
	s.process(m)
	return err == nil
}

func newSlowLinks(t *testing.T, seed uint64) *slowLinks {
	return &slowLinks{cluster: newFormedCluster(t, seed, 3), links: make(map[[2]daisylog.ReplicaID]*slowLink)}
}

// Guards against a follower that never catches up, since all that it lacks is sent in one
// message and again with each heartbeat.
func TestFollowerCatchesUpOverSlowLink(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("Seed=", seed), func(t *testing.T) {
			s := newSlowLinks(t, seed)
			leader, behind := s.leader(), s.follower()
			const documents = 40
			s.isolate(behind, false)
			for i := range documents {
				assert.Assert(t, s.put(i+1))
				s.advance(2 * time.Second)
			}
			assert.Equal(t, s.leader(), leader)
			link := s.links[[2]daisylog.ReplicaID{leader.replica.ID(), behind.replica.ID()}]
			*link = slowLink{}
			s.heal()
			s.advance(2 * documents * documentSize * time.Second / slowRate)
			assert.Equal(t, behind.replica.Commit(), leader.replica.Commit())
			assert.Check(t, link.bytes < 3*documents*documentSize/2, "%d bytes were sent", link.bytes)
			assert.Equal(t, s.leader(), leader)
			assert.DeepEqual(t, s.violations, []string(nil))
		})
	}
}

// Guards against entries that are sent again while they are on their way.
func TestEntriesAreSentOnce(t *testing.T) {
	s := newSlowLinks(t, 1)
	leader := s.leader()
	s.advance(time.Second)
	before := make(map[[2]daisylog.ReplicaID]int)
	for key, l := range s.links {
		before[key] = l.bytes
	}
	assert.Assert(t, s.put(1))
	s.advance(5 * time.Second)
	assert.Equal(t, s.leader(), leader)
	for key, l := range s.links {
		assert.Check(t, l.bytes-before[key] < 3*documentSize/2, "%d bytes were sent", l.bytes-before[key])
	}
}

// Guards against a new leader whose first messages carry no entry, since it counts as on
// their way what the others have had for long.
func TestNewLeaderSendsItsFirstEntryAtOnce(t *testing.T) {
	peers := []daisylog.Peer{{Replica: 1, Name: "c1"}, {Replica: 2, Name: "c2"}, {Replica: 3, Name: "c3"}}
	saved := daisylog.BootstrapGroup(1, peers)
	const documents = 4
	for i := range uint64(documents) {
		value := daisyfleet.Document{Version: i + 1, Content: string(make([]byte, documentSize))}
		saved.Entries = append(saved.Entries, daisylog.Entry{Index: i + 2, Term: 1, Change: &daisyfleet.Change{ID: fmt.Sprint(i), Operations: []daisyfleet.Operation{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}, Value: value,
		}}}})
	}
	now := time.Unix(0, 0)
	r := daisylog.New(now, saved, rand.New(rand.NewPCG(1, 1)))
	now = now.Add(daisylog.ElectionMax)
	r.Tick(now)
	sent := 0
	for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
		for _, m := range ready.Messages {
			switch m.Kind {
			case daisylog.KindPreVote:
				r.Step(now, daisylog.Message{Kind: daisylog.KindPreVoteReply, From: m.To, To: 1, Term: m.Term})
			case daisylog.KindVote:
				r.Step(now, daisylog.Message{Kind: daisylog.KindVoteReply, From: m.To, To: 1, Term: m.Term})
			case daisylog.KindAppend:
				sent++
				assert.Equal(t, len(m.Entries), 1)
				assert.Equal(t, m.Entries[0].Index, uint64(documents+2))
			}
		}
	}
	assert.Equal(t, sent, len(peers)-1)
}
