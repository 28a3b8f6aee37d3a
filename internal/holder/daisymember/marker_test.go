package daisymember

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/net/daisymessage"
)

// answerOf encodes an answer with one row.
func answerOf(text string, status byte) []byte {
	return encode(
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value")}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(text)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: status},
	)
}

func encode(messages ...pgproto3.BackendMessage) (b []byte) {
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// markerAnswer encodes the answer to a marker.
func markerAnswer(m Marker, status byte) []byte {
	return encode(
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{},
		&pgproto3.CommandComplete{CommandTag: []byte("SET")}, &pgproto3.CloseComplete{},
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.DataRow{Values: [][]byte{[]byte(m.nonce)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")}, &pgproto3.CloseComplete{},
		&pgproto3.ReadyForQuery{TxStatus: status},
	)
}

func refusal(code, message string) []byte {
	return encode(&pgproto3.ErrorResponse{Code: code, Message: message}, &pgproto3.ReadyForQuery{TxStatus: 'E'})
}

// connOf returns a connection over which the server sends the bytes and ends.
func connOf(sent ...[]byte) *Conn {
	c, server := openConnOf(sent...)
	go func() {
		<-server.sent
		_ = server.Close()
	}()
	return c
}

// sender is the server's side of a connection.
type sender struct {
	net.Conn
	sent chan struct{} // Closed when all is sent.
}

// openConnOf returns a connection over which the server sends the bytes, and the server's
// side, which discards what it receives.
func openConnOf(sent ...[]byte) (*Conn, sender) {
	client, conn := net.Pipe()
	server := sender{Conn: conn, sent: make(chan struct{})}
	go func() {
		var b [1024]byte
		for {
			if _, err := server.Read(b[:]); err != nil {
				return
			}
		}
	}()
	go func() {
		defer close(server.sent)
		for _, b := range sent {
			_, _ = server.Write(b)
		}
	}()
	return &Conn{net: client, reader: daisymessage.NewReader(client)}, server
}

// TestAnswerBeforeMarkerIsThatOfTheRequest guards against an answer that is passed on
// although it may be that of another statement, since the server sent one twice.
func TestAnswerBeforeMarkerIsThatOfTheRequest(t *testing.T) {
	marker, earlier := NewMarker(), NewMarker()
	own, other := answerOf("own", 'T'), answerOf("other", 'T')
	failed := refusal("23505", "duplicate key")
	aborted := refusal(codeAborted, "current transaction is aborted")
	missing := refusal("26000", `prepared statement "`+marker.nonce+`" does not exist`)
	tests := []struct {
		name string
		sent [][]byte
		want bool
	}{
		{"Once", [][]byte{own, markerAnswer(marker, 'T')}, true},
		{"TwiceAtOnce", [][]byte{own, own, markerAnswer(marker, 'T')}, true},
		{"EarlierFirst", [][]byte{other, own, markerAnswer(marker, 'T')}, false},
		{"EarlierLast", [][]byte{own, other, markerAnswer(marker, 'T')}, false},
		{"EarlierMarker", [][]byte{markerAnswer(earlier, 'T'), own, markerAnswer(marker, 'T')}, false},
		{"EarlierMarkerAlone", [][]byte{own, markerAnswer(earlier, 'T')}, false},
		{"ReadyAgain", [][]byte{own, encode(&pgproto3.ReadyForQuery{TxStatus: 'T'}), markerAnswer(marker, 'T')}, false},
		{"ReadyBefore", [][]byte{encode(&pgproto3.ReadyForQuery{TxStatus: 'T'}), own, markerAnswer(marker, 'T')}, false},
		{"OtherWithinMarker", [][]byte{own, markerAnswer(marker, 'T')[:30], other, markerAnswer(marker, 'T')[30:]}, false},
		{"OtherStatus", [][]byte{own, markerAnswer(marker, 'I')}, false},
		{"Lost", [][]byte{own}, false},
		{"Failed", [][]byte{failed, aborted, missing}, true},
		{"FailedTwice", [][]byte{failed, failed, aborted, missing}, false},
		{"FailedAfterOther", [][]byte{other, failed, aborted, missing}, false},
		{"FailedBeforeMarker", [][]byte{failed, aborted, aborted, missing}, false},
		{"FailedEarlier", [][]byte{failed, own, markerAnswer(marker, 'T')}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := connOf(test.sent...)
			defer c.Close()
			answer, err := c.nextAnswer()
			assert.NilError(t, err)
			err = c.AwaitMarker(marker, answer)
			assert.Equal(t, err == nil, test.want, "%v", err)
		})
	}
}

// TestReadyWithoutStatusIsAnError guards against a panic on a ReadyForQuery message
// without a body, and against a status that does not exist.
func TestReadyWithoutStatusIsAnError(t *testing.T) {
	for _, sent := range [][]byte{{'Z', 0, 0, 0, 4}, {'Z', 0, 0, 0, 5, 'X'}, {'Z', 0, 0, 0, 6, 'I', 'I'}} {
		c := connOf(sent)
		_, err := c.nextAnswer()
		assert.Check(t, err != nil, "%q", sent)
		c.Close()
	}
}

// scriptedServer answers the statements of a Reset, the last one with the nonce of its
// marker, and sends more before and after.
func scriptedServer(server net.Conn, before, after []byte) {
	b := pgproto3.NewBackend(server, server)
	nonce := ""
	for {
		message, err := b.Receive()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.Query:
			_, _ = server.Write(before)
			_, _ = server.Write(encode(&pgproto3.CommandComplete{CommandTag: []byte(m.String)}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
		case *pgproto3.Parse:
			if nonce == "" {
				nonce = m.Query[len("SET daisyglade.marker = '") : len(m.Query)-1]
			}
		case *pgproto3.Sync:
			_, _ = server.Write(append(markerAnswer(Marker{nonce: nonce}, 'I'), after...))
		}
	}
}

// TestResetReadsItsOwnAnswer guards against a connection that serves the next session
// while answers to statements of the previous one are still to come.
func TestResetReadsItsOwnAnswer(t *testing.T) {
	tests := []struct {
		name          string
		before, after []byte
		reset, alive  bool
	}{
		{"Once", nil, nil, true, true},
		{"EarlierAnswer", answerOf("other", 'I'), nil, false, false},
		{"Ready", encode(&pgproto3.ReadyForQuery{TxStatus: 'I'}), nil, false, false},
		{"SameAnswer", encode(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}), nil, false, false},
		{"Unread", nil, answerOf("other", 'I'), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := net.Pipe()
			c := &Conn{net: client, reader: daisymessage.NewReader(client)}
			defer c.Close()
			go scriptedServer(server, test.before, test.after)
			err := c.Reset(time.Minute)
			assert.Equal(t, err == nil, test.reset, "%v", err)
			if err == nil {
				assert.Equal(t, c.Alive(), test.alive)
				return
			}
			assert.Check(t, errors.Is(err, ErrForeignAnswer), "%v", err)
		})
	}
}

// TestDrainLeavesNothingToRead guards against an answer that waits on a connection and is
// taken for that of the next request.
func TestDrainLeavesNothingToRead(t *testing.T) {
	own := answerOf("own", 'T')
	c, _ := openConnOf(append(append([]byte{}, own...), answerOf("other", 'T')...))
	defer c.Close()
	answer, err := c.nextAnswer()
	assert.NilError(t, err)
	assert.Equal(t, answer.Status(), daisystream.StatusOpen)
	assert.Check(t, !c.Alive())
	assert.NilError(t, c.Drain(time.Minute))
	assert.Check(t, c.Alive())
	assert.Check(t, c.repeated)
}

// TestDrainReadsWholeAnswers guards against the rest of an answer that is taken for the answer
// to the next request, since only its beginning had come before.
func TestDrainReadsWholeAnswers(t *testing.T) {
	own := answerOf("own", 'T')
	begin := bytes.IndexByte(own, 'C') // Its row has come, its CommandComplete has not.
	tests := []struct {
		name string
		rest []byte
		err  string
	}{
		{"Whole", own[begin:], ""},
		{"CutOff", nil, "timeout"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := openConnOf(append(append([]byte{}, own...), own[:begin]...), test.rest)
			defer c.Close()
			_, err := c.nextAnswer()
			assert.NilError(t, err)
			err = c.Drain(50 * time.Millisecond)
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
				return
			}
			assert.NilError(t, err)
			assert.Check(t, c.Alive())
		})
	}
}
