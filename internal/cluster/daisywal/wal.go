// Package daisywal stores the control log in one file of the data folder.
//
// The file is a sequence of records, each with a checksum of its header and one of
// its payload. A record is written with a single call and synced before its
// entries are acknowledged and before the next record is written. After a loss of
// power any part of a write that was not synced may be missing. Therefore, an
// unreadable record at the end of the file is an unfinished write and is dropped. One
// that is followed by another was synced: it is damaged, which is an error, because its
// entries may have been counted towards a quorum.
package daisywal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	fileName             = "control.log"
	tempName             = "control.log.next"
	damagedName          = "control.log.damaged"
	headerBytes          = 12 // Length, payload checksum, header checksum.
	maxPayloadBytes      = 256 << 20
	fileMode             = 0o600
	folderMode           = 0o700
	headerChecksumOffset = 8 // Also the number of bytes that the header checksum covers.
)

var (
	// ErrCorrupt is returned for damage other than an unfinished write at the end.
	ErrCorrupt = errors.New("control log is damaged")
	// ErrUnreadable is returned for an intact record whose content cannot be decoded,
	// as by an older version. Such a log is not damaged and must be kept.
	ErrUnreadable = errors.New("control log is intact but cannot be read by this version")
	// ErrNotFound is returned if the folder contains no control log.
	ErrNotFound = errors.New("folder contains no control log")
	// ErrExists is returned if the folder already contains a control log.
	ErrExists = errors.New("folder already contains a control log")

	errFailed = errors.New("control log must be opened again after a failed write")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open log file. It implements daisyconsensus.Storage.
type Log struct {
	files   fileSystem
	folder  string
	file    file
	replica daisylog.ReplicaID
	dropped int
	failed  bool // A write failed; what the file holds is not known.
}

// Create writes a new log file with the given state.
func Create(folder string, s daisylog.PersistedState) (err error) {
	defer daisyerror.Annotate(&err, "create control log in %s", folder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return create(osFiles{}, folder, s)
}

func create(files fileSystem, folder string, s daisylog.PersistedState) error {
	if f, err := files.openFile(filepath.Join(folder, fileName)); err == nil {
		return errors.Join(ErrExists, f.Close())
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l := &Log{files: files, folder: folder, replica: s.Replica}
	if err := l.Replace(s.HardState, s.Snapshot, s.Entries); err != nil {
		return err
	}
	return l.Close()
}

// Open reads the log file in the folder and opens it for appending, at a start or
// after a failure. An unfinished write at the end is removed.
//
// What was read is written to a new file before Open returns: after a sync that
// failed, the file may read well and be synced without an error although its last
// record never reaches the disk. An earlier process may have had that failure.
func Open(folder string) (l *Log, s daisylog.PersistedState, err error) {
	return open(osFiles{}, folder)
}

func open(files fileSystem, folder string) (l *Log, s daisylog.PersistedState, err error) {
	defer daisyerror.Annotate(&err, "open control log in %s", folder)
	source, err := files.openFile(filepath.Join(folder, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, s, ErrNotFound
	}
	if err != nil {
		return nil, s, err
	}
	defer func() { err = errors.Join(err, source.Close()) }()
	s, length, dropped, err := replay(source)
	if err != nil {
		return nil, s, err
	}
	if _, err := source.Seek(0, io.SeekStart); err != nil {
		return nil, s, err
	}
	l = &Log{files: files, folder: folder, replica: s.Replica, dropped: dropped}
	if err := l.replaceFile(source, length); err != nil {
		return nil, s, err
	}
	return l, s, nil
}

// SetAside renames a damaged log file, so that Create can write a new one. An older
// file that was set aside is replaced. It returns ErrNotFound if there is no log file.
func SetAside(folder string) error { return setAside(osFiles{}, folder) }

func setAside(files fileSystem, folder string) (err error) {
	defer daisyerror.Annotate(&err, "set aside control log in %s", folder)
	err = files.rename(filepath.Join(folder, fileName), filepath.Join(folder, damagedName))
	if errors.Is(err, os.ErrNotExist) {
		return ErrNotFound
	}
	if err != nil {
		return err
	}
	return files.syncFolder(folder)
}

// replay reads the records one by one, since a host may have little more memory than the
// state takes. It returns the resulting state, the length of the complete records and the
// number of bytes after them.
func replay(source io.ReadSeeker) (s daisylog.PersistedState, length int64, dropped int, err error) {
	size, err := source.Seek(0, io.SeekEnd)
	if err != nil {
		return s, 0, 0, err
	}
	if _, err := source.Seek(0, io.SeekStart); err != nil {
		return s, 0, 0, err
	}
	reader := bufio.NewReader(source)
	for length < size {
		content, err := nextRecord(reader, size-length)
		if err != nil {
			return s, 0, 0, err
		}
		payload, ok := readRecord(content)
		if !ok {
			rest, err := io.ReadAll(reader)
			if err != nil {
				return s, 0, 0, err
			}
			content = append(content, rest...)
			if next, ok := findLater(content); ok {
				return s, 0, 0, fmt.Errorf("offset %d: %w: record does not match its checksums, and is followed at offset %d", length, ErrCorrupt, length+int64(next))
			}
			dropped = len(content)
			break
		}
		record, err := daisycodec.DecodeRecord(payload)
		if err != nil {
			return s, 0, 0, fmt.Errorf("offset %d: %w: %w", length, ErrUnreadable, err)
		}
		if err := applyRecord(&s, record); err != nil {
			return s, 0, 0, fmt.Errorf("offset %d: %w", length, err)
		}
		length += int64(len(content))
	}
	if s.Replica == 0 {
		return s, 0, 0, fmt.Errorf("%w: no snapshot at the start", ErrCorrupt)
	}
	return s, length, dropped, nil
}

// nextRecord reads the next record, or as much of it as there is in the remaining bytes.
// If its header is not intact, it reads the header only.
func nextRecord(reader io.Reader, remaining int64) (content []byte, err error) {
	content = make([]byte, min(headerBytes, remaining))
	if _, err := io.ReadFull(reader, content); err != nil {
		return nil, err
	}
	length, ok := readHeader(content)
	if !ok {
		return content, nil
	}
	content = append(content, make([]byte, min(int64(length), remaining-headerBytes))...)
	_, err = io.ReadFull(reader, content[headerBytes:])
	return content, err
}

// readHeader returns the length of the payload of the first record. It returns false
// if the header is incomplete or does not match its checksum.
func readHeader(content []byte) (length int, ok bool) {
	if len(content) < headerBytes {
		return 0, false
	}
	if crc32.Checksum(content[:headerChecksumOffset], castagnoli) != binary.BigEndian.Uint32(content[headerChecksumOffset:]) {
		return 0, false
	}
	return int(binary.BigEndian.Uint32(content)), true
}

// readRecord returns the payload of the first record. It returns false if the record
// is incomplete or does not match its checksums.
func readRecord(content []byte) (payload []byte, ok bool) {
	length, ok := readHeader(content)
	if !ok || length > len(content)-headerBytes {
		return nil, false
	}
	payload = content[headerBytes : headerBytes+length]
	return payload, crc32.Checksum(payload, castagnoli) == binary.BigEndian.Uint32(content[4:])
}

// findLater returns the offset of what follows the first record, which is unreadable. If
// the header of that record is intact, it tells where it ends, and nothing that its payload
// holds can pass for a record. Otherwise a complete record is searched for.
func findLater(content []byte) (offset int, ok bool) {
	if length, ok := readHeader(content); ok {
		offset = headerBytes + length
		return offset, offset < len(content)
	}
	for offset = 1; offset < len(content); offset++ {
		if _, ok := readRecord(content[offset:]); ok {
			return offset, true
		}
	}
	return 0, false
}

// applyRecord applies a record to the state of the records before it.
func applyRecord(s *daisylog.PersistedState, r daisycodec.Record) error {
	if r.Snapshot != nil {
		s.Replica, s.Snapshot, s.Entries = r.Replica, *r.Snapshot, nil
	}
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		last := s.Snapshot.Index + uint64(len(s.Entries))
		if e.Index <= s.Snapshot.Index || e.Index > last+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", ErrCorrupt, e.Index, last)
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return nil
}

// Append implements daisyconsensus.Storage. After an error the log must be opened
// again, as no record may follow one that was not synced.
func (l *Log) Append(hardState *daisylog.HardState, entries []daisylog.Entry) (err error) {
	defer daisyerror.Annotate(&err, "append to control log")
	if l.failed {
		return errFailed
	}
	b, err := encode(daisycodec.Record{Replica: l.replica, HardState: hardState, Entries: entries})
	if err != nil {
		return err
	}
	if _, err = l.file.Write(b); err == nil {
		err = l.file.Sync()
	}
	l.failed = err != nil
	return err
}

// Replace implements daisyconsensus.Storage. It writes a new file and renames it
// over the old one. After an error the log must be opened again.
func (l *Log) Replace(hardState daisylog.HardState, snapshot daisylog.Snapshot, entries []daisylog.Entry) (err error) {
	defer daisyerror.Annotate(&err, "replace control log")
	if l.failed {
		return errFailed
	}
	b, err := encode(daisycodec.Record{Replica: l.replica, HardState: &hardState, Snapshot: &snapshot, Entries: entries})
	if err != nil {
		return err
	}
	err = l.replaceFile(bytes.NewReader(b), int64(len(b)))
	l.failed = err != nil
	return err
}

// replaceFile writes a new file of so many bytes of the content, renames it over the log and
// continues in it.
func (l *Log) replaceFile(content io.Reader, length int64) error {
	tempPath := filepath.Join(l.folder, tempName)
	// A rename that is kept in part leaves a second name of the log itself.
	if err := l.files.remove(tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	f, err := l.files.createFile(tempPath)
	if err != nil {
		return err
	}
	if _, err = io.CopyN(writer{f}, content, length); err == nil {
		err = f.Sync()
	}
	if err != nil {
		// The room that it took may be what the disk lacks.
		return errors.Join(err, f.Close(), l.files.remove(tempPath))
	}
	if err = l.files.rename(tempPath, filepath.Join(l.folder, fileName)); err == nil {
		err = l.files.syncFolder(l.folder)
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	if l.file != nil {
		err = l.file.Close()
	}
	l.file = f
	return err
}

// writer hides the other methods of a file, with which a copy would leave the data to the
// kernel, which not every file system supports.
type writer struct{ io.Writer }

// encode returns the bytes of a record in the file.
func encode(r daisycodec.Record) ([]byte, error) {
	payload := daisycodec.EncodeRecord(r)
	if len(payload) > maxPayloadBytes {
		return nil, errors.New("record payload exceeds the maximum size")
	}
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(b[headerChecksumOffset:], crc32.Checksum(b[:headerChecksumOffset], castagnoli))
	return append(b, payload...), nil
}

// Dropped returns how many bytes of an unfinished write Open found and removed.
func (l *Log) Dropped() int { return l.dropped }

// Close closes the file. All acknowledged entries are already synced.
func (l *Log) Close() error { return l.file.Close() }
