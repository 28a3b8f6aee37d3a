package daisycodec_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// stepped is a replica that is given messages from outside. It checks what each of them
// leaves.
type stepped struct {
	replica *daisylog.Replica
	now     time.Time
	state   daisyfleet.State
	commit  uint64
	last    uint64 // Index of the last entry that was saved.
}

// newStepped returns a replica of a group of three with some entries. If leads, it leads.
func newStepped(leads bool) *stepped {
	var peers []daisylog.Peer
	for i := range 3 {
		peers = append(peers, daisylog.Peer{Replica: daisylog.ReplicaID(i + 1), Name: fmt.Sprint("c", i+1), Address: addr})
	}
	saved := daisylog.BootstrapGroup(1, peers)
	for i := range 4 {
		saved.Entries = append(saved.Entries, daisylog.Entry{Index: uint64(i + 2), Term: 1})
	}
	s := &stepped{now: time.Unix(1_000_000, 0)}
	s.replica = daisylog.New(s.now, saved, rand.New(rand.NewPCG(1, 2)))
	s.commit, s.last = s.replica.Commit(), 5
	if leads {
		s.now = s.now.Add(daisylog.ElectionMax)
		s.replica.Tick(s.now)
		for _, kind := range []daisylog.MessageKind{daisylog.KindPreVoteReply, daisylog.KindVoteReply} {
			s.replica.Step(s.now, daisylog.Message{Kind: kind, From: 2, Term: s.replica.Term()})
		}
	}
	return s
}

// step passes the encoded message to the replica if the decoder accepts it, and carries
// out what follows as daisyconsensus does.
func (s *stepped) step(b []byte) error {
	if m, err := daisycodec.DecodeLogMessage(b); err == nil {
		return s.take(m)
	}
	return nil
}

func (s *stepped) take(m daisylog.Message) error {
	s.now = s.now.Add(50 * time.Millisecond)
	s.replica.Step(s.now, m)
	if err := s.process(); err != nil {
		return err
	}
	s.now = s.now.Add(200 * time.Millisecond)
	s.replica.Tick(s.now)
	return s.process()
}

func (s *stepped) process() error {
	for {
		ready := s.replica.Ready()
		if ready.Empty() {
			return nil
		}
		if ready.Snapshot != nil {
			s.last = ready.Snapshot.Index
			state := ready.Snapshot.State
			state.Revision = ready.Snapshot.Index
			s.state.Restore(state)
		}
		for _, e := range ready.Entries {
			if e.Index > s.last+1 {
				return fmt.Errorf("entry %d is saved after entry %d", e.Index, s.last)
			}
			s.last = e.Index
		}
		s.replica.Saved(s.now)
		for _, e := range ready.Committed {
			if e.Change != nil {
				s.state.Apply(e.Index, *e.Change)
			}
		}
		if s.replica.Commit() < s.commit {
			return fmt.Errorf("commit index fell from %d to %d", s.commit, s.replica.Commit())
		}
		s.commit = s.replica.Commit()
		for _, m := range ready.Messages {
			m.Address = addr
			if _, err := daisycodec.DecodeLogMessage(daisycodec.EncodeLogMessage(m)); err != nil {
				return fmt.Errorf("own message %v: %w", m.Kind, err)
			}
		}
	}
}

var numbers = rapid.OneOf(
	rapid.Uint64Range(0, 8),
	rapid.SampledFrom([]uint64{math.MaxUint64, math.MaxUint64 - 1, math.MaxInt64, math.MaxInt64 + 1, 1 << 62, 1 << 61}),
)

func drawPeer(t *rapid.T) daisylog.Peer {
	p := daisylog.Peer{
		Replica: daisylog.ReplicaID(rapid.Uint64Range(0, 5).Draw(t, "replica")),
		Name:    rapid.SampledFrom([]string{"", "c1", "c2", "c9"}).Draw(t, "name"), Voting: rapid.Bool().Draw(t, "voting"),
	}
	if rapid.Bool().Draw(t, "addressed") {
		p.Address = addr
	}
	return p
}

