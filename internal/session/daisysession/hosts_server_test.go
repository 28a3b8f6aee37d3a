package daisysession_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// chance draws from a fixed sequence: the number for the same seed and names is the same.
type chance uint64

// of returns a number below n.
func (c chance) of(n int, names ...any) int {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, uint64(c), names)
	sum := h.Sum64()
	sum ^= sum >> 29 // The low bits of FNV depend on few of the text's.
	return int(sum * 0x9e3779b97f4a7c15 >> 33 % uint64(n))
}

// delay returns a delay: mostly a few milliseconds, seldom longer than a statement's
// timeout. No two are equal, so that a run with the same seed takes the same course.
func (c chance) delay(names ...any) time.Duration {
	most := 5 * time.Millisecond
	switch class := c.of(100, append(names, "class")...); {
	case class >= 99:
		most = 1500 * time.Millisecond
	case class >= 95:
		most = 500 * time.Millisecond
	case class >= 75:
		most = 100 * time.Millisecond
	}
	return time.Duration(c.of(int(most), append(names, "delay")...))
}

// intent is a statement that a client has sent, and how it must run.
type intent struct {
	operation string
	inside    bool // In a transaction.
	write     bool
	text      string // Of EXECUTE, the arguments.
	shape     string
	values    map[string]string
}

// acknowledgment is when a client was told of a commit.
type acknowledgment struct {
	at     time.Time
	number uint64
}

// service is a service in memory whose servers keep what they ran.
type service struct {
	chance chance
	again  int // Of 100 answers, how many are sent again.

	mu      sync.Mutex
	number  uint64              // Of the newest commit.
	intents map[string]intent   // By statement ID.
	kept    map[string][]uint64 // The commits that hold a write, by its ID.
	signed  map[string]string   // The ID of the statement with the signature.
	places  map[string]string   // The connection and transaction of an operation.
	open    int                 // Transactions.

	acknowledged []acknowledgment
	conns        []*serverConn
	violations   []string
}

func newService(c chance) *service {
	return &service{
		chance: c, number: 10, intents: make(map[string]intent), kept: make(map[string][]uint64),
		signed: make(map[string]string), places: make(map[string]string),
	}
}

func (v *service) intend(id string, i intent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.intents[id] = i
}

// violate requires v.mu.
func (v *service) violate(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// Dial implements daisypool.Dialer.
func (v *service) Dial(_ context.Context, t daisypool.Target) (daisypool.Link, error) {
	v.mu.Lock()
	c := &serverConn{
		service: v, server: t.Server, serial: len(v.conns), in: make(chan daisystatement.Statement, 64), out: make(chan daisystatement.Answer, 4096),
		closed: make(chan struct{}), dead: make(chan struct{}),
	}
	v.conns = append(v.conns, c)
	v.mu.Unlock()
	time.Sleep(v.chance.delay("dial", c.serial))
	if v.chance.of(100, "refuse", c.serial) < 3 {
		return nil, errors.New("refused")
	}
	go c.serve()
	return c, nil
}

// close closes the connections that are still open.
func (v *service) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.conns {
		c.Close()
	}
}

// Reach implements daisypool.Dialer.
func (v *service) Reach(context.Context, netip.AddrPort) error { return nil }

// serverConn is a connection to one of the service's servers.
type serverConn struct {
	service *service
	server  string
	serial  int
	in      chan daisystatement.Statement
	out     chan daisystatement.Answer
	once    sync.Once
	closed  chan struct{} // By the gateway.
	dead    chan struct{} // Closed by the server.

	state        daisystatement.State
	transactions int
	operation    string // Of the open transaction, once it has run a statement.
	writes       []string
	values       map[string]string
	prepared     map[string]daisystatement.Statement
}

func (c *serverConn) Send(statements []daisystatement.Statement) error {
	for _, s := range statements {
		select {
		case <-c.closed:
			return io.ErrClosedPipe
		case <-c.dead:
			return io.ErrClosedPipe
		case c.in <- s:
		}
	}
	return nil
}

func (c *serverConn) Receive(deadline time.Time) (a daisystatement.Answer, err error) {
	select {
	case a = <-c.out:
		return a, nil
	default:
	}
	select {
	case a = <-c.out:
		return a, nil
	case <-c.dead:
		return a, io.ErrUnexpectedEOF
	case <-c.closed:
		return a, io.ErrClosedPipe
	case <-time.After(time.Until(deadline)):
		return a, os.ErrDeadlineExceeded
	}
}

func (c *serverConn) Alive() (alive, unread bool) {
	select {
	case <-c.dead:
		return false, false
	default:
		return len(c.out) == 0, len(c.out) > 0
	}
}

func (c *serverConn) Close() { c.once.Do(func() { close(c.closed) }) }

// serve runs the statements until the connection is closed, and then perhaps those that
// have arrived before.
func (c *serverConn) serve() {
	defer c.rollBack()
	for n := 0; ; n++ {
		var s daisystatement.Statement
		select {
		case s = <-c.in:
		case <-c.closed:
			select {
			case s = <-c.in:
			default:
				return
			}
		}
		works := c.service.chance.delay("work", c.serial, n)
		select {
		case <-time.After(works):
		case <-c.closed:
			if c.service.chance.of(2, "runs", c.serial, n) == 0 {
				return
			}
		}
		a := c.run(s, n)
		if c.service.chance.of(100, "lose", c.serial, n) < 2 {
			close(c.dead)
			return
		}
		c.out <- a
		if c.service.chance.of(100, "again", c.serial, n) < c.service.again {
			time.AfterFunc(c.service.chance.delay("again", c.serial, n), func() { c.out <- a })
		}
	}
}

