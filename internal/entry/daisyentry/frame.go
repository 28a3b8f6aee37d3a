package daisyentry

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	startupHeader    = 4     // Length of the header of a message before the login.
	messageHeader    = 5     // Length of the header of the others.
	maxStartupBytes  = 10000 // Longest startup message that the decoder accepts.
	protocolMajorBit = 16    // From this bit on, the code of a startup message is the major version.
	protocolMajor    = 3
	frameBuffer      = 512
	maxKeptBytes     = 32 << 10 // Longest message whose memory is kept for the next one.
)

// errTrailingBytes is returned for a message that is longer than its fields, which
// PostgreSQL refuses. Its text would be cut.
var errTrailingBytes = errors.New("message has bytes after its last field")

// frameReader reads one whole message after the other and refuses those whose fields end
// before the message does, since the decoder would drop the rest.
type frameReader struct {
	r       *bufio.Reader
	limit   int
	typed   bool   // The startup message was read.
	pending []byte // What was not returned yet of the last message.
	buf     []byte
}

func newFrameReader(r io.Reader, limit int) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, frameBuffer), limit: limit}
}

// Read implements io.Reader.
func (f *frameReader) Read(b []byte) (int, error) {
	if len(f.pending) == 0 {
		if err := f.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, f.pending)
	f.pending = f.pending[n:]
	return n, nil
}

// next reads a message. Of one with a length that the decoder refuses, it reads only the
// header.
func (f *frameReader) next() error {
	header, limit := startupHeader, maxStartupBytes
	if f.typed {
		header, limit = messageHeader, f.limit
	}
	if cap(f.buf) > maxKeptBytes {
		f.buf = nil
	}
	f.buf = append(f.buf[:0], make([]byte, header)...)
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		return err
	}
	f.pending = f.buf
	length := int(int32(binary.BigEndian.Uint32(f.buf[header-startupHeader:]))) - startupHeader
	if length < 0 || length > limit {
		return nil
	}
	f.buf = append(f.buf, make([]byte, length)...)
	if _, err := io.ReadFull(f.r, f.buf[header:]); err != nil {
		return err
	}
	f.pending = f.buf
	if f.typed {
		return checkFields(f.buf)
	}
	f.typed = length >= startupHeader && binary.BigEndian.Uint32(f.buf[header:])>>protocolMajorBit == protocolMajor
	return nil
}

// checkFields returns errTrailingBytes for a message that is not the same once it is
// decoded and encoded again.
func checkFields(raw []byte) error {
	var m pgproto3.FrontendMessage
	switch raw[0] {
	case 'P':
		m = &pgproto3.Parse{}
	case 'B':
		m = &pgproto3.Bind{}
	case 'E':
		m = &pgproto3.Execute{}
	default:
		return nil // The decoder checks the length of the others.
	}
	if err := m.Decode(raw[messageHeader:]); err != nil {
		return err
	}
	again, err := m.Encode(nil)
	if err != nil || !bytes.Equal(again, raw) {
		return errTrailingBytes
	}
	return nil
}
