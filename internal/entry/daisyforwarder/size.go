package daisyforwarder

import (
	"errors"

	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// errAnswerTooLong is returned for an answer that is too long for a message between hosts.
var errAnswerTooLong = errors.New("the answer is too long")

// isTooLong reports whether the other host would close the link for the message, whose
// largest array has so many elements.
func isTooLong(message []byte, elements int) bool {
	return int64(len(message)) > daisylink.PathStatement.Limit() || elements > daisycodec.MaxElements
}

// encodeReply returns the message of a reply. For an answer that is too long, it states that
// there is none.
func encodeReply(r daisycodec.CallReply) []byte {
	message := daisycodec.EncodeCallReply(r)
	if !isTooLong(message, len(r.Answer.Rows)) {
		return message
	}
	r.Fault, r.Text = fault(errAnswerTooLong)
	r.Answer.Rows, r.Answer.Signature, r.Answer.Failure = nil, "", nil
	return daisycodec.EncodeCallReply(r)
}