// drawMessage returns a message that may be of any kind, mostly near those that a replica
// expects.
func drawMessage(t *rapid.T, term uint64) daisylog.Message {
	kinds := []daisylog.MessageKind{
		daisylog.KindPreVote, daisylog.KindPreVoteReply, daisylog.KindVote, daisylog.KindVoteReply, daisylog.KindAppend,
		daisylog.KindAppendReply, daisylog.KindSnapshot, daisylog.KindJoin, daisylog.KindResign, "Other",
	}
	m := daisylog.Message{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), From: daisylog.ReplicaID(rapid.Uint64Range(0, 4).Draw(t, "from")),
		To: 1, Term: term, Index: numbers.Draw(t, "index"), LogTerm: numbers.Draw(t, "log term"), Commit: numbers.Draw(t, "commit"),
		Reject: rapid.Bool().Draw(t, "reject"), Round: numbers.Draw(t, "round"),
	}
	if rapid.Bool().Draw(t, "other term") {
		m.Term = numbers.Draw(t, "term")
	}
	contiguous := rapid.Bool().Draw(t, "contiguous")
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		e := daisylog.Entry{Index: m.Index + 1 + uint64(i), Term: m.Term}
		if !contiguous {
			e.Index, e.Term = numbers.Draw(t, "entry"), numbers.Draw(t, "entry term")
		}
		if rapid.IntRange(0, 3).Draw(t, "configured") == 0 {
			e.Configuration = rapid.SliceOfN(rapid.Custom(drawPeer), 1, 4).Draw(t, "seats")
		}
		m.Entries = append(m.Entries, e)
	}
	if rapid.Bool().Draw(t, "named") {
		p := drawPeer(t)
		m.Peer = &p
	}
	if rapid.Bool().Draw(t, "image") {
		m.Snapshot = &daisylog.Snapshot{
			Index: numbers.Draw(t, "image index"), Term: numbers.Draw(t, "image term"),
			Configuration: rapid.SliceOfN(rapid.Custom(drawPeer), 0, 4).Draw(t, "image seats"),
		}
	}
	return m
}

// Guards against a replica that ends, or saves a log with a gap, since another program
// sent it a message that no replica sends.
func TestAnyMessageIsSurvived(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("Leads=", leads), rapid.MakeCheck(func(t *rapid.T) {
			s := newStepped(leads)
			for range rapid.IntRange(1, 12).Draw(t, "messages") {
				assert.NilError(t, s.step(daisycodec.EncodeLogMessage(drawMessage(t, s.replica.Term()))))
			}
		}))
	}
}

// FuzzStep passes two messages to a follower and to a leader.
func FuzzStep(f *testing.F) {
	c, snap := change(), snapshot()
	append1 := daisycodec.EncodeLogMessage(daisylog.Message{Kind: daisylog.KindAppend, From: 2, Term: 2, Index: 5, LogTerm: 1, Commit: 6, Entries: []daisylog.Entry{{Index: 6, Term: 2, Change: &c}}})
	image := daisycodec.EncodeLogMessage(daisylog.Message{Kind: daisylog.KindSnapshot, From: 2, Term: 3, Snapshot: &snap})
	join := daisycodec.EncodeLogMessage(daisylog.Join(daisylog.Peer{Replica: 9, Name: "c9", Address: addr}))
	reply := daisycodec.EncodeLogMessage(daisylog.Message{Kind: daisylog.KindAppendReply, From: 2, Term: 2, Index: 6, Round: 1})
	f.Add(append1, image)
	f.Add(join, reply)
	f.Add(reply, append1)
	f.Fuzz(func(t *testing.T, a, b []byte) {
		for _, leads := range []bool{false, true} {
			s := newStepped(leads)
			assert.NilError(t, s.step(a))
			assert.NilError(t, s.step(b))
		}
	})
}
