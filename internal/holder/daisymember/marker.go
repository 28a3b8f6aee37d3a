package daisymember

import (
	"crypto/rand"
	"errors"
	"hash/maphash"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/net/daisymessage"
)

// codeAborted is the SQLSTATE of statements in a failed transaction.
const codeAborted = "25P02"

// Marker is a statement that is sent after a request. Its answer holds a nonce, so that
// it cannot be taken for another. Since a server answers in order, an answer that is the
// only one before the marker's is that of the request.
type Marker struct{ nonce string }

// NewMarker returns a marker with a fresh nonce.
func NewMarker() Marker { return Marker{nonce: rand.Text()} }

// Append appends the marker's messages. Neither SET nor SHOW takes a snapshot, so that
// the client can still choose the isolation level of its transaction. A Query message
// would close the client's unnamed portal.
func (m Marker) Append(b []byte) []byte {
	for _, sql := range []string{"SET daisyglade.marker = '" + m.nonce + "'", "SHOW daisyglade.marker"} {
		b = appendConstant(b, &pgproto3.Parse{Query: sql})
		b = appendConstant(b, &pgproto3.Bind{DestinationPortal: markerPortal})
		b = appendConstant(b, &pgproto3.Execute{Portal: markerPortal})
		b = appendConstant(b, &pgproto3.Close{ObjectType: 'P', Name: markerPortal})
	}
	return appendConstant(b, &pgproto3.Sync{})
}

const (
	markerPortal = "daisyglade_marker"
	// markerKinds are the types of the messages that answer a marker.
	markerKinds = "12C312DC3"
)

// appendFailed appends the marker's messages for a failed transaction, in which only an
// error can carry the nonce.
func (m Marker) appendFailed(b []byte) []byte {
	b = appendConstant(b, &pgproto3.Describe{ObjectType: 'S', Name: m.nonce})
	return appendConstant(b, &pgproto3.Sync{})
}

func appendConstant(b []byte, m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(b)
	if err != nil {
		panic("daisymember: constant message cannot be encoded")
	}
	return b
}

// answerSeed is the seed of the hashes by which answers are compared.
var answerSeed = maphash.MakeSeed()

// Answer describes an answer up to its ReadyForQuery message, without keeping it.
type Answer struct {
	hash   maphash.Hash
	kinds  []byte // Types of the messages except those that may come at any time; empty if there were more than maxKinds.
	many   bool
	row    string // The only value of a row, if kinds is complete.
	err    pgproto3.ErrorResponse
	tag    string
	status daisystream.Status
}

// maxKinds is the number of messages in the longest answer to a marker.
const maxKinds = len(markerKinds)

// NewAnswer returns a description of an answer of which nothing was read yet.
func NewAnswer() *Answer {
	a := &Answer{}
	a.hash.SetSeed(answerSeed)
	return a
}

// Add adds the next message. It returns true if the message ends the answer, and an
// error if it cannot be part of one.
func (a *Answer) Add(m daisymessage.Message) (end bool, err error) {
	if m.Type == daisymessage.TypeNotification {
		return false, nil
	}
	_, _ = a.hash.Write(m.Raw)
	switch m.Type {
	case daisymessage.TypeReady:
		a.status, err = readyStatus(m)
		return true, err
	case daisymessage.TypeParameterStatus, daisymessage.TypeNotice:
		return false, nil
	case daisymessage.TypeCommandComplete:
		var c pgproto3.CommandComplete
		if err := c.Decode(m.Body()); err != nil {
			return false, err
		}
		a.tag = string(c.CommandTag)
	case daisymessage.TypeError:
		if err := a.err.Decode(m.Body()); err != nil {
			return false, err
		}
	}
	if len(a.kinds) >= maxKinds {
		a.many = true
		return false, nil
	}
	a.kinds = append(a.kinds, m.Type)
	if m.Type == daisymessage.TypeDataRow {
		var row pgproto3.DataRow
		if err := row.Decode(m.Body()); err != nil {
			return false, err
		}
		if len(row.Values) == 1 {
			a.row = string(row.Values[0])
		}
	}
	return false, nil
}

// Status returns the transaction status after the answer.
func (a *Answer) Status() daisystream.Status { return a.status }

func (a *Answer) is(kinds string) bool { return !a.many && string(a.kinds) == kinds }

func (a *Answer) sameAs(b *Answer) bool { return a.hash.Sum64() == b.hash.Sum64() }

func readyStatus(m daisymessage.Message) (daisystream.Status, error) {
	if len(m.Body()) == 1 {
		switch s := daisystream.Status(m.Body()[0]); s {
		case daisystream.StatusIdle, daisystream.StatusOpen, daisystream.StatusFailed:
			return s, nil
		}
	}
	return 0, errors.New("ReadyForQuery message has no transaction status")
}

// nextAnswer reads one answer.
func (c *Conn) nextAnswer() (*Answer, error) {
	a := NewAnswer()
	for {
		m, err := c.Next()
		if err != nil {
			return nil, err
		}
		if end, err := a.Add(m); end || err != nil {
			return a, err
		}
	}
}

// AwaitMarker reads up to the answer to the marker, which was sent after the request. It
// returns ErrForeignAnswer unless the answer was surely that of the request.
func (c *Conn) AwaitMarker(m Marker, answer *Answer) error {
	if answer.status == daisystream.StatusFailed {
		return c.awaitFailed(m)
	}
	for {
		a, err := c.nextAnswer()
		switch {
		case err != nil:
			return err
		case a.is(markerKinds) && a.row == m.nonce && a.status == answer.status:
			return nil
		case !a.sameAs(answer):
			return ErrForeignAnswer
		}
		// Of two equal answers, either is that of the request.
		c.repeated = true
	}
}

// awaitFailed is AwaitMarker for a request that left its transaction failed.
func (c *Conn) awaitFailed(m Marker) error {
	if err := c.Write(m.appendFailed(nil)); err != nil {
		return err
	}
	refused, err := c.nextAnswer()
	if err != nil {
		return err
	}
	if !refused.is("E") || refused.err.Code != codeAborted || refused.status != daisystream.StatusFailed {
		return ErrForeignAnswer
	}
	a, err := c.nextAnswer()
	if err != nil {
		return err
	}
	if !a.is("E") || !strings.Contains(a.err.Message, m.nonce) || a.status != daisystream.StatusFailed {
		return ErrForeignAnswer
	}
	return nil
}
