// Package daisystorage opens the control log in a host's data folder for a
// daisyconsensus.Node: at the start of the host, and again after a failure.
package daisystorage

import (
	"errors"
	"sync"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

var errClosed = errors.New("storage is closed")

// Options configure a Storage.
type Options struct {
	Folder  string
	Initial daisylog.PersistedState // With which a host starts that has no log.
	Log     log.Interface
}

// Storage is the control log in a data folder.
type Storage struct {
	options Options

	mu     sync.Mutex
	wal    *daisywal.Log // Nil while it is not open.
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
	if errors.Is(err, daisywal.ErrNotFound) {
		if err = daisywal.Create(s.options.Folder, s.options.Initial); err == nil {
			wal, saved, err = daisywal.Open(s.options.Folder)
		}
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

// take returns the open log, which the caller closes, or nil.
func (s *Storage) take() (wal *daisywal.Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wal, s.wal = s.wal, nil
	return wal
}

// put keeps the open log. The storage may have been closed while the disk did not answer.
func (s *Storage) put(wal *daisywal.Log) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.Join(errClosed, wal.Close())
	}
	s.wal = wal
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
