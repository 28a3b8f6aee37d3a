// Package daisycodec maps domain types to the wire types by hand and encodes
// them as CBOR. Every decoder returns an error for unknown fields, trailing bytes
// and values out of range. Text may hold any bytes: what is encoded is decoded again.
//
// Some names on the wire differ from those of the domain types and stay as they
// are:
//
//	Beat             heartbeat
//	Claimed          takeover report
//	Suspicion        observation
//	Outranked        higher terms
//	Tenure, Tenancy  ownership, ownership term
//	Primacy          leadership; its Round is the epoch
//	Errand           call with a statement request
//	Lane             pinned connection
//	Hold, Limit      send deadline, deadline
//	Keep             pin
//	Floor            least position that a read needs
//	Arriving         new session
//	Image            snapshot
//	Horizon          compacted revision
//	Against          expected revision
//	Seat             peer
//	Ballot           hard state
//	Rest             arguments of a statement
//	Born             start time
package daisycodec

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// MaxElements is the most elements that a decoded array may have.
const MaxElements = 1 << 20

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
		MaxArrayElements:  MaxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		// Names and statements come from other programs, in any character encoding.
		// The encoder writes such text too, so that it must be decoded.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic("daisycodec: invalid CBOR decoding options")
	}
	return m
}

// ErrKind is returned for a frame that holds another kind of message than the
// one to decode.
var ErrKind = errors.New("frame holds an unexpected kind of message")

var (
	errNegative = errors.New("number of tokens is negative")
	// errAmount is returned for a number that is not a finite amount. One such number
	// would make a token bucket or a queue useless for good.
	errAmount = errors.New("number is negative or not finite")
	// errDuration is returned for a negative duration. A position of a negative age
	// would count as fresh for longer than it is.
	errDuration = errors.New("duration is negative")
	errRange    = errors.New("number stands for nothing that this host knows")
)

// checkAmounts returns an error unless all numbers are finite and not negative.
func checkAmounts(amounts ...float64) error {
	for _, a := range amounts {
		if !(a >= 0) || math.IsInf(a, 1) {
			return errAmount
		}
	}
	return nil
}

// checkDurations returns an error if a duration is negative.
func checkDurations(durations ...int64) error {
	for _, d := range durations {
		if d < 0 {
			return errDuration
		}
	}
	return nil
}

// checkRange returns an error unless the number is one of those from 0 to last.
func checkRange(n, last int64) error {
	if n < 0 || n > last {
		return errRange
	}
	return nil
}

func encode(f daisywire.Frame) []byte {
	b, err := encMode.Marshal(f)
	if err != nil {
		panic("daisycodec: wire type cannot be encoded")
	}
	return b
}

func decode(b []byte) (f daisywire.Frame, err error) {
	defer daisyerror.Annotate(&err, "decode frame")
	if err = decMode.Unmarshal(b, &f); err != nil || f.Compressed == nil {
		return f, err
	}
	inner, err := decompress(*f.Compressed)
	if err != nil {
		return f, err
	}
	f = daisywire.Frame{}
	if err = decMode.Unmarshal(inner, &f); err == nil && f.Compressed != nil {
		err = ErrKind // A frame is compressed once.
	}
	return f, err
}

func unknown(what, value string) error {
	return fmt.Errorf("unknown %s %q", what, value)
}
