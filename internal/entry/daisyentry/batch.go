package daisyentry

import (
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

// statementLimit bounds the prepared statements of one session.
const statementLimit = 4096

// statement is a prepared statement of the session.
type statement struct {
	definition daisystream.Statement
	sql        string
}

// errUnsupported carries the text for a message that is refused.
type errUnsupported string

func (e errUnsupported) Error() string { return string(e) }

// errRequestSize is returned for a request over the limit.
var errRequestSize = errors.New("the request is larger than the limit")

// batch gathers the messages of one request.
type batch struct {
	statements map[string]statement // The session's, by its own names.
	limit      int
	size       int
	parts      []daisystream.Part
	needed     map[string]daisystream.Statement
	defined    map[string]statement // Set for the session if the request runs.
	first      string               // The first statement's text.
	counted    bool
}

func newBatch(statements map[string]statement, limit int) *batch {
	return &batch{
		statements: statements, limit: limit,
		needed: make(map[string]daisystream.Statement), defined: make(map[string]statement),
	}
}

// add takes one message. It returns true when the request is complete.
func (b *batch) add(message pgproto3.FrontendMessage) (done bool, err error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		b.note(m.String)
		return true, b.raw(m)
	case *pgproto3.Sync:
		return true, b.raw(m)
	case *pgproto3.Parse:
		return false, b.parse(m)
	case *pgproto3.Bind:
		return false, b.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			return false, b.raw(m)
		}
		name := b.use(m.Name)
		return false, b.named(name, &pgproto3.Describe{ObjectType: 'S', Name: name})
	case *pgproto3.Close:
		if m.ObjectType != 'S' {
			return false, b.named("", m)
		}
		delete(b.statements, m.Name)
		delete(b.defined, m.Name)
		return false, b.named("", &pgproto3.Close{ObjectType: 'S', Name: closedName})
	case *pgproto3.Execute:
		return false, b.raw(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil // The rest of a COPY that was refused.
	}
	return false, errUnsupported(fmt.Sprintf("%T messages are not supported", message))
}

// closedName is the name under which closed statements are closed: prepared
// statements live no longer than a transaction, so there is nothing to close.
const closedName = "daisyglade_closed"

func (b *batch) note(sql string) {
	if !b.counted {
		b.first = sql
		b.counted = true
	}
}

// parse defines a statement under a name derived from its definition, which
// is the same on every host and connection.
func (b *batch) parse(m *pgproto3.Parse) error {
	if len(b.statements)+len(b.defined) >= statementLimit {
		return errUnsupported("too many prepared statements in one session")
	}
	name := statementName(m)
	named := &pgproto3.Parse{Name: name, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	encoded, err := named.Encode(nil)
	if err != nil {
		return err
	}
	b.defined[m.Name] = statement{definition: daisystream.Statement{Name: name, Parse: encoded}, sql: m.Query}
	b.parts = append(b.parts, daisystream.Part{Uses: name, Defines: true, Bytes: encoded})
	return b.grow(len(encoded))
}

func statementName(m *pgproto3.Parse) string {
	h := xxhash.New()
	_, _ = h.WriteString(m.Query)
	for _, oid := range m.ParameterOIDs {
		_, _ = fmt.Fprintf(h, "\x00%d", oid)
	}
	return fmt.Sprintf("daisyglade_%s_%d", hex.EncodeToString(h.Sum(nil)), len(m.Query))
}

// use returns the fleet-wide name of a statement and notes that it is needed.
func (b *batch) use(name string) string {
	s, ok := b.defined[name]
	if !ok {
		if s, ok = b.statements[name]; !ok {
			return "daisyglade_missing_" + name
		}
		b.needed[s.definition.Name] = s.definition
	}
	b.note(s.sql)
	return s.definition.Name
}

func (b *batch) bind(m *pgproto3.Bind) error {
	renamed := *m
	renamed.PreparedStatement = b.use(m.PreparedStatement)
	return b.named(renamed.PreparedStatement, &renamed)
}

// named appends a message that stands in a part of its own.
func (b *batch) named(uses string, m pgproto3.FrontendMessage) error {
	encoded, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if strings.HasPrefix(uses, "daisyglade_missing_") {
		uses = ""
	}
	b.parts = append(b.parts, daisystream.Part{Uses: uses, Bytes: encoded})
	return b.grow(len(encoded))
}

// raw appends a message that names no statement.
func (b *batch) raw(m pgproto3.FrontendMessage) error {
	before := 0
	last := len(b.parts) - 1
	if last < 0 || b.parts[last].Defines || b.parts[last].Bytes[0] == 'C' {
		b.parts = append(b.parts, daisystream.Part{})
		last++
	}
	before = len(b.parts[last].Bytes)
	encoded, err := m.Encode(b.parts[last].Bytes)
	if err != nil {
		return err
	}
	b.parts[last].Bytes = encoded
	return b.grow(len(encoded) - before)
}

func (b *batch) grow(n int) error {
	b.size += n
	if b.size > b.limit {
		return errRequestSize
	}
	return nil
}

// request returns the gathered request.
func (b *batch) request() *daisystream.Request {
	r := &daisystream.Request{Parts: b.parts, ReadOnly: beginsReadOnly(b.first), Name: requestName(b.first)}
	for _, s := range b.needed {
		r.Statements = append(r.Statements, s)
	}
	return r
}

// beginWords are the words that a statement may consist of to count as the
// beginning of a read-only transaction.
var beginWords = map[string]bool{
	"begin": true, "start": true, "transaction": true, "work": true, "isolation": true,
	"level": true, "serializable": true, "repeatable": true, "read": true,
	"committed": true, "uncommitted": true, "only": true, "deferrable": true, "not": true,
}

// beginsReadOnly reports whether the statement begins a read-only transaction
// and does nothing else. Any statement that it does not know is not one.
func beginsReadOnly(sql string) bool {
	sql = strings.TrimSuffix(strings.TrimSpace(strings.ToLower(sql)), ";")
	sql = strings.ReplaceAll(sql, ",", " ")
	words := strings.Fields(sql)
	if len(words) < 3 || (words[0] != "begin" && words[0] != "start") {
		return false
	}
	for _, w := range words {
		if !beginWords[w] {
			return false
		}
	}
	return strings.Contains(" "+strings.Join(words, " ")+" ", " read only ")
}

// namePattern matches the comment with which a caller names a request.
var namePattern = regexp.MustCompile(`^/\* daisyglade\.request=([A-Za-z0-9_.:-]{1,64}) \*/`)

// requestName returns the name that the statement begins with, or "".
func requestName(sql string) string {
	m := namePattern.FindStringSubmatch(sql)
	if m == nil {
		return ""
	}
	return m[1]
}
