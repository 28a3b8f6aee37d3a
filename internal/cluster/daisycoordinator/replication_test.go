package daisycoordinator

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// recordingLink records what is sent to a host.
type recordingLink struct {
	bytes   int
	deltas  []*daisyfleet.Delta
	replies []daisyheartbeat.Reply
}

func (l *recordingLink) Send(_ context.Context, message []byte) error {
	m, err := daisycodec.DecodeServerMessage(message)
	if err != nil {
		return err
	}
	l.bytes += len(message)
	if m.Reply.Delta != nil {
		l.deltas = append(l.deltas, m.Reply.Delta)
	} else {
		l.replies = append(l.replies, *m.Reply)
	}
	return nil
}

// putDocument stores a desired state of some size that does not compress.
func putDocument(t *testing.T, v *daisyfleet.View, version uint64) {
	content := make([]byte, 15_000)
	source := rand.NewChaCha8([32]byte{byte(version)})
	_, _ = source.Read(content)
	assert.NilError(t, v.Update(func(s *daisyfleet.State) error {
		id := daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}
		o, _ := s.Get(id)
		s.Apply(s.Revision()+1, daisyfleet.Change{Operations: []daisyfleet.Operation{
			{ID: id, ExpectedRevision: o.Revision, Value: daisyfleet.Document{Version: version, Content: string(content)}},
		}})
		return nil
	}))
}

// Guards against links that fill up with copies of a desired state: while one is on
// its way to a host, each heartbeat of the host, which it sends several times a second
// to request tokens, states the revision before.
func TestDeltaOnItsWayIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := daisyfleet.NewView()
		putDocument(t, view, 1)
		link := &recordingLink{}
		r := &replication{coordinator: &Coordinator{view: view}, link: link}
		held := view.Revision()
		assert.NilError(t, r.answer(t.Context(), held, daisyheartbeat.Reply{ID: 1}))
		assert.Equal(t, len(link.deltas), 0)
		for version := range uint64(4) {
			putDocument(t, view, 2+version)
			_, err := r.push(t.Context())
			assert.NilError(t, err)
		}
		for id := range uint64(20) { // The host receives nothing yet.
			assert.NilError(t, r.answer(t.Context(), held, daisyheartbeat.Reply{ID: 2 + id}))
			time.Sleep(60 * time.Millisecond)
		}
		assert.Equal(t, len(link.deltas), 4)
		assert.Assert(t, link.bytes < 5*15_000, "%d bytes sent", link.bytes)
		for _, reply := range link.replies[1:] {
			assert.Equal(t, reply.Revision, view.Revision())
		}
		// What the host never received is sent again.
		time.Sleep(resendDelay)
		assert.NilError(t, r.answer(t.Context(), held, daisyheartbeat.Reply{ID: 30}))
		assert.Equal(t, len(link.deltas), 5)
		last := link.deltas[4]
		assert.Assert(t, last.From <= held && last.To == view.Revision())
	})
}

// Deltas and replies arrive in an order in which each can be merged, from any revision
// and while the state changes.
func TestReplicationIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view, host := daisyfleet.NewView(), daisyfleet.NewView()
		link := &recordingLink{}
		r := &replication{coordinator: &Coordinator{view: view}, link: link}
		merged := 0
		for step := range uint64(40) {
			putDocument(t, view, 1+step)
			if step%3 == 0 {
				_, err := r.push(t.Context())
				assert.NilError(t, err)
			}
			if step%4 == 0 {
				assert.NilError(t, r.answer(t.Context(), host.Revision(), daisyheartbeat.Reply{ID: 1 + step}))
			}
			for ; step%5 == 0 && merged < len(link.deltas); merged++ { // The host receives late.
				d := link.deltas[merged]
				assert.NilError(t, host.Update(func(s *daisyfleet.State) error { return s.Merge(*d) }))
			}
		}
		assert.NilError(t, r.answer(t.Context(), host.Revision(), daisyheartbeat.Reply{ID: 100}))
		for ; merged < len(link.deltas); merged++ {
			d := link.deltas[merged]
			assert.NilError(t, host.Update(func(s *daisyfleet.State) error { return s.Merge(*d) }))
		}
		assert.Equal(t, host.Revision(), view.Revision())
		document, ok := host.Document()
		assert.Assert(t, ok)
		assert.Equal(t, document.Version, uint64(40))
	})
}
