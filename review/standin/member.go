package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// replicaLag is within the lags of the sheets, 20 ms on average and 120 ms at most.
	replicaLag    = 100 * time.Millisecond
	promoteTime   = 300 * time.Millisecond
	replicateTick = 5 * time.Millisecond
	// stepDownAfter is how long a replaced primary goes on once it can reach the new one.
	stepDownAfter = time.Second
	maxLine       = 1 << 20
)

// entry is a commit in the log of a service.
type entry struct {
	term   uint64
	writes [][2]string
	at     time.Time
}

// run is a statement that a member ran.
type run struct {
	at        time.Time
	member    string
	workspace string
	id        string
	text      string
	committed bool
}

// group is a service of stand-in members. It follows the users' pages: asynchronous
// replication, terms, READONLY at replicas, WRONGNODE, AFTER.
type group struct {
	rec     *record
	service string

	mu          sync.Mutex
	promoteTime time.Duration   // From the call until the member leads.
	work        time.Duration   // How long a read or write runs.
	arrived     map[string]bool // The requests that reached a member, by ID.
	sync        int             // Replicas that must have received a commit before it is acknowledged.
	members     []*member
	term        uint64
	runs        []run
	// promoted is called with each member that begins to lead; g.mu is held.
	promoted func(m *member)
}

// member is a stand-in member of a group.
type member struct {
	group    *group
	id       string
	zone     string
	address  string
	listener net.Listener
	born     int64

	// Guarded by group.mu.
	primary  bool
	term     uint64
	log      []entry
	draining bool
	lag      time.Duration // How late it receives commits.
	deaf     bool          // Receives nothing from the primary.
	cut      bool          // Can reach nobody, and nobody can reach it; connections are refused.
	stopped  bool          // Has crashed, or the case is over.
	sequence uint64
	conns    map[net.Conn]bool
}

// same reports whether both are the same commit.
func (e entry) same(o entry) bool { return e.term == o.term && e.at.Equal(o.at) }

// crash ends the member: its connections are reset and it sends no more pings.
func (m *member) crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.stopped = true
	m.disconnect()
	m.group.rec.line("member %s crashes", m.id)
}

// disconnect closes the listener and all connections; group.mu is held.
func (m *member) disconnect() {
	_ = m.listener.Close()
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// isolate cuts the member off from all others.
func (m *member) isolate() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.cut = true
	m.disconnect()
	m.group.rec.line("member %s is cut off", m.id)
}

// restart starts a member that was isolated as a new process with its log: as a replica if
// another member was promoted meanwhile.
func (m *member) restart() error {
	m.group.mu.Lock()
	m.born, m.sequence = time.Now().UnixMilli(), 0
	m.primary = m.primary && m.term == m.group.term
	m.group.mu.Unlock()
	return m.heal()
}

// heal ends the cut.
func (m *member) heal() error {
	l, err := listen(m.address)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.cut, m.listener = false, l
	m.group.mu.Unlock()
	m.group.rec.line("member %s is no longer cut off", m.id)
	go m.accept(l)
	return nil
}

// has reports whether the member's log has the commit; group.mu is held.
func (m *member) has(e entry) bool {
	for _, o := range m.log {
		if o.same(e) {
			return true
		}
	}
	return false
}

// received returns how many other members have received the commit; group.mu is held.
func (m *member) received(e entry) (n int) {
	for _, o := range m.group.members {
		if o != m && o.has(e) {
			n++
		}
	}
	return n
}

// commit appends a commit and waits until enough replicas have received it. It returns
// false if the member ended or was cut off meanwhile; group.mu is held, but not while it
// waits.
func (m *member) commit(writes [][2]string) bool {
	g := m.group
	e := entry{term: m.term, writes: writes, at: time.Now()}
	m.log = append(m.log, e)
	for m.received(e) < g.sync {
		g.mu.Unlock()
		time.Sleep(replicateTick)
		g.mu.Lock()
		if m.stopped || m.cut || m.term != e.term {
			return false
		}
	}
	return true
}

