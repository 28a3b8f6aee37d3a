package daisywal

import (
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// createRecorder records how much memory is in use when the log that was read is written
// anew.
type createRecorder struct {
	osFiles
	held uint64
}

func (r *createRecorder) createFile(path string) (file, error) {
	r.held = heapInUse()
	return r.osFiles.createFile(path)
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a host that needs more memory to read its log at a start than it needed
// to write it, and is ended at each start where memory is limited.
func TestOpenHoldsNoCopyOfLog(t *testing.T) {
	const (
		entries   = 32
		entrySize = 1 << 20
	)
	folder := t.TempDir()
	assert.NilError(t, Create(folder, daisylog.Bootstrap(daisylog.Peer{Replica: 7, Name: "c1"})))
	l, _, err := Open(folder)
	assert.NilError(t, err)
	for i := range uint64(entries) {
		e := testEntry(i+2, 1)
		e.Change.Reason = strings.Repeat("x", entrySize)
		assert.NilError(t, l.Append(nil, []daisylog.Entry{e}))
	}
	assert.NilError(t, l.Close())
	files := &createRecorder{}
	before := heapInUse()
	l, s, err := open(files, folder)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Entries), entries)
	assert.Check(t, files.held-before < entries*entrySize*3/2, "%d MiB", (files.held-before)>>20)
	runtime.KeepAlive(s)
	assert.NilError(t, l.Close())
}
