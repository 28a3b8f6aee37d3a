package daisywal_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

const logFile = "control.log"

func entry(index uint64) daisylog.Entry {
	change := daisyfleet.Change{ID: fmt.Sprint(index), Operations: []daisyfleet.Operation{{
		ID:    daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: "w"},
		Value: daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 2},
	}}}
	return daisylog.Entry{Index: index, Term: 1, Change: &change}
}

// newLogFolder returns a folder with a log of three records after the first.
func newLogFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, daisywal.Create(folder, daisylog.Bootstrap(daisylog.Peer{Replica: 7, Name: "c1"})))
	l, _, err := daisywal.Open(folder)
	assert.NilError(t, err)
	for i := range uint64(3) {
		assert.NilError(t, l.Append(&daisylog.HardState{Term: i + 2, Vote: 7, Won: i == 2}, []daisylog.Entry{entry(i + 2)}))
	}
	assert.NilError(t, l.Close())
	return folder
}

func TestReopen(t *testing.T) {
	l, s, err := daisywal.Open(newLogFolder(t))
	assert.NilError(t, err)
	assert.Equal(t, s.Replica, daisylog.ReplicaID(7))
	assert.Equal(t, s.HardState, daisylog.HardState{Term: 4, Vote: 7, Won: true})
	assert.DeepEqual(t, s.Entries, []daisylog.Entry{entry(2), entry(3), entry(4)})
	assert.NilError(t, l.Close())
}

func TestEntriesReplaceLaterOnes(t *testing.T) {
	folder := newLogFolder(t)
	l, _, err := daisywal.Open(folder)
	assert.NilError(t, err)
	replaced := entry(3)
	replaced.Term = 5
	assert.NilError(t, l.Append(nil, []daisylog.Entry{replaced}))
	assert.NilError(t, l.Close())
	l, s, err := daisywal.Open(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Entries, []daisylog.Entry{entry(2), replaced})
	assert.NilError(t, l.Close())
}

// TestTruncationAtEveryByte truncates the file after every byte and checks that all
// complete records are read and that the log can be appended to again.
func TestTruncationAtEveryByte(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(newLogFolder(t), logFile))
	assert.NilError(t, err)
	entries := 0
	for length := len(content); length > 0; length-- {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, logFile), content[:length], 0o600))
		l, s, err := daisywal.Open(folder)
		if err != nil {
			assert.ErrorIs(t, err, daisywal.ErrCorrupt)
			assert.Equal(t, entries, 0, "a log with complete records was rejected")
			continue
		}
		entries = len(s.Entries)
		next := entry(uint64(entries) + 2)
		assert.NilError(t, l.Append(nil, []daisylog.Entry{next}))
		assert.NilError(t, l.Close())
		l, s, err = daisywal.Open(folder)
		assert.NilError(t, err)
		assert.Equal(t, len(s.Entries), entries+1)
		assert.NilError(t, l.Close())
	}
}

// TestFlippedBitIsRejected flips a bit in each byte before the last record and checks
// that acknowledged entries are never dropped silently.
func TestFlippedBitIsRejected(t *testing.T) {
	folder := newLogFolder(t)
	content, err := os.ReadFile(filepath.Join(folder, logFile))
	assert.NilError(t, err)
	l, _, err := daisywal.Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append(nil, []daisylog.Entry{entry(5)}))
	assert.NilError(t, l.Close())
	longer, err := os.ReadFile(filepath.Join(folder, logFile))
	assert.NilError(t, err)
	for i := range content {
		damaged := append([]byte(nil), longer...)
		damaged[i] ^= 0x20
		assert.NilError(t, os.WriteFile(filepath.Join(folder, logFile), damaged, 0o600))
		_, _, err := daisywal.Open(folder)
		assert.ErrorIs(t, err, daisywal.ErrCorrupt, "byte %d", i)
	}
}

func TestReplaceKeepsIdentity(t *testing.T) {
	folder := newLogFolder(t)
	l, s, err := daisywal.Open(folder)
	assert.NilError(t, err)
	snapshot := daisylog.Snapshot{Index: 3, Term: 1, Configuration: s.Snapshot.Configuration, State: daisyfleet.Snapshot{
		Revision: 3, Objects: []daisyfleet.Object{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: "w"}, Revision: 3, Value: daisyfleet.Workspace{Home: "d", Rate: 1, Burst: 2},
		}}, Outcomes: []daisyfleet.Outcome{{ID: "3", Accepted: true, Revision: 3}},
	}}
	assert.NilError(t, l.Replace(s.HardState, snapshot, []daisylog.Entry{entry(4)}))
	assert.NilError(t, l.Append(nil, []daisylog.Entry{entry(5)}))
	assert.NilError(t, l.Close())
	l, s, err = daisywal.Open(folder)
	assert.NilError(t, err)
	assert.Equal(t, s.Replica, daisylog.ReplicaID(7))
	assert.DeepEqual(t, s.Snapshot, snapshot, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.DeepEqual(t, s.Entries, []daisylog.Entry{entry(4), entry(5)})
	assert.NilError(t, l.Close())
}

func TestCreateRejectsExisting(t *testing.T) {
	err := daisywal.Create(newLogFolder(t), daisylog.Bootstrap(daisylog.Peer{Replica: 8}))
	assert.ErrorIs(t, err, daisywal.ErrExists)
}

// Guards against a control log that its own writer cannot read again: a name that is not
// UTF-8 was written, and then refused as damage at each start.
func TestUnreadableNameIsReadAgain(t *testing.T) {
	folder := newLogFolder(t)
	l, _, err := daisywal.Open(folder)
	assert.NilError(t, err)
	named := entry(5)
	named.Change.Operations[0].Name = "\xff\xfe"
	assert.NilError(t, l.Append(nil, []daisylog.Entry{named, entry(6)}))
	assert.NilError(t, l.Close())
	l, s, err := daisywal.Open(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Entries[3:], []daisylog.Entry{named, entry(6)})
	assert.NilError(t, l.Close())
}
