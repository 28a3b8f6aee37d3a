package daisyentry_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Guards against a session whose profile moves to another database: it took its position in
// the log of one database for one in that of the other, and lost its transaction.
func TestPositionsAreOfOneDatabase(t *testing.T) {
	at := func(offset uint64) daisystream.Position { return daisystream.Position{Term: 1, Offset: offset} }
	none := daisystream.Position{}
	tests := []struct {
		database    string             // Of the profile.
		status      daisystream.Status // Of the answer.
		answered    daisystream.Position
		minPosition daisystream.Position // Expected of the request.
		newSession  bool
	}{
		{"db", daisystream.StatusIdle, at(7), none, true},
		{"db", daisystream.StatusIdle, at(8), at(7), false},
		{"db2", daisystream.StatusIdle, at(2), none, true},
		{"db", daisystream.StatusOpen, at(8), at(8), false},
		{"db2", daisystream.StatusIdle, at(9), at(8), false}, // The end of the transaction on db.
		{"db2", daisystream.StatusIdle, at(3), at(2), false},
		{"db", daisystream.StatusIdle, at(9), at(9), false},
		{"db2", daisystream.StatusIdle, at(3), at(3), false},
	}
	step := 0
	h := &fakeHolder{answer: func(_ *daisystream.Request, emit func(*daisystream.Answer) error) error {
		ready, _ := (&pgproto3.ReadyForQuery{TxStatus: byte(tests[step].status)}).Encode(nil)
		return emit(&daisystream.Answer{Final: true, Status: tests[step].status, Bytes: ready, MinPosition: tests[step].answered})
	}}
	view := daisyfleet.NewView()
	s := openServerOn(t, daisynet.TCP{}, view, h)
	revision := uint64(1)
	put := func(id daisyfleet.ID, v daisyfleet.Value) {
		o := daisyfleet.Object{ID: id, Revision: revision + 1, Value: v}
		assert.NilError(t, view.Update(func(s *daisyfleet.State) error {
			return s.Merge(daisyfleet.Delta{From: revision, To: revision + 1, Objects: []daisyfleet.Object{o}})
		}))
		revision++
	}
	put(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "db2"}, daisyfleet.Ownership{Term: 4, Holder: "h"})
	c := dial(t, s)
	c.login()
	for i, test := range tests {
		step = i
		put(daisyfleet.ID{Kind: daisyfleet.KindProfile, Name: "p"}, daisyfleet.Profile{Database: test.database, Wait: 100 * time.Millisecond})
		c.send(&pgproto3.Query{String: "SELECT 1"})
		c.until(isReady)
		assert.Equal(t, len(h.requests), i+1, "step %d was not run", i)
		r := h.last()
		assert.Equal(t, r.MinPosition, test.minPosition, "step %d", i)
		assert.Equal(t, r.NewSession, test.newSession, "step %d", i)
	}
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, s.Close())
}
