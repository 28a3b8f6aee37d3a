package daisyspec

import (
	"bytes"
	"compress/flate"
	"io"
)

// Pack compresses a document for the control log. It compresses well, since it
// has hundreds of profiles that differ little.
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

// Unpack returns the document that Pack compressed.
func Unpack(packed string) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader([]byte(packed))))
}
