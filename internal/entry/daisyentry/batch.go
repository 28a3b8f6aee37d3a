package daisyentry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// maxStatements bounds the prepared statements of one session.
const maxStatements = 4096

// statement is a prepared statement of the session.
type statement struct {
	definition daisystream.Statement
	sql        string
}

// unsupportedError is the text of an error for a request that this host cannot
// serve. It ends the session.
type unsupportedError string

func (e unsupportedError) Error() string { return string(e) }

// errRequestTooLarge is returned for a request over the limit.
var errRequestTooLarge = errors.New("the request is larger than the limit")

// batch collects the messages of one request.
type batch struct {
	statements map[string]statement // Of the session, by the names that the client gave.
	limit      int
	size       int
	parts      []daisystream.Part
	referenced map[string]daisystream.Statement
	defined    map[string]statement // Added to the session's once the request is answered.
	firstSQL   string               // Text of the first statement.
	hasFirst   bool
}

func newBatch(statements map[string]statement, limit int) *batch {
	return &batch{
		statements: statements, limit: limit,
		referenced: make(map[string]daisystream.Statement), defined: make(map[string]statement),
	}
}

// add adds one message. It returns true when the request is complete.
func (b *batch) add(message pgproto3.FrontendMessage) (done bool, err error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		b.noteFirst(m.String)
		return true, b.appendMessage(m)
	case *pgproto3.Sync:
		return true, b.appendMessage(m)
	case *pgproto3.Parse:
		return false, b.parse(m)
	case *pgproto3.Bind:
		return false, b.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			return false, b.appendMessage(m)
		}
		name := b.resolve(m.Name)
		return false, b.appendPart(name, &pgproto3.Describe{ObjectType: 'S', Name: name})
	case *pgproto3.Close:
		if m.ObjectType != 'S' {
			return false, b.appendPart("", m)
		}
		delete(b.statements, m.Name)
		delete(b.defined, m.Name)
		return false, b.appendPart("", &pgproto3.Close{ObjectType: 'S', Name: closedStatementName})
	case *pgproto3.Execute:
		return false, b.appendMessage(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil // What a client still sends of a refused COPY.
	}
	return false, unsupportedError(fmt.Sprintf("%T messages are not supported", message))
}

// closedStatementName is the name that a client's Close is forwarded with. The
// client's statements live no longer than a transaction on a backend
// connection, so there is nothing to close there.
const closedStatementName = "daisyglade_closed"

func (b *batch) noteFirst(sql string) {
	if !b.hasFirst {
		b.firstSQL = sql
		b.hasFirst = true
	}
}

// parse defines a statement under a name derived from its definition, so that
// the name is the same on every host and connection.
func (b *batch) parse(m *pgproto3.Parse) error {
	if len(b.statements)+len(b.defined) >= maxStatements {
		return unsupportedError("too many prepared statements in one session")
	}
	name := statementName(m)
	renamed := &pgproto3.Parse{Name: name, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	encoded, err := renamed.Encode(nil)
	if err != nil {
		return err
	}
	b.defined[m.Name] = statement{definition: daisystream.Statement{Name: name, Parse: encoded}, sql: m.Query}
	b.parts = append(b.parts, daisystream.Part{Uses: name, Defines: true, Bytes: encoded})
	return b.addSize(len(encoded))
}

// statementName returns the fleet-wide name of a statement. It is derived from a hash for which
// nobody can find two definitions.
func statementName(m *pgproto3.Parse) string {
	const nameBytes = 16
	h := sha256.New()
	_, _ = io.WriteString(h, m.Query)
	for _, oid := range m.ParameterOIDs {
		_, _ = fmt.Fprintf(h, "\x00%d", oid)
	}
	return fmt.Sprintf("daisyglade_%s_%d", hex.EncodeToString(h.Sum(nil)[:nameBytes]), len(m.Query))
}

// resolve returns the fleet-wide name of a statement and records that the
// request needs its definition.
func (b *batch) resolve(name string) string {
	s, ok := b.defined[name]
	if !ok {
		if s, ok = b.statements[name]; !ok {
			return "daisyglade_missing_" + name
		}
		b.referenced[s.definition.Name] = s.definition
	}
	b.noteFirst(s.sql)
	return s.definition.Name
}

func (b *batch) bind(m *pgproto3.Bind) error {
	renamed := *m
	renamed.PreparedStatement = b.resolve(m.PreparedStatement)
	return b.appendPart(renamed.PreparedStatement, &renamed)
}

// appendPart appends a message as a part of its own.
func (b *batch) appendPart(uses string, m pgproto3.FrontendMessage) error {
	encoded, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if strings.HasPrefix(uses, "daisyglade_missing_") {
		uses = ""
	}
	b.parts = append(b.parts, daisystream.Part{Uses: uses, Bytes: encoded})
	return b.addSize(len(encoded))
}

// appendMessage appends a message that names no statement to the last part, or to
// a new part if the last one defines or closes a statement.
func (b *batch) appendMessage(m pgproto3.FrontendMessage) error {
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
	return b.addSize(len(encoded) - before)
}

func (b *batch) addSize(n int) error {
	b.size += n
	if b.size > b.limit {
		return errRequestTooLarge
	}
	return nil
}

// request returns the collected request.
func (b *batch) request() *daisystream.Request {
	r := &daisystream.Request{Parts: b.parts, ReadOnly: beginsReadOnly(b.firstSQL), Name: requestName(b.firstSQL)}
	for _, s := range b.referenced {
		r.Statements = append(r.Statements, s)
	}
	return r
}

// beginWords are the only words that a statement beginning a read-only
// transaction may consist of.
var beginWords = map[string]bool{
	"begin": true, "start": true, "transaction": true, "work": true, "isolation": true,
	"level": true, "serializable": true, "repeatable": true, "read": true,
	"committed": true, "uncommitted": true, "only": true, "deferrable": true, "not": true,
}

// beginsReadOnly reports whether the statement begins a read-only transaction
// and does nothing else. It returns false for any statement that it does not
// recognize.
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

// namePattern matches the comment with which a client names a request.
var namePattern = regexp.MustCompile(`^/\* daisyglade\.request=([A-Za-z0-9_.:-]{1,64}) \*/`)

// requestName returns the request name in the statement's leading comment, or "".
func requestName(sql string) string {
	m := namePattern.FindStringSubmatch(sql)
	if m == nil {
		return ""
	}
	return m[1]
}
