package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 8 * time.Millisecond
	slots     = 3
	maxConns  = 39
)

// member is one server of the group. Its fields are guarded by the lock of the group.
type member struct {
	group   *group
	id      string
	address string
	zone    int
	woken   chan struct{} // Receives when a heartbeat is due at once.

	alive        bool
	lifetime     int
	born         time.Time
	sequence     int
	draining     bool
	silent       bool // It sends no heartbeats.
	primary      bool
	term         uint64
	log          []entry
	deaf         bool          // It receives nothing from the primary.
	copyInterval time.Duration // For each commit that it receives until it has all; 0 sets no limit.
	copiedAt     time.Time
	reachedAt    time.Time // When a replaced primary could reach the new one.
	conns        map[net.Conn]bool
	listener     net.Listener
	control      []string // The control machines that it calls.
	calls        sync.Mutex
}

// holds reports whether the log has the commit.
func (m *member) holds(unique int) bool {
	return slices.ContainsFunc(m.log, func(e entry) bool { return e.unique == unique })
}

// stepDown makes a primary a replica and ends its transactions.
func (m *member) stepDown() {
	m.primary, m.reachedAt = false, time.Time{}
	m.wake()
}

func (m *member) wake() {
	select {
	case m.woken <- struct{}{}:
	default:
	}
}

// start starts the server, with its log as it is.
func (m *member) start(control []string) error {
	l, err := listen(m.address)
	if err != nil {
		return err
	}
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m.alive, m.listener, m.control, m.born, m.sequence, m.draining = true, l, control, time.Now(), 0, false
	m.lifetime++
	if g.primary == nil {
		g.primary = m
	}
	m.primary = g.primary == m
	if m.primary {
		m.term = g.term
	}
	g.record.note("server %s starts at %s, primary: %v, %d commits", m.id, m.address, m.primary, len(m.log))
	go m.accept(l)
	go m.announce(m.lifetime)
	return nil
}

// stop ends the server at once, as a crash does.
func (m *member) stop() {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.note("server %s ends, %d commits", m.id, len(m.log))
	m.alive = false
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
}

// longItem is an item that takes longWork to read.
const longItem = "long"

// heartbeatBody returns the path and the body of the next heartbeat.
func (m *member) heartbeatBody() (path string, body []byte) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m.sequence++
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": m.address, "zone": zones[m.zone][0], "version": "v1", "capacity": slots, "state": state,
		"coldLeftMs": 0, "dbRole": role, "sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return "/instances/" + m.id, body
}

// ping sends one heartbeat, to one control machine after the other until one confirms it.
func (m *member) ping() bool {
	m.calls.Lock()
	defer m.calls.Unlock()
	path, body := m.heartbeatBody()
	for range len(m.control) {
		status, _, err := callControl(http.MethodPut, m.control[0], path, body)
		if err == nil && status == http.StatusOK {
			return true
		}
		m.control = append(m.control[1:], m.control[0])
	}
	return false
}

func (m *member) announce(lifetime int) {
	g := m.group
	for {
		g.mu.Lock()
		alive, silent := m.alive && m.lifetime == lifetime, m.silent
		g.mu.Unlock()
		if !alive {
			return
		}
		if !silent {
			m.ping()
		}
		select {
		case <-time.After(heartbeat):
		case <-m.woken:
		}
	}
}

// drain announces that the server leaves, until that is confirmed.
func (m *member) drain() bool {
	g := m.group
	g.mu.Lock()
	m.draining = true
	g.mu.Unlock()
	return await(10*time.Second, m.ping)
}

// leave says that the server ends.
func (m *member) leave() bool {
	m.calls.Lock()
	defer m.calls.Unlock()
	return await(5*time.Second, func() bool {
		status, _, err := callControl(http.MethodDelete, m.control[0], "/instances/"+m.id, nil)
		if err != nil || status != http.StatusOK {
			m.control = append(m.control[1:], m.control[0])
		}
		return err == nil && status == http.StatusOK
	})
}

func (m *member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[conn] = true
		m.group.mu.Unlock()
		go func() {
			c := &serverConn{member: m, conn: conn, state: "I", values: make(map[string]string), prepared: make(map[string]string)}
			c.serve()
			_ = conn.Close()
			m.group.mu.Lock()
			delete(m.conns, conn)
			m.group.mu.Unlock()
		}()
	}
}

// serverConn is a connection to a server.
type serverConn struct {
	member   *member
	conn     net.Conn
	user     string
	state    string
	tx       *serverTx
	values   map[string]string
	prepared map[string]string
}

// serverTx is a transaction on a connection.
type serverTx struct {
	readOnly bool
	term     uint64
	writes   []write
}

