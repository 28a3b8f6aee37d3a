package daisycodec

import (
	"bytes"
	"errors"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// maxChangeSize bounds the size in bytes of an encoded change: that of the largest
// desired state, with a margin. A message or a record holds several changes.
const maxChangeSize = 12 << 20

var (
	errChangeSize = errors.New("change is too large")
	errAltered    = errors.New("change is read back with other values")
)

// Reread returns the change as all hosts read it from the log. It returns an error for
// one that they would refuse, or read with other values. Times lose what is not encoded.
func Reread(c daisyfleet.Change) (read daisyfleet.Change, err error) {
	defer daisyerror.Annotate(&err, "reread change")
	encoded := EncodeProposal(Proposal{Change: c})
	if len(encoded) > maxChangeSize {
		return read, errChangeSize
	}
	m, err := DecodeClientMessage(encoded)
	if err != nil {
		return read, err
	}
	if !bytes.Equal(EncodeProposal(*m.Proposal), encoded) {
		return read, errAltered
	}
	return m.Proposal.Change, nil
}
