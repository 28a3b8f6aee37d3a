package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	clientTimeout = 10 * time.Second
	lineEnd       = "\r\n"
	maxLineBytes  = 2 << 20
)

// newLines returns a scanner of messages.
func newLines(r io.Reader) *bufio.Scanner {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(func(data []byte, _ bool) (advance int, token []byte, err error) {
		if i := bytes.Index(data, []byte(lineEnd)); i >= 0 {
			return i + len(lineEnd), data[:i], nil
		}
		return 0, nil, nil
	})
	return lines
}

// session is a client's session.
type session struct {
	name   string
	record *record
	conn   net.Conn
	lines  *bufio.Scanner
	quiet  bool // It does not record its statements.
}

// answer is the answer to a statement.
type answer struct {
	id, text  string
	rows      []string
	rowBytes  int
	signature string
	failure   string // Code and text.
	ready     string // State and position.
}

func (a answer) ok() bool { return a.failure == "" }

// open opens a session with the entry host.
func (f *fleet) open(ctx context.Context, name string, entry int, database string) (s *session, err error) {
	conn, err := (&net.Dialer{Timeout: clientTimeout}).DialContext(ctx, "tcp", f.front(entry))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	s = &session{name: name, record: f.record, conn: conn, lines: newLines(conn)}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s%s", database, tenantKey, lineEnd); err != nil {
		return nil, err
	}
	line, err := s.next()
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("startup answered %q", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) next() (string, error) {
	if !s.lines.Scan() {
		if err := s.lines.Err(); err != nil {
			return "", err
		}
		return "", io.EOF
	}
	return s.lines.Text(), nil
}

// do sends a statement and returns its answer. The error is that of the connection.
func (s *session) do(text string) (a answer, err error) {
	a = answer{id: fmt.Sprintf("%016x", rand.Uint64()), text: text}
	_ = s.conn.SetDeadline(time.Now().Add(clientTimeout))
	if !s.quiet {
		s.record.note("%s: QUERY %s %.80s", s.name, a.id, text)
	}
	defer func() {
		if !s.quiet {
			s.record.note("%s: %s answered: %d rows of %d bytes, %.60q, COMPLETE %q, ERROR %.120q, READY %s, %v", s.name, a.id, len(a.rows), a.rowBytes, a.rows, a.signature, a.failure, a.ready, err)
		}
	}()
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s%s", a.id, text, lineEnd); err != nil {
		return a, err
	}
	for {
		line, err := s.next()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rowBytes += len(rest)
			a.rows = append(a.rows, fmt.Sprintf("%.40s", rest))
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.failure = rest
		case "READY":
			a.ready = rest
			return a, nil
		}
	}
}

// must is do for a statement that has to succeed.
func (s *session) must(text string) (answer, error) {
	a, err := s.do(text)
	if err == nil && !a.ok() {
		err = fmt.Errorf("%s: %.60s answered %s", s.name, text, a.failure)
	}
	return a, err
}

func (s *session) close() { _ = s.conn.Close() }
