package daisystorage_test

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisystorage"
	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

const (
	logFile     = "control.log"
	joinsFile   = "control.joins"
	damagedFile = "control.log.damaged"
)

// bootstrap is the state of a host that bootstraps a fleet.
var bootstrap = daisylog.Bootstrap(daisylog.Peer{Replica: 8, Name: "c1", Address: netip.MustParseAddrPort("10.0.0.1:7000")})

func newStorage(folder string) (*daisystorage.Storage, *memory.Handler) {
	handler := memory.New()
	return daisystorage.New(daisystorage.Options{Folder: folder, Initial: bootstrap, Log: &log.Logger{Handler: handler, Level: log.InfoLevel}}), handler
}

// Guards against a host that bootstraps a fleet, or goes on with its former identity, after
// its log was damaged: at whatever point the change to a new log was interrupted.
func TestInterruptedSetAside(t *testing.T) {
	tests := []struct {
		name  string
		files []string // Those that are there, besides the damaged log.
		kept  bool     // Whether the damaged log still has its name.
	}{
		{"Before", nil, true},
		{"MarkWritten", []string{joinsFile}, true},
		{"SetAside", []string{joinsFile, damagedFile}, false},
		{"OldNameGoneFirst", []string{joinsFile}, false},
		{"NewNameThereFirst", []string{joinsFile, damagedFile}, true},
		{"SecondTime", []string{joinsFile, damagedFile}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			for _, name := range test.files {
				assert.NilError(t, os.WriteFile(filepath.Join(folder, name), nil, 0o600))
			}
			if test.kept {
				assert.NilError(t, os.WriteFile(filepath.Join(folder, logFile), []byte("damaged"), 0o600))
			}
			for range 2 { // The second start reads what the first one created.
				s, _ := newStorage(folder)
				_, saved, err := s.Open()
				assert.NilError(t, err)
				assert.Equal(t, saved.Replica&1, daisylog.ReplicaID(1), "a random identity is odd")
				assert.Equal(t, len(saved.Snapshot.Configuration), 0)
				assert.Equal(t, saved.HardState, daisylog.HardState{})
				assert.NilError(t, s.Close())
			}
			if test.kept {
				content, err := os.ReadFile(filepath.Join(folder, damagedFile))
				assert.NilError(t, err)
				assert.Equal(t, string(content), "damaged")
			}
		})
	}
}

// A host without a log starts with its initial state, and finds it again.
func TestFirstStart(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		s, lines := newStorage(folder)
		_, saved, err := s.Open()
		assert.NilError(t, err)
		assert.Equal(t, saved.Replica, bootstrap.Replica)
		assert.Equal(t, len(saved.Snapshot.Configuration), 1)
		assert.NilError(t, s.Close())
		assert.Equal(t, len(lines.Entries), 0)
	}
}

// A log that was damaged keeps its name while the disk refuses the mark.
func TestDamagedLogStaysWithoutMark(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, logFile), []byte("damaged"), 0o600))
	assert.NilError(t, os.MkdirAll(filepath.Join(folder, joinsFile), 0o700)) // Cannot be written.
	s, _ := newStorage(folder)
	for range 3 {
		_, _, err := s.Open()
		assert.ErrorContains(t, err, "set the damaged control log aside")
	}
	_, err := os.Stat(filepath.Join(folder, logFile))
	assert.NilError(t, err)
	assert.NilError(t, os.Remove(filepath.Join(folder, joinsFile)))
	_, saved, err := s.Open()
	assert.NilError(t, err)
	assert.Assert(t, saved.Replica != bootstrap.Replica)
	assert.NilError(t, s.Close())
}

// A log that is opened after the storage was closed, since the disk did not answer before, is
// closed too.
func TestOpenAfterClose(t *testing.T) {
	s, _ := newStorage(t.TempDir())
	assert.NilError(t, s.Close())
	_, _, err := s.Open()
	assert.ErrorContains(t, err, "closed")
}

// A log that is opened again after a failure has what was written before.
func TestOpenAgain(t *testing.T) {
	s, _ := newStorage(t.TempDir())
	wal, saved, err := s.Open()
	assert.NilError(t, err)
	assert.NilError(t, wal.Append(&daisylog.HardState{Term: 3}, nil))
	assert.NilError(t, wal.(*daisywal.Log).Close()) // Makes the next write fail.
	assert.Assert(t, wal.Append(&daisylog.HardState{Term: 4}, nil) != nil)
	_, again, err := s.Open()
	assert.NilError(t, err)
	assert.Equal(t, again.Replica, saved.Replica)
	assert.Equal(t, again.HardState.Term, uint64(3))
	assert.NilError(t, s.Close())
}

// Guards against a whole log that is set aside since this version cannot read it.
func TestUnreadableLogIsLeftAlone(t *testing.T) {
	folder := t.TempDir()
	s, lines := newStorage(folder)
	_, _, err := s.Open()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	path := filepath.Join(folder, logFile)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	payload, table := []byte("of a later version"), crc32.MakeTable(crc32.Castagnoli)
	header := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(payload, table))
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(header, table))
	content = append(append(content, header...), payload...)
	assert.NilError(t, os.WriteFile(path, content, 0o600))

	s, _ = newStorage(folder)
	for range 2 {
		_, _, err = s.Open()
		assert.ErrorIs(t, err, daisywal.ErrUnreadable)
	}
	kept, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, kept, content)
	files, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	assert.Equal(t, len(lines.Entries), 0)
	assert.NilError(t, s.Close())
}

// Guards against a replica that forgets what it acknowledged and goes on under the same
// identity: its log is missing when it is opened again while the host runs, as below a
// mount point whose disk failed.
func TestLogMissingWhenOpenedAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	s, _ := newStorage(folder)
	wal, saved, err := s.Open()
	assert.NilError(t, err)
	assert.NilError(t, wal.Append(&daisylog.HardState{Term: 3, Vote: 8}, nil))
	assert.NilError(t, os.Rename(folder, folder+".away"))
	for range 2 {
		_, _, err = s.Open()
		assert.ErrorIs(t, err, daisywal.ErrNotFound)
	}
	assert.NilError(t, os.Rename(folder+".away", folder))
	_, again, err := s.Open()
	assert.NilError(t, err)
	assert.Equal(t, again.Replica, saved.Replica)
	assert.Equal(t, again.HardState, daisylog.HardState{Term: 3, Vote: 8})
	assert.NilError(t, s.Close())
}
