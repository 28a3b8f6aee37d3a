// Package daisymessage frames PostgreSQL v3 messages without decoding them, so
// that answers pass through as the bytes that the backend server sent.
package daisymessage

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

const (
	headerBytes = 5
	lengthBytes = 4
	bufferBytes = 32 << 10
	// MaxBytes is the largest length field of a message that is accepted.
	MaxBytes = 64 << 20
)

// ErrLength is returned for a message whose length field is out of range.
var ErrLength = errors.New("message length is out of range")

// Types of backend messages that daisyglade interprets.
const (
	TypeParseComplete   = '1'
	TypeCloseComplete   = '3'
	TypeCommandComplete = 'C'
	TypeDataRow         = 'D'
	TypeError           = 'E'
	TypeCopyIn          = 'G'
	TypeCopyBoth        = 'W'
	TypeCopyData        = 'd'
	TypeCopyDone        = 'c'
	TypePortalSuspended = 's'
	TypeParameterStatus = 'S'
	TypeNotification    = 'A'
	TypeNotice          = 'N'
	TypeReady           = 'Z'
)

// Message is one framed message. Its bytes are valid until the next read.
type Message struct {
	Type byte
	Raw  []byte // Header and body.
}

// Body returns the message without its header.
func (m Message) Body() []byte { return m.Raw[headerBytes:] }

// Reader reads messages from a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Buffered returns the number of bytes that were received and not returned yet.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Next reads one message.
func (r *Reader) Next() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return Message{}, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < lengthBytes || length > MaxBytes {
		return Message{}, ErrLength
	}
	total := int(length) + 1
	if cap(r.buf) < total {
		r.buf = make([]byte, total)
	}
	raw := r.buf[:total]
	copy(raw, header[:])
	if _, err := io.ReadFull(r.r, raw[headerBytes:]); err != nil {
		return Message{}, err
	}
	return Message{Type: header[0], Raw: raw}, nil
}