func newGroup(rec *record, service, network string, size int) (*group, error) {
	g := &group{rec: rec, service: service, term: 1, promoteTime: promoteTime, arrived: make(map[string]bool)}
	for i := range size {
		l, err := listen(fmt.Sprintf("%s.2.%d:0", network, i+1))
		if err != nil {
			return nil, err
		}
		m := &member{
			group: g, id: fmt.Sprintf("i-%s%d", service, i+1), zone: zones[i%len(zones)].name, address: l.Addr().String(), listener: l,
			born: time.Now().UnixMilli(), primary: i == 0, term: 1, lag: replicaLag, conns: make(map[net.Conn]bool),
		}
		g.members = append(g.members, m)
		go m.accept(l)
	}
	go g.replicate()
	return g, nil
}

// replicate copies the log of the primary in the newest term to the others.
func (g *group) replicate() {
	reached := make(map[*member]time.Time)
	for range time.Tick(replicateTick) {
		g.mu.Lock()
		g.stepDown(reached)
		var p *member
		for _, m := range g.members {
			if m.primary && !m.stopped && !m.cut && (p == nil || m.term > p.term) {
				p = m
			}
		}
		if p != nil {
			for _, m := range g.members {
				n := 0
				for n < len(p.log) && time.Since(p.log[n].at) >= m.lag {
					n++
				}
				if m != p && !m.primary && !m.stopped && !m.cut && !m.deaf && (m.term < p.term || len(m.log) < n) {
					m.term, m.log = p.term, append([]entry(nil), p.log[:n]...)
				}
			}
		}
		g.mu.Unlock()
	}
}

// promote makes the member the primary of the next term after g.promoteTime. It returns
// false if there is no such member that runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || m.stopped || m.cut {
			continue
		}
		if m.primary && m.term == g.term {
			return true
		}
		time.AfterFunc(g.promoteTime, func() { g.lead(m) })
		return true
	}
	return false
}

// lead makes the member the primary of the next term.
func (g *group) lead(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.stopped || m.primary && m.term == g.term {
		return
	}
	g.term++
	m.primary, m.term = true, g.term
	g.rec.line("member %s leads %s in term %d with a log of %d commits", m.id, g.service, m.term, len(m.log))
	if g.promoted != nil {
		g.promoted(m)
	}
}

// stepDown makes primaries replicas that have been able to reach a later one for
// stepDownAfter; g.mu is held.
func (g *group) stepDown(reached map[*member]time.Time) {
	for _, old := range g.members {
		later := false
		for _, m := range g.members {
			later = later || m.primary && m.term > old.term && !m.stopped && !m.cut
		}
		switch {
		case !old.primary || old.stopped || old.cut || !later:
			delete(reached, old)
		case reached[old].IsZero():
			reached[old] = time.Now()
		case time.Since(reached[old]) >= stepDownAfter:
			old.primary = false
			g.rec.line("member %s steps down", old.id)
		}
	}
}

// ran returns the statements that members ran for clients.
func (g *group) ran() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[c] = true
		m.group.mu.Unlock()
		go m.serve(c)
	}
}

// conn is the state of one connection to a member.
type conn struct {
	member    *member
	workspace string
	state     string
	readOnly  bool
	began     uint64 // The member's term when the transaction began.
	pending   [][2]string
	values    map[string]string
	prepared  map[string]string
}

func (m *member) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		delete(m.conns, c)
	}()
	s := &conn{member: m, state: "I", values: make(map[string]string), prepared: make(map[string]string)}
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, maxLine+4096)
	lines.Split(splitCRLF)
	started := false
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		answer := ""
		switch {
		case !started && word == "STARTUP":
			fields := strings.Split(rest, " ")
			if fields[0] != m.group.service || len(fields) > 2 && fields[2] != m.id {
				_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
				return
			}
			if len(fields) > 1 {
				s.workspace = fields[1]
			}
			started = true
			answer = s.ready()
		case started && word == "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer = s.query(id, text)
		default:
			return
		}
		if answer == "" {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// splitCRLF splits at CR LF, which terminates a line.
func splitCRLF(data []byte, _ bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, []byte("\r\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	return 0, nil, nil
}

func (s *conn) ready() string {
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	return s.readyLocked()
}

func (s *conn) readyLocked() string {
	m := s.member
	return fmt.Sprintf("READY %s %d.%d\r\n", s.state, m.term, len(m.log))
}

// query runs a statement and returns the whole answer.
func (s *conn) query(id, text string) string {
	m := s.member
	g := m.group
	if id != "-" {
		g.mu.Lock()
		g.arrived[id] = true
		work := g.work
		g.mu.Unlock()
		time.Sleep(work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(after, " ")
		text = statement
		if !m.reached(position) {
			return fmt.Sprintf("ERROR LAGGING %s\r\n", m.id) + s.readyLocked()
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	failed := func(code string) string {
		if s.state == "T" {
			s.state = "E"
		}
		return fmt.Sprintf("ERROR %s %s\r\n", code, m.id) + s.readyLocked()
	}
	done := func() string { return "COMPLETE -\r\n" + s.readyLocked() }
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return failed("MALFORMED")
	}
	if s.state == "T" && !s.readOnly && (!m.primary || m.term != s.began) && word != "ROLLBACK" && (word != "COMMIT" || len(s.pending) > 0) {
		return failed("READONLY")
	}
	switch word {
	case "STATUS":
		role := "replica"
		if m.primary {
			role = "primary"
		}
		row := fmt.Sprintf("DATAROW %s %d %d.%d 0 %d 0 1\r\n", role, m.term, m.term, len(m.log), m.lag.Milliseconds())
		return row + done()
	case "STEPDOWN":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && term > m.term {
			m.primary = false
		}
		return done()
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return done()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return done()
	case "PARSE":
		name, what, _ := strings.Cut(rest, " ")
		s.prepared[name] = what
		return done()
	case "BEGIN":
		if s.state != "I" || rest == "" && !m.primary {
			return failed("READONLY")
		}
		s.state, s.readOnly, s.began, s.pending = "T", rest == "FETCH", m.term, nil
		return done()
	case "ROLLBACK":
		s.state, s.pending = "I", nil
		return done()
	case "COMMIT":
		if s.state != "T" {
			s.state, s.pending = "I", nil
			return failed("ABORTED")
		}
		writes := s.pending
		s.state, s.pending = "I", nil
		if len(writes) > 0 && !m.commit(writes) {
			return ""
		}
		s.note(id, text, true)
		return s.signed()
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		what, ok := s.prepared[name]
		if !ok {
			return failed("NOSTMT")
		}
		word, _, _ = strings.Cut(what, " ")
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	switch word {
	case "FETCH":
		s.note(id, text, false)
		return "DATAROW " + m.value(item, s.pending) + "\r\n" + s.signed()
	case "STORE":
		if !m.primary {
			return failed("READONLY")
		}
		if s.state == "T" {
			s.pending = append(s.pending, [2]string{item, data})
			s.note(id, text, false)
			return s.signed()
		}
		if !m.commit([][2]string{{item, data}}) {
			return ""
		}
		s.note(id, text, true)
		return s.signed()
	}
	return failed("MALFORMED")
}

// note records a statement that ran.
func (s *conn) note(id, text string, committed bool) {
	m := s.member
	r := run{at: time.Now(), member: m.id, workspace: s.workspace, id: id, text: text, committed: committed}
	m.group.runs = append(m.group.runs, r)
	m.group.rec.line("member %s ran for %s: id %s text %q", m.id, s.workspace, id, text)
}

func (s *conn) signed() string {
	return fmt.Sprintf("COMPLETE %d.%s.%d\r\n", s.member.term, s.member.id, len(s.member.group.runs)) + s.readyLocked()
}

// value returns the data of an item as the member and the open transaction have it.
func (m *member) value(item string, pending [][2]string) (data string) {
	for _, e := range m.log {
		for _, w := range e.writes {
			if w[0] == item {
				data = w[1]
			}
		}
	}
	for _, w := range pending {
		if w[0] == item {
			data = w[1]
		}
	}
	return data
}

// reached reports whether the log has reached TERM.NUMBER.
func (m *member) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.Atoi(number)
	return errTerm == nil && errNumber == nil && t <= m.term && n <= len(m.log)
}
