// Package daisycodec maps domain types to the wire types by hand and encodes
// them as CBOR. Every decoder refuses unknown fields, trailing bytes and
// values out of range with an error.
package daisycodec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const maxElements = 1 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("daisycodec: invalid CBOR encoding options")
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("daisycodec: invalid CBOR decoding options")
	}
	return m
}

// ErrKind is returned for a frame that does not hold the message asked for.
var ErrKind = errors.New("frame holds another kind of message")

var errNegative = errors.New("amount is negative")

func encode(f daisywire.Frame) []byte {
	b, err := encMode.Marshal(f)
	if err != nil {
		panic("daisycodec: wire type cannot be encoded")
	}
	return b
}

func decode(b []byte) (f daisywire.Frame, err error) {
	defer daisyerror.Annotate(&err, "decode frame")
	err = decMode.Unmarshal(b, &f)
	return f, err
}

func unknown(what, value string) error {
	return fmt.Errorf("%s %q is not known", what, value)
}
