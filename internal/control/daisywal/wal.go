// Package daisywal keeps the control log in one file of the data folder.
//
// The file is a sequence of records, each with a checksum over its header and
// one over its payload. A record is written at once and synced before it
// counts. A record that was cut off at the end of the file, as by a crash in
// the middle of a write, is dropped; any other damage is refused, because what
// it held may have counted towards a quorum.
package daisywal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	fileName     = "control.log"
	nextName     = "control.log.next"
	headerBytes  = 12 // Length, payload checksum, header checksum.
	maxRecord    = 256 << 20
	fileMode     = 0o600
	folderMode   = 0o700
	headerSummed = 8 // The bytes that the header checksum covers.
)

var (
	// ErrCorrupt is returned for damage other than a record cut off at the end.
	ErrCorrupt = errors.New("control log is damaged")
	// ErrNotFound is returned if the folder holds no control log.
	ErrNotFound = errors.New("folder holds no control log")
	// ErrExists is returned if the folder holds a control log already.
	ErrExists = errors.New("folder holds a control log already")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log file.
type Log struct {
	folder  string
	file    *os.File
	replica daisylog.ReplicaID
}

// Create writes a new log file that holds what was given.
func Create(folder string, s daisylog.PersistedState) (err error) {
	defer daisyerror.Annotate(&err, "create control log in %s", folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(folder, fileName)); err == nil {
		return ErrExists
	}
	l := &Log{folder: folder, replica: s.Replica}
	if err := l.Replace(s.HardState, s.Snapshot, s.Entries); err != nil {
		return err
	}
	return l.Close()
}

// Open reads the log file of the folder.
func Open(folder string) (l *Log, s daisylog.PersistedState, err error) {
	defer daisyerror.Annotate(&err, "open control log in %s", folder)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, s, ErrNotFound
	}
	if err != nil {
		return nil, s, err
	}
	s, length, err := replay(content)
	if err != nil {
		return nil, s, err
	}
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return nil, s, err
	}
	l = &Log{folder: folder, file: file, replica: s.Replica}
	if err := l.cut(int64(length)); err != nil {
		return nil, s, errors.Join(err, file.Close())
	}
	return l, s, nil
}

// cut drops what follows the last whole record.
func (l *Log) cut(length int64) error {
	if err := l.file.Truncate(length); err != nil {
		return err
	}
	if _, err := l.file.Seek(length, 0); err != nil {
		return err
	}
	return l.file.Sync()
}

// replay decodes the records and returns what they amount to, and the length
// of the whole records.
func replay(content []byte) (s daisylog.PersistedState, length int, err error) {
	for length < len(content) {
		payload, err := nextRecord(content[length:])
		if err != nil {
			return s, 0, fmt.Errorf("offset %d: %w", length, err)
		}
		if payload == nil {
			break
		}
		record, err := daisycodec.DecodeRecord(payload)
		if err != nil {
			return s, 0, fmt.Errorf("offset %d: %w: %w", length, ErrCorrupt, err)
		}
		if err := merge(&s, record); err != nil {
			return s, 0, fmt.Errorf("offset %d: %w", length, err)
		}
		length += headerBytes + len(payload)
	}
	if s.Replica == 0 {
		return s, 0, fmt.Errorf("%w: no snapshot at the start", ErrCorrupt)
	}
	return s, length, nil
}

// nextRecord returns the payload of the first record, or nil if the record is
// cut off at the end of the file.
func nextRecord(rest []byte) ([]byte, error) {
	if len(rest) < headerBytes {
		return nil, nil
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:headerSummed], castagnoli) != binary.BigEndian.Uint32(header[headerSummed:]) {
		if allZero(rest) {
			return nil, nil
		}
		return nil, fmt.Errorf("%w: header checksum", ErrCorrupt)
	}
	length := int(binary.BigEndian.Uint32(header))
	if length > len(rest)-headerBytes {
		return nil, nil
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) == binary.BigEndian.Uint32(header[4:]) {
		return payload, nil
	}
	if length == len(rest)-headerBytes {
		return nil, nil
	}
	return nil, fmt.Errorf("%w: payload checksum", ErrCorrupt)
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// merge adds a record to what was saved before it.
func merge(s *daisylog.PersistedState, r daisycodec.Record) error {
	if r.Snapshot != nil {
		s.Replica, s.Snapshot, s.Entries = r.Replica, *r.Snapshot, nil
	}
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		held := s.Snapshot.Index + uint64(len(s.Entries))
		if e.Index <= s.Snapshot.Index || e.Index > held+1 {
			return fmt.Errorf("%w: entry %d after %d", ErrCorrupt, e.Index, held)
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return nil
}

// Append implements daisyconsensus.Storage.
func (l *Log) Append(ballot *daisylog.HardState, entries []daisylog.Entry) (err error) {
	defer daisyerror.Annotate(&err, "append to control log")
	if err := write(l.file, daisycodec.Record{Replica: l.replica, HardState: ballot, Entries: entries}); err != nil {
		return err
	}
	return l.file.Sync()
}

// Replace implements daisyconsensus.Storage.
func (l *Log) Replace(ballot daisylog.HardState, img daisylog.Snapshot, entries []daisylog.Entry) (err error) {
	defer daisyerror.Annotate(&err, "replace control log")
	next := filepath.Join(l.folder, nextName)
	file, err := os.OpenFile(next, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	record := daisycodec.Record{Replica: l.replica, HardState: &ballot, Snapshot: &img, Entries: entries}
	err = errors.Join(write(file, record), file.Sync())
	if err == nil {
		err = os.Rename(next, filepath.Join(l.folder, fileName))
	}
	if err == nil {
		err = syncFolder(l.folder)
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	if l.file != nil {
		err = l.file.Close()
	}
	l.file = file
	return err
}

func write(file *os.File, r daisycodec.Record) error {
	payload := daisycodec.EncodeRecord(r)
	if len(payload) > maxRecord {
		return errors.New("record is too large")
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(b[headerSummed:], crc32.Checksum(b[:headerSummed], castagnoli))
	_, err := file.Write(append(b, payload...))
	return err
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the file. Everything that counted is synced already.
func (l *Log) Close() error { return l.file.Close() }
