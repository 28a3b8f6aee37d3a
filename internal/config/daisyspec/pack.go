package daisyspec

import (
	"bytes"
	"compress/flate"
	"io"
)

// Pack compresses a document's bytes for the log; hundreds of profiles differ
// little.
func Pack(content []byte) (string, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return "", err
	}
	if _, err := w.Write(content); err != nil {
		return "", err
	}
	err = w.Close()
	return b.String(), err
}

// Unpack returns the bytes that Pack was given.
func Unpack(packed string) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader([]byte(packed))))
}
