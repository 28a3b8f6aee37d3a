package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

var errRefused = errors.New("session was refused")

// consumer is one session of a client.
type consumer struct {
	record *record
	conn   net.Conn
	lines  *bufio.Reader
}

// answer is what a client was answered to one request.
type answer struct {
	rows      []string
	signature string
	code      string // Of an ERROR.
	text      string
	state     string
	position  string
}

func (a *answer) ok() bool { return a.code == "" }

func (a *answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code + " " + a.text + ", READY " + a.state + " " + a.position
	}
	return fmt.Sprintf("%d rows, COMPLETE %s, READY %s %s", len(a.rows), a.signature, a.state, a.position)
}

// connect opens a session on an entry machine.
func (f *fleet) connect(m *machine, database string) (*consumer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", m.address(frontPort))
	if err != nil {
		return nil, err
	}
	c := &consumer{record: f.record, conn: conn, lines: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = conn.Write([]byte("STARTUP " + database + " " + tenantKey + lineEnd)); err != nil {
		c.close()
		return nil, err
	}
	line, err := readLine(c.lines)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%w: %s", errRefused, line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// do sends one request and waits for its answer until the limit.
func (c *consumer) do(text string, limit time.Duration) (a answer, err error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.record.note("consumer sends %s %s", id, text)
	defer func() {
		if err != nil {
			c.record.note("consumer got no answer to %s: %v", id, err)
			return
		}
		c.record.note("consumer got %s: %s", id, a.String())
	}()
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err = c.conn.Write([]byte("QUERY " + id + " " + text + lineEnd)); err != nil {
		return a, err
	}
	for {
		line, err := readLine(c.lines)
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
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
