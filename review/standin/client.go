package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// startupLimit is how long a consumer waits for READY.
	startupLimit = 2 * time.Second
	// queryLimit is how long it waits for an answer; a route allows a statement 1 s.
	queryLimit = 3 * time.Second
)

// answer is the complete answer to a query.
type answer struct {
	rows      []string
	signature string
	failure   string // Code and text; empty after a success.
	state     string
}

func (a answer) String() string {
	if a.failure != "" {
		return "ERROR " + a.failure + ", state " + a.state
	}
	return fmt.Sprintf("rows %q COMPLETE %s, state %s", a.rows, a.signature, a.state)
}

// session is a consumer's connection.
type session struct {
	rec    *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a session with firstKey.
func connect(rec *record, name, address, database string) (*session, error) {
	dialer := net.Dialer{Timeout: startupLimit}
	c, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &session{rec: rec, name: name, conn: c, reader: bufio.NewReaderSize(c, maxLine)}
	_ = c.SetDeadline(time.Now().Add(startupLimit))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, firstKey); err != nil {
		return nil, err
	}
	line, err := s.line()
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) line() (string, error) {
	var b strings.Builder
	for {
		part, err := s.reader.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

// query sends a statement and returns its answer.
func (s *session) query(id, text string) (a answer, err error) {
	s.rec.line("%s sends: id %s text %.60q", s.name, id, text)
	defer func() {
		if err != nil {
			s.rec.line("%s: id %s: no complete answer: %v", s.name, id, err)
			return
		}
		s.rec.line("%s: id %s: %.160s", s.name, id, a.String())
	}()
	_ = s.conn.SetDeadline(time.Now().Add(queryLimit))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := s.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.failure = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected line %.40q", line)
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }
