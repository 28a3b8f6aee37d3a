package daisycodec

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const (
	// minCompressedSize is the size in bytes from which a message is compressed. Smaller
	// ones fit into one packet anyway.
	minCompressedSize = 1024
	// maxFrameSize bounds the size in bytes of a frame after decompression: the largest
	// message that a link to a control host takes.
	maxFrameSize = 64 << 20
)

var errFrameSize = errors.New("decompressed frame is too large")

// Compress returns the encoded frame compressed, for hosts of daisylink.ProtocolLoad or
// later, or as it is if that makes it no smaller. The names of fields, which each object
// of the control state repeats, make up most of a delta.
func Compress(frame []byte) []byte {
	if len(frame) < minCompressedSize {
		return frame
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic("daisycodec: invalid compression level")
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(frame)
	_ = w.Close()
	content := b.Bytes()
	compressed := encode(daisywire.Frame{Compressed: &content})
	if len(compressed) >= len(frame) {
		return frame
	}
	return compressed
}

// decompress returns the frame that Compress compressed.
func decompress(b []byte) ([]byte, error) {
	frame, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxFrameSize+1))
	if err != nil {
		return nil, err
	}
	if len(frame) > maxFrameSize {
		return nil, errFrameSize
	}
	return frame, nil
}
