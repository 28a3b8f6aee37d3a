package daisyholder

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/net/daisymessage"
)

func message(m pgproto3.BackendMessage) daisymessage.Message {
	raw, _ := m.Encode(nil)
	return daisymessage.Message{Type: raw[0], Raw: raw}
}

func row(size int, letter byte) daisymessage.Message {
	text := make([]byte, size)
	for i := range text {
		text[i] = letter
	}
	return message(&pgproto3.DataRow{Values: [][]byte{text}})
}

// newExchange returns an exchange of the transaction and a count of what it has emitted.
func newExchange(tx *transaction) (*exchange, *int) {
	emitted := 0
	emit := func(a *daisystream.Answer) error {
		emitted += len(a.Bytes)
		return nil
	}
	return &exchange{tx: tx, request: &daisystream.Request{}, emit: emit, received: daisymember.NewAnswer()}, &emitted
}

// TestLikeOfStreamedAnswerIsKeptBack guards against rows that are passed on as those of a
// statement because a server sends a long answer again in the same transaction.
func TestLikeOfStreamedAnswerIsKeptBack(t *testing.T) {
	tx := &transaction{}
	first, emitted := newExchange(tx)
	assert.NilError(t, first.handle(row(chunkBytes, 'a')))
	assert.Check(t, *emitted >= chunkBytes)
	again, emitted := newExchange(tx)
	var err error
	for n := 0; err == nil && n < 2*heldBytes; n += chunkBytes {
		err = again.handle(row(chunkBytes, 'a'))
	}
	assert.Equal(t, *emitted, 0)
	assert.Check(t, errors.Is(err, daisymember.ErrForeignAnswer), "an answer is kept that is too long: %v", err)
	other, emitted := newExchange(tx)
	assert.NilError(t, other.handle(row(chunkBytes, 'b')))
	assert.Check(t, *emitted >= chunkBytes)
}

// TestAnswerWithinRowsIsNotPassedOn guards against the rows of an answer that comes in
// the middle of another one.
func TestAnswerWithinRowsIsNotPassedOn(t *testing.T) {
	tests := []struct {
		name string
		next pgproto3.BackendMessage
		want bool
	}{
		{"Row", &pgproto3.DataRow{}, true},
		{"Notice", &pgproto3.NoticeResponse{}, true},
		{"Parameter", &pgproto3.ParameterStatus{}, true},
		{"Notification", &pgproto3.NotificationResponse{}, true},
		{"Complete", &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, true},
		{"Suspended", &pgproto3.PortalSuspended{}, true},
		{"Error", &pgproto3.ErrorResponse{}, true},
		{"Description", &pgproto3.RowDescription{}, false},
		{"ParseComplete", &pgproto3.ParseComplete{}, false},
		{"BindComplete", &pgproto3.BindComplete{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, _ := newExchange(&transaction{})
			assert.NilError(t, x.handle(row(1, 'a')))
			err := x.handle(message(test.next))
			assert.Equal(t, err == nil, test.want, "%v", err)
		})
	}
}

// TestMarkerDoesNotFollowCopy guards against a marker that a server takes for the data of
// a COPY.
func TestMarkerDoesNotFollowCopy(t *testing.T) {
	query := func(sql string) []byte { return appendMessage(nil, &pgproto3.Query{String: sql}) }
	tests := []struct {
		sql  string
		want bool
	}{{"SELECT 1", false}, {"CoPy t FROM STDIN", true}, {"/* x */ copy t from stdin", true}}
	for _, test := range tests {
		tx := &transaction{started: true}
		x, _ := newExchange(tx)
		x.marker = daisymember.NewMarker()
		x.request.Parts = []daisystream.Part{{Bytes: query(test.sql)}}
		sent := x.encode()
		assert.Equal(t, tx.copies, test.want)
		assert.Equal(t, len(sent) == len(query(test.sql)), test.want)
	}
}
