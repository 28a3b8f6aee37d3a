package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// member is a backend server. Its fields are guarded by the group's lock.
type member struct {
	group    *group
	id, zone string
	address  string
	born     int64 // Unix milliseconds.
	sequence int
	draining bool
	silent   bool // It sends no pings.
	deaf     bool // It receives nothing from the primary.
	down     bool
	number   int // Entries of the log that it had at least received.
	// kept is the log that it had when it crashed, until it follows a primary again.
	kept     []commit
	keptTerm int
	listener net.Listener
	conns    map[net.Conn]bool
	opened   int
	// onPing is called with the state that the member reported and the status of the answer.
	onPing func(state string, status int, answered time.Time)
	calls  string // The address of the control host for its pings.
}

// listen accepts connections at the address. Port 0 stands for any.
func (m *member) listen(addr string) error {
	ctx := m.group.fleet.ctx
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.listener, m.address, m.down, m.conns = l, l.Addr().String(), false, make(map[net.Conn]bool)
	m.group.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	m.group.fleet.wait.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			m.group.mu.Lock()
			m.conns[conn] = true
			m.opened++
			c := &memberConn{member: m, conn: conn, name: fmt.Sprintf("%s/%d", m.id, m.opened), state: "I", values: make(map[string]string), prepared: make(map[string]string)}
			m.group.mu.Unlock()
			go c.serve()
		}
	})
	return nil
}

// crash ends the member: its connections are reset, and nobody listens at its address.
func (m *member) crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.kept, m.keptTerm = slices.Clone(m.group.log[:m.group.received(m)]), m.group.termOf(m)
	if m == m.group.primary { // What is on its way to the replicas is lost.
		for _, other := range m.group.members {
			m.group.received(other)
		}
	}
	m.down, m.silent = true, true
	_ = m.listener.Close()
	for conn := range m.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// restart starts the member again with the ID that it had. It states the time of its start
// as its clock has it. It keeps its log until it reaches a primary.
func (m *member) restart(born int64) error {
	const followDelay = 300 * time.Millisecond
	if err := m.listen(m.address); err != nil {
		return err
	}
	go func() {
		time.Sleep(followDelay)
		_ = poll(m.group.fleet.ctx, m.follow)
	}()
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.born, m.sequence, m.silent, m.draining, m.calls = born, 0, false, false, ""
	return nil
}

// follow has the member receive from the primary again, if that runs. What it was ahead is
// rolled back. It returns false if the primary is down.
func (m *member) follow() bool {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m != g.primary && g.primary.down {
		return false
	}
	m.kept, m.number = nil, min(m.number, len(g.log))
	return true
}

// announce sends pings until ctx is done.
func (m *member) announce(ctx context.Context) {
	for ctx.Err() == nil {
		m.ping(ctx)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// ping sends one ping, to one control host after the other until it is acknowledged.
func (m *member) ping(ctx context.Context) {
	for tries := 0; tries < 2*controlHosts && ctx.Err() == nil; tries++ {
		state, body, url, ok := m.nextPing()
		if !ok {
			return
		}
		status := 0
		for range maxRedirects + 1 {
			var a *response
			var err error
			status, a, err = call(ctx, http.MethodPut, url, body)
			if err != nil || status != http.StatusTemporaryRedirect {
				if err == nil && status == http.StatusOK {
					m.acknowledged(state, status, a.body)
					return
				}
				break
			}
			url = a.location
		}
		m.group.mu.Lock()
		m.calls = ""
		m.group.mu.Unlock()
	}
}

// nextPing returns the next ping. The control host that acknowledged the last one names
// where it goes.
func (m *member) nextPing() (state string, body []byte, url string, ok bool) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.silent {
		return "", nil, "", false
	}
	m.sequence++
	role := "replica"
	if g.primary == m {
		role = "primary"
	}
	state = "ready"
	if m.draining {
		state = "draining"
	}
	to := m.calls
	if to == "" {
		h := g.fleet.controls[rand.IntN(controlHosts)]
		to = address(h.ip, g.fleet.ports.control)
	}
	body, err := json.Marshal(map[string]any{
		"service": g.service, "address": m.address, "zone": m.zone, "version": "v1", "capacity": 3, "state": state, "coldLeftMs": 0,
		"dbRole": role, "sequence": m.sequence, "born": m.born,
	})
	return state, body, "http://" + to + "/instances/" + m.id, err == nil
}

func (m *member) acknowledged(state string, status int, body []byte) {
	var answer struct{ HeartbeatAddr string }
	_ = json.Unmarshal(body, &answer)
	m.group.mu.Lock()
	m.calls = answer.HeartbeatAddr
	onPing := m.onPing
	m.group.mu.Unlock()
	if onPing != nil {
		onPing(state, status, time.Now())
	}
}

// memberConn is a connection to a member.
type memberConn struct {
	member  *member
	conn    net.Conn
	name    string
	tenant  string
	state   string
	pending []commit
	// committed is the number of the last commit that is not acknowledged.
	committed int
	values    map[string]string
	prepared  map[string]string // Verb and shape by name.
}

func (c *memberConn) serve() {
	defer func() {
		_ = c.conn.Close()
		c.member.group.mu.Lock()
		defer c.member.group.mu.Unlock()
		delete(c.member.conns, c.conn)
	}()
	lines := newLines(c.conn)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "GET":
			_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", c.member.id)
			return
		case "STARTUP":
			if !c.start(rest) {
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			if c.answer(id, text) != nil {
				return
			}
		default:
			return
		}
	}
}