func (c *serverConn) serve() {
	lines := bufio.NewReader(c.conn)
	for {
		line, err := readLine(lines)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		var content string
		switch word {
		case "STARTUP":
			fields := strings.Split(rest, " ")
			if fields[0] != serviceName || len(fields) < 2 || len(fields) > 2 && fields[2] != c.member.id {
				_, _ = c.conn.Write([]byte("ERROR WRONGNODE " + c.member.id + lineEnd))
				return
			}
			c.user = fields[1]
			c.member.group.mu.Lock()
			open := len(c.member.conns)
			c.member.group.mu.Unlock()
			if open > maxConns {
				_, _ = c.conn.Write([]byte("ERROR TOOMANY " + c.member.id + lineEnd))
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			var ok bool
			if content, ok = c.query(id, text); !ok {
				return
			}
		default:
			return
		}
		c.member.group.mu.Lock()
		ready := fmt.Sprintf("READY %s %d.%d%s", c.state, c.member.term, len(c.member.log), lineEnd)
		c.member.group.mu.Unlock()
		if _, err := c.conn.Write([]byte(content + ready)); err != nil {
			return
		}
	}
}

// reached reports whether the log has the position; the lock of the group is held.
func (m *member) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.Atoi(number)
	return errTerm == nil && errNumber == nil && t <= m.term && n <= len(m.log)
}

// query runs a statement and returns the answer without READY. It returns false if the
// server ended meanwhile.
func (c *serverConn) query(id, text string) (content string, ok bool) {
	m, g := c.member, c.member.group
	fail := func(code string) (string, bool) {
		if c.state == "T" {
			c.state = "E"
		}
		return "ERROR " + code + " " + m.id + lineEnd, true
	}
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(after, " ")
		text = statement
		g.mu.Lock()
		reached := m.reached(position)
		g.mu.Unlock()
		if !reached {
			return fail("LAGGING")
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return fail("MALFORMED")
	}
	g.mu.Lock()
	leads, term := m.primary, m.term
	g.mu.Unlock()
	if c.tx != nil && !c.tx.readOnly && (!leads || c.tx.term != term) && verb != "ROLLBACK" && (verb != "COMMIT" || len(c.tx.writes) > 0) {
		return fail("READONLY")
	}
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		what, found := c.prepared[name]
		if !found {
			return fail("NOSTMT")
		}
		verb, _, _ = strings.Cut(what, " ")
		rest = arguments
	}
	name, argument, _ := strings.Cut(rest, " ")
	switch verb {
	case "FETCH":
		signature := c.sign(id, text)
		if rest == longItem {
			time.Sleep(longWork)
		}
		time.Sleep(workTime)
		g.mu.Lock()
		rows := m.rows(rest, c.tx)
		g.mu.Unlock()
		if rest == manyItem {
			return strings.Repeat("DATAROW "+strings.Repeat("x", longRowBytes)+lineEnd, longRows) + signature, true
		}
		for _, row := range rows {
			content += "DATAROW " + row + lineEnd
		}
		return content + signature, true
	case "STORE":
		if !leads {
			return fail("READONLY")
		}
		time.Sleep(workTime)
		if c.tx != nil {
			c.tx.writes = append(c.tx.writes, write{item: name, data: argument})
			return c.sign(id, text), true
		}
		if !g.commit(m, []write{{item: name, data: argument}}) {
			return "", false
		}
		return c.sign(id, text), true
	case "COMMIT":
		tx := c.tx
		c.tx = nil
		if c.state != "T" {
			c.state = "I"
			return fail("ABORTED")
		}
		c.state = "I"
		if len(tx.writes) > 0 && !g.commit(m, tx.writes) {
			return "", false
		}
		return c.sign(id, text), true
	case "BEGIN":
		readOnly := rest == "FETCH"
		if c.state != "I" {
			return fail("MALFORMED")
		}
		if !readOnly && !leads {
			return fail("READONLY")
		}
		c.state, c.tx = "T", &serverTx{readOnly: readOnly, term: term}
	case "ROLLBACK":
		c.state, c.tx = "I", nil
	case "SET":
		c.values[name] = argument
	case "PARSE":
		c.prepared[name] = argument
	case "CLOSE":
		delete(c.prepared, rest)
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
	case "STEPDOWN":
		next, _ := strconv.ParseUint(rest, 10, 64)
		g.mu.Lock()
		if m.primary && m.term < next && g.primary != m {
			m.stepDown()
		}
		g.mu.Unlock()
		return c.status(), true
	case "STATUS":
		return c.status(), true
	default:
		return fail("MALFORMED")
	}
	return "COMPLETE -" + lineEnd, true
}

// status returns the row of STATUS.
func (c *serverConn) status() string {
	m, g := c.member, c.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 0 %d%sCOMPLETE -%s", role, m.term, m.term, len(m.log), len(m.conns), lineEnd, lineEnd)
}

// rows returns the rows of an item; the lock of the group is held.
func (m *member) rows(item string, tx *serverTx) []string {
	if tx != nil {
		for _, w := range slices.Backward(tx.writes) {
			if w.item == item {
				return []string{w.data}
			}
		}
	}
	for _, e := range slices.Backward(m.log) {
		for _, w := range slices.Backward(e.writes) {
			if w.item == item {
				return []string{w.data}
			}
		}
	}
	return nil
}

// sign notes the run of a statement and returns its signed success.
func (c *serverConn) sign(id, text string) string {
	m, g := c.member, c.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, run{at: time.Now(), server: m.id, id: id, text: text, gone: m.draining})
	g.record.note("server %s ran %s %s, draining: %v", m.id, id, text, m.draining)
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, m.id, len(g.runs), id)
	return fmt.Sprintf("COMPLETE %s.%x.%016x%s", strings.TrimPrefix(m.id, "i-"), len(g.runs), h.Sum64(), lineEnd)
}
