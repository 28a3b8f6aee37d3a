// Package daisystorage opens the control log in a host's data folder for a
// daisyconsensus.Node: at the start of the host, and again after a failure.
//
// A damaged log is set aside, and the host goes on with an empty one as a new replica. The
// former replica may have acknowledged entries and granted votes that this host no longer
// knows, so its identity is never used again, whatever the settings say.
package daisystorage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

const (
	// joinsName is a file whose presence tells that the folder had a log which was damaged.
	joinsName = "control.joins"
	joinsText = "The control log in this folder was damaged. The host joins the fleet as a new replica and never bootstraps one.\n"
	fileMode  = 0o600
)

var errClosed = errors.New("storage is closed")

// Options configure a Storage.
type Options struct {
	Folder  string
	Initial daisylog.PersistedState // With which a host starts that never had a log.
	Log     log.Interface
}

// Storage is the control log in a data folder.
type Storage struct {
	options Options

	mu     sync.Mutex
	wal    *daisywal.Log // Nil while it is not open.
	opened bool          // Whether the log was open before.
	closed bool
}

// New returns a storage that is not open yet.
func New(o Options) *Storage { return &Storage{options: o} }

// Open opens and reads the log, and creates it if there is none. It is called again after
// an error, of Open or of the log, but not while another call runs.
func (s *Storage) Open() (daisyconsensus.Storage, daisylog.PersistedState, error) {
	if wal := s.take(); wal != nil {
		if err := wal.Close(); err != nil {
			s.options.Log.WithError(err).Warn("core: closing the control log failed; reopening it")
		}
	}
	wal, saved, err := daisywal.Open(s.options.Folder)
	if errors.Is(err, daisywal.ErrCorrupt) {
		s.options.Log.WithError(err).Error("core: the control log is damaged; the host sets it aside and joins as a new replica")
		if err = s.setAside(); err == nil {
			err = daisywal.ErrNotFound
		}
	}
	if errors.Is(err, daisywal.ErrNotFound) {
		wal, saved, err = s.create()
	}
	if err != nil {
		return nil, saved, err
	}
	if n := wal.Dropped(); n > 0 {
		s.options.Log.WithField("Bytes", n).Warn("core: an unfinished write at the end of the control log was dropped")
	}
	if err := s.put(wal); err != nil {
		return nil, saved, err
	}
	return wal, saved, nil
}

// setAside sets the damaged log aside. The file that keeps the host from bootstrapping a
// fleet is durable first, since the log may be missing after a loss of power.
func (s *Storage) setAside() (err error) {
	defer daisyerror.Annotate(&err, "set the damaged control log aside")
	if err := writeDurable(filepath.Join(s.options.Folder, joinsName), joinsText); err != nil {
		return err
	}
	return daisywal.SetAside(s.options.Folder)
}

// create creates a log and opens it. A log that was open before is not created again with
// the same identity: its folder may be out of reach.
func (s *Storage) create() (wal *daisywal.Log, saved daisylog.PersistedState, err error) {
	initial := s.options.Initial
	switch _, err := os.Stat(filepath.Join(s.options.Folder, joinsName)); {
	case err == nil:
		initial = Joining()
	case !errors.Is(err, os.ErrNotExist):
		return nil, saved, err
	case s.wasOpen():
		return nil, saved, daisywal.ErrNotFound
	}
	if err := daisywal.Create(s.options.Folder, initial); err != nil {
		return nil, saved, err
	}
	return daisywal.Open(s.options.Folder)
}

// Joining returns the state of a new replica, which asks to join the fleet. Its random ID
// is odd, so that it is not 0.
func Joining() daisylog.PersistedState {
	return daisylog.PersistedState{Replica: daisylog.ReplicaID(rand.Uint64() | 1)}
}

// writeDurable writes the file and syncs it and its folder.
func writeDurable(path, content string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.WriteString(content)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// take returns the open log, which the caller closes, or nil.
func (s *Storage) take() (wal *daisywal.Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wal, s.wal = s.wal, nil
	return wal
}

func (s *Storage) wasOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// put keeps the open log. The storage may have been closed while the disk did not answer.
func (s *Storage) put(wal *daisywal.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.Join(errClosed, wal.Close())
	}
	s.wal, s.opened = wal, true
	return nil
}

// Close closes the log. It does not wait for a call of Open.
func (s *Storage) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.wal == nil {
		return nil
	}
	return s.wal.Close()
}
