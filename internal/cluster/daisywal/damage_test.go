package daisywal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// newTestLog returns a disk with a log that has an entry, and the log's content.
func newTestLog(t *testing.T) (d *disk, content []byte) {
	t.Helper()
	d = newDisk(1, nil)
	assert.NilError(t, create(d, testFolder, daisylog.Bootstrap(daisylog.Peer{Replica: 7, Name: "c1"})))
	l, _, err := open(d, testFolder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append(&daisylog.HardState{Term: 2, Vote: 7}, []daisylog.Entry{testEntry(2, 300)}))
	content, err = d.readFile(testPath)
	assert.NilError(t, err)
	return d, content
}

// frame returns a record with checksums that match.
func frame(payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, payload...)
}

// Guards against a log of another version that is taken for a damaged one, which a host
// may replace.
func TestLogOfOtherVersionIsNotDamaged(t *testing.T) {
	_, content := newTestLog(t)
	tests := []struct {
		name    string
		content []byte
	}{
		{"First", frame([]byte("not a record"))},
		{"Last", append(bytes.Clone(content), frame([]byte("not a record"))...)},
		{"Empty", append(bytes.Clone(content), frame(nil)...)},
		{"Between", append(append(bytes.Clone(content), frame([]byte("not a record"))...), content...)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDiskOf(tt.content)
			_, _, err := open(d, testFolder)
			assert.ErrorIs(t, err, ErrUnreadable)
			assert.Assert(t, !errors.Is(err, ErrCorrupt))
			left, err := d.readFile(testPath)
			assert.NilError(t, err)
			assert.DeepEqual(t, left, tt.content)
		})
	}
}

func TestSetAside(t *testing.T) {
	d, content := newTestLog(t)
	assert.NilError(t, setAside(d, testFolder))
	for _, last := range []string{"first", "second"} {
		_, _, err := open(d, testFolder)
		assert.ErrorIs(t, err, ErrNotFound)
		assert.ErrorIs(t, setAside(d, testFolder), ErrNotFound)
		aside, err := d.readFile(testFolder + "/" + damagedName)
		assert.NilError(t, err)
		assert.DeepEqual(t, aside, content)

		assert.NilError(t, create(d, testFolder, daisylog.Bootstrap(daisylog.Peer{Replica: 9, Name: last})))
		content, err = d.readFile(testPath)
		assert.NilError(t, err)
		assert.NilError(t, setAside(d, testFolder))
	}
}

// Guards against a damaged log that comes back in the place of the one that followed it.
func TestLogThatIsSetAsideStaysAside(t *testing.T) {
	for _, e := range []event{fails, ends, losesPower} {
		for step := 1; step <= 2; step++ {
			for seed := range uint64(20) {
				d := newDisk(seed, map[int]event{step: e})
				d.files[testPath] = &inode{content: []byte("damaged"), durable: []byte("damaged")}
				d.past[testPath] = []*inode{d.files[testPath]}
				err := setAside(d, testFolder)
				assert.Assert(t, errors.Is(err, errFault) || errors.Is(err, errEnded))
				d.restart()
				if _, _, err = open(d, testFolder); errors.Is(err, ErrCorrupt) {
					assert.NilError(t, setAside(d, testFolder))
				} else {
					assert.ErrorIs(t, err, ErrNotFound)
				}
				assert.NilError(t, create(d, testFolder, daisylog.Bootstrap(daisylog.Peer{Replica: 9, Name: "c1"})))
				d.losePower()
				_, s, err := open(d, testFolder)
				assert.NilError(t, err)
				assert.Equal(t, s.Replica, daisylog.ReplicaID(9))
			}
		}
	}
}

func TestDropped(t *testing.T) {
	_, content := newTestLog(t)
	tests := []struct {
		name  string
		after []byte
	}{
		{"Complete", nil},
		{"Beginning", content[:20]},
		{"Zeros", make([]byte, 700)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDiskOf(append(bytes.Clone(content), tt.after...))
			l, _, err := open(d, testFolder)
			assert.NilError(t, err)
			assert.Equal(t, l.Dropped(), len(tt.after))
			left, err := d.readFile(testPath)
			assert.NilError(t, err)
			assert.DeepEqual(t, left, content)
			l, _, err = open(d, testFolder)
			assert.NilError(t, err)
			assert.Equal(t, l.Dropped(), 0)
		})
	}
}

// Guards against a record that is synced after one that was not: after a loss of power
// it would make the missing one look like damage.
func TestNothingFollowsFailedWrite(t *testing.T) {
	for step := 1; step <= 2; step++ {
		d, content := newTestLog(t)
		l, s, err := open(d, testFolder)
		assert.NilError(t, err)
		d.events = map[int]event{d.steps + step: fails}
		assert.ErrorIs(t, l.Append(nil, []daisylog.Entry{testEntry(3, 300)}), errFault)
		assert.ErrorIs(t, l.Append(nil, []daisylog.Entry{testEntry(3, 300)}), errFailed)
		assert.ErrorIs(t, l.Replace(s.HardState, s.Snapshot, s.Entries), errFailed)
		left, err := d.readFile(testPath)
		assert.NilError(t, err)
		assert.Assert(t, len(left) < 2*len(content), "a record follows the failed one")
	}
}

// Guards against a torn write that is taken for damage because its text holds the bytes
// of a record.
func TestPayloadPassesForNoRecord(t *testing.T) {
	_, content := newTestLog(t)
	torn := frame(append(append(make([]byte, 600), content...), make([]byte, 600)...))
	clear(torn[headerBytes+100 : headerBytes+200])
	torn[headerBytes+150] = 1
	l, s, err := open(newDiskOf(append(bytes.Clone(content), torn...)), testFolder)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Entries), 1)
	assert.Equal(t, l.Dropped(), len(torn))
}

// Guards against a log that is replaced by an empty one since its disk fails for a moment.
func TestUnreadableLogIsNotCreatedAnew(t *testing.T) {
	d, _ := newTestLog(t)
	d.unreadable = true
	assert.ErrorIs(t, create(d, testFolder, daisylog.Bootstrap(daisylog.Peer{Replica: 9})), errFault)
	d.unreadable = false
	_, s, err := open(d, testFolder)
	assert.NilError(t, err)
	assert.Equal(t, s.Replica, daisylog.ReplicaID(7))
}

// Guards against damage to several records at the end of the file, as in one sector of the
// disk, that passes for one unfinished write: a record with an intact header that more bytes
// follow was synced before they were written.
func TestDamagedLastRecordsAreNoUnfinishedWrite(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, Create(folder, daisylog.PersistedState{Replica: 5}))
	l, _, err := Open(folder)
	assert.NilError(t, err)
	path := filepath.Join(folder, fileName)
	var offsets []int64
	for term := range uint64(3) {
		info, err := os.Stat(path)
		assert.NilError(t, err)
		offsets = append(offsets, info.Size())
		assert.NilError(t, l.Append(&daisylog.HardState{Term: 2 + term, Vote: 7}, []daisylog.Entry{{Index: 1 + term, Term: 2 + term}}))
	}
	assert.NilError(t, l.Close())
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, offset := range offsets {
		content[offset+headerBytes+2] ^= 1
	}
	assert.NilError(t, os.WriteFile(path, content, fileMode))
	_, s, err := Open(folder)
	assert.ErrorIs(t, err, ErrCorrupt, "read back in term %d with %d entries", s.HardState.Term, len(s.Entries))
}