func (c *serverConn) rollBack() {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.end()
}

// end ends the open transaction, if there is one. It requires the service's mu.
func (c *serverConn) end() {
	if c.state != daisystatement.StateIdle {
		c.service.open--
	}
	c.state, c.writes, c.operation = daisystatement.StateIdle, nil, ""
}

func (c *serverConn) run(s daisystatement.Statement, n int) daisystatement.Answer {
	v := c.service
	v.mu.Lock()
	defer v.mu.Unlock()
	position := daisystatement.Position{Term: 1, Number: v.number}
	if c.server != serverNames[0] {
		position.Number -= uint64(v.chance.of(3, "lag", c.serial, n))
	}
	fail := func(code daisystatement.Code) daisystatement.Answer {
		if c.state == daisystatement.StateOpen {
			c.state = daisystatement.StateFailed
		}
		return daisystatement.Answer{Failure: &daisystatement.Failure{Code: code}, State: c.state, Position: position}
	}
	ends := s.Kind == daisystatement.KindCommit || s.Kind == daisystatement.KindRollback
	switch {
	case s.Kind == daisystatement.KindRollback: // It uses no slot and is not refused.
	case c.state == daisystatement.StateFailed && !ends:
		return fail(daisystatement.CodeMalformed)
	case v.chance.of(100, "busy", c.serial, n) < 2:
		return fail(daisystatement.CodeBusy)
	case v.chance.of(100, "busy", c.serial, n) < 4: // The transaction stays open.
		return daisystatement.Answer{Failure: &daisystatement.Failure{Code: daisystatement.CodeBusy}, State: c.state, Position: position}
	case s.MinPosition.Compare(position) > 0:
		return fail(daisystatement.CodeLagging)
	}
	if s.ID != daisystatement.SystemID {
		if code := c.check(s); code != daisystatement.CodeNone {
			return fail(code)
		}
	}
	a := daisystatement.Answer{Position: position}
	switch s.Kind {
	case daisystatement.KindBegin:
		if c.state != daisystatement.StateIdle {
			v.violate("BEGIN in a transaction on connection %d", c.serial)
		}
		c.state = daisystatement.StateOpen
		c.transactions++
		v.open++
	case daisystatement.KindCommit:
		if c.state == daisystatement.StateOpen {
			c.keep(c.writes)
		}
		c.end()
	case daisystatement.KindRollback:
		c.end()
	case daisystatement.KindSet:
		c.values = maps.Clone(c.values)
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[s.Name] = s.Value
	case daisystatement.KindPrepare:
		if c.prepared == nil {
			c.prepared = make(map[string]daisystatement.Statement)
		}
		c.prepared[s.Name] = s
	case daisystatement.KindDiscard:
		c.values, c.prepared = nil, nil
	case daisystatement.KindStatus:
		a.Rows = []string{"status"}
	}
	if s.ID != daisystatement.SystemID {
		if v.intents[s.ID].write {
			c.writes = append(c.writes, s.ID)
		}
		if c.state == daisystatement.StateIdle {
			c.keep(c.writes)
			c.writes = nil
		}
		a.Signature = fmt.Sprint(c.server, ".", len(v.signed))
		v.signed[a.Signature] = s.ID
		a.Rows = []string{"row of " + s.ID, position.String()}
	}
	if c.server == serverNames[0] {
		a.Position.Number = v.number
	}
	a.State = c.state
	return a
}

// keep commits the writes. It requires the service's mu.
func (c *serverConn) keep(writes []string) {
	v := c.service
	if len(writes) == 0 {
		return
	}
	v.number++
	for _, id := range writes {
		v.kept[id] = append(v.kept[id], v.number)
	}
}

// check checks a client's statement against what the client sent. It requires the
// service's mu.
func (c *serverConn) check(s daisystatement.Statement) daisystatement.Code {
	v := c.service
	want, ok := v.intents[s.ID]
	text := s.Text
	if s.Kind == daisystatement.KindExecute {
		prepared, ok := c.prepared[s.Name]
		if !ok {
			return daisystatement.CodeNoStatement
		}
		if prepared.Shape != want.shape || prepared.ReadOnly == want.write {
			v.violate("%s ran the shape %q, not %q", s.ID, prepared.Shape, want.shape)
		}
		text = s.Arguments
	}
	place := fmt.Sprint(c.serial, "/", c.transactions)
	switch {
	case !ok:
		v.violate("nobody sent %q", s.ID)
	case text != want.text:
		v.violate("%s ran as %q, not %q", s.ID, text, want.text)
	case !maps.Equal(c.values, want.values):
		v.violate("%s ran with the values %v, not %v", s.ID, c.values, want.values)
	case want.inside != (c.state == daisystatement.StateOpen):
		v.violate("%s ran in a transaction: %v", s.ID, !want.inside)
	case want.write && c.server != serverNames[0]:
		return daisystatement.CodeReadOnly
	case want.inside && c.operation != "" && c.operation != want.operation:
		v.violate("%s ran in the transaction of %s", s.ID, c.operation)
	case want.inside && v.places[want.operation] != "" && v.places[want.operation] != place:
		v.violate("%s ran in the transaction %s, not %s", s.ID, place, v.places[want.operation])
	case want.inside:
		c.operation, v.places[want.operation] = want.operation, place
	}
	return daisystatement.CodeNone
}