func (c *memberConn) start(rest string) bool {
	fields := strings.Split(rest, " ")
	m := c.member
	if len(fields) < 2 || fields[0] != m.group.service || len(fields) > 2 && fields[2] != m.id {
		_, _ = fmt.Fprintf(c.conn, "ERROR WRONGNODE %s\r\n", m.id)
		return false
	}
	c.tenant = fields[1]
	_, err := fmt.Fprintf(c.conn, "READY I %s\r\n", c.position())
	return err == nil
}

func (c *memberConn) position() string {
	g := c.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d.%d", g.termOf(c.member), g.received(c.member))
}

// answer runs a statement and answers it, a commit once enough replicas have received it.
func (c *memberConn) answer(id, text string) error {
	var b strings.Builder
	rows, signature, failure := c.run(id, text)
	for number := c.committed; number > 0 && !c.member.group.isReplicated(number); {
		time.Sleep(workTime)
	}
	c.committed = 0
	for _, row := range rows {
		b.WriteString("DATAROW " + row + lineEnd)
	}
	if failure != "" {
		b.WriteString("ERROR " + failure + lineEnd)
	} else {
		b.WriteString("COMPLETE " + signature + lineEnd)
	}
	fmt.Fprintf(&b, "READY %s %s%s", c.state, c.position(), lineEnd)
	_, err := c.conn.Write([]byte(b.String()))
	return err
}

const unsigned = "-"

func (c *memberConn) run(id, text string) (rows []string, signature, failure string) {
	m := c.member
	g := m.group
	word, rest, _ := strings.Cut(text, " ")
	shape := ""
	switch word {
	case "STATUS":
		return []string{c.status()}, unsigned, ""
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return nil, unsigned, ""
	case "PARSE":
		name, definition, _ := strings.Cut(rest, " ")
		c.prepared[name] = definition
		return nil, unsigned, ""
	case "CLOSE":
		delete(c.prepared, rest)
		return nil, unsigned, ""
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return nil, unsigned, ""
	case "STEPDOWN":
		return []string{c.status()}, unsigned, ""
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return nil, unsigned, ""
	}
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if c.lags(position) {
			return nil, "", "LAGGING " + m.id
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		definition, ok := c.prepared[name]
		if !ok {
			return nil, "", "NOSTMT " + m.id
		}
		word, shape, _ = strings.Cut(definition, " ")
		rest = arguments
	}
	if word != "BEGIN" {
		time.Sleep(workTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := execution{at: time.Now(), member: m.id, conn: c.name, id: id, text: fmt.Sprintf("%.80s", text), shape: shape, number: g.received(m)}
	defer func() {
		if failure == "" {
			g.ran = append(g.ran, r)
		}
	}()
	switch word {
	case "BEGIN":
		if rest != "FETCH" && m != g.primary {
			return nil, "", "READONLY " + m.id
		}
		c.state, c.pending = "T", nil
		return nil, unsigned, ""
	case "FETCH":
		return g.rows(rest, r.number), g.sign(m), ""
	case "STORE":
		if m != g.primary {
			return nil, "", "READONLY " + m.id
		}
		item, data, _ := strings.Cut(rest, " ")
		c.pending = append(c.pending, commit{id: id, item: item, data: data})
		if c.state == "I" {
			r.commit = c.commit()
		}
		return nil, g.sign(m), ""
	case "COMMIT":
		r.commit = c.commit()
		c.state = "I"
		return nil, g.sign(m), ""
	}
	return nil, "", "MALFORMED " + m.id
}

// commit adds the pending writes to the log and returns the number of the last; the
// group's lock is held.
func (c *memberConn) commit() int {
	g := c.member.group
	for _, w := range c.pending {
		w.at = time.Now()
		g.log = append(g.log, w)
	}
	if len(c.pending) > 0 {
		c.committed = len(g.log)
	}
	c.pending = nil
	return len(g.log)
}

func (c *memberConn) status() string {
	m := c.member
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if g.primary == m {
		role = "primary"
	}
	term := g.termOf(m)
	return fmt.Sprintf("%s %d %d.%d 0 %d 0 %d", role, term, term, g.received(m), g.lag.Milliseconds(), len(m.conns))
}

// lags reports whether the member's log lacks the position.
func (c *memberConn) lags(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.Atoi(term)
	n, errNumber := strconv.Atoi(number)
	g := c.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.termOf(c.member)
	return errTerm != nil || errNumber != nil || t > own || t == own && n > g.received(c.member)
}
