package daisygateway_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// leastChecks is the least number of plays: some faults show in one of thousands.
const leastChecks = 5000

// stutterer is a server that answers statements again, and refuses some. It keeps what it
// ran.
type stutterer struct {
	t          *rapid.T
	signed     int
	connection int
	twice      int // Of 10 answers.
	refused    int // Of 20 statements.
	position   uint64
	kept       map[string]bool
	wrong      []string
}

func (s *stutterer) draw(label string, of int) int { return rapid.IntRange(0, of-1).Draw(s.t, label) }

func (s *stutterer) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	s.connection++
	return &stutter{server: s, values: map[string]string{}, prepared: map[string]string{}}, nil
}

func (s *stutterer) Reach(context.Context, netip.AddrPort) error { return nil }

// stutter is a connection to a stutterer.
type stutter struct {
	server   *stutterer
	state    daisystatement.State
	values   map[string]string
	prepared map[string]string
	owner    string   // Whose transaction is open.
	pending  []string // The writes of the open transaction.
	arrived  []daisystatement.Answer
	slow     []daisystatement.Answer // Answers that come once they are awaited, or before the next statement's.
	late     []daisystatement.Answer // Second answers that have not been sent.
}

func (c *stutter) Alive() (alive, unread bool) { return len(c.arrived) == 0, len(c.arrived) > 0 }
func (c *stutter) Close()                      {}

// arrive sends the slow answers.
func (c *stutter) arrive() { c.arrived, c.slow = append(c.arrived, c.slow...), nil }

// stutterLate sends some of the second answers.
func (c *stutter) stutterLate() {
	for len(c.slow) == 0 && len(c.late) > 0 && c.server.draw("late", 3) == 0 {
		c.arrived, c.late = append(c.arrived, c.late[0]), c.late[1:]
	}
}

func (c *stutter) Send(statements []daisystatement.Statement) error {
	for _, st := range statements {
		c.arrive()
		c.stutterLate()
		a := c.run(st)
		a.Position = daisystatement.Position{Term: 1, Number: c.server.position}
		if c.server.draw("slow", 3) == 0 {
			c.slow = append(c.slow, a)
		} else {
			c.arrived = append(c.arrived, a)
		}
		if c.server.draw("twice", 10) < c.server.twice {
			c.late = append(c.late, a)
		}
	}
	c.stutterLate()
	return nil
}

func (c *stutter) Receive(time.Time) (a daisystatement.Answer, err error) {
	if len(c.arrived) == 0 {
		c.arrive()
	}
	if len(c.arrived) == 0 {
		return a, os.ErrDeadlineExceeded
	}
	a, c.arrived = c.arrived[0], c.arrived[1:]
	return a, nil
}

// run runs a statement. The text of a client's is its client, and its values.
func (c *stutter) run(st daisystatement.Statement) (a daisystatement.Answer) {
	s := c.server
	if s.draw("refused", 20) < s.refused || c.state == daisystatement.StateFailed && st.Kind != daisystatement.KindRollback {
		if c.state == daisystatement.StateOpen && mayStayOpen(st.Kind) && s.draw("stays open", 2) == 0 {
			return daisystatement.Fail(c.state, daisystatement.CodeFailed, "failed")
		}
		if c.state == daisystatement.StateOpen {
			c.state = daisystatement.StateFailed
		}
		return daisystatement.Fail(c.state, daisystatement.CodeBusy, "busy")
	}
	client, values, _ := strings.Cut(st.Text, " ")
	signed := false
	switch st.Kind {
	case daisystatement.KindBegin:
		c.state, c.owner, c.pending = daisystatement.StateOpen, "", nil
	case daisystatement.KindRollback:
		c.state, c.pending = daisystatement.StateIdle, nil
	case daisystatement.KindSet:
		c.values[st.Name] = st.Value
	case daisystatement.KindDiscard:
		clear(c.values)
		clear(c.prepared)
	case daisystatement.KindPrepare:
		c.prepared[st.Name] = st.Shape
	case daisystatement.KindStatus:
		a.Rows = []string{"status"}
	case daisystatement.KindExecute:
		if c.prepared[st.Name] != st.Shape {
			return daisystatement.Fail(c.state, daisystatement.CodeNoStatement, "not prepared")
		}
		fallthrough
	default:
		signed = true
	}
	if signed {
		c.check(st, client, values)
		s.signed++
		a.Signature, a.Rows = fmt.Sprint(s.signed), []string{"row of " + st.ID}
	}
	if signed && st.Kind == daisystatement.KindCommit {
		for _, id := range c.pending {
			s.kept[id] = true
			s.position++
		}
		c.state = daisystatement.StateIdle
	}
	a.State = c.state
	return a
}

// mayStayOpen reports whether a transaction may stay open after the statement was refused in
// it. The protocol says that it fails; of clients' statements less is relied on.
func mayStayOpen(k daisystatement.Kind) bool {
	switch k {
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute, daisystatement.KindPrepare:
		return true
	}
	return false
}

// check records a client's statement that runs outside its transaction or with other values.
func (c *stutter) check(st daisystatement.Statement, client, values string) {
	s := c.server
	inside := strings.HasSuffix(client, "T")
	switch {
	case inside != (c.state == daisystatement.StateOpen):
		s.wrong = append(s.wrong, st.ID+" ran outside its transaction")
	case inside && c.owner != "" && c.owner != client:
		s.wrong = append(s.wrong, st.ID+" ran in another transaction")
	case fmt.Sprint(c.values) != values:
		s.wrong = append(s.wrong, fmt.Sprintf("%s ran with %v, not %s", st.ID, c.values, values))
	}
	c.owner = client
	switch {
	case !writes(st):
	case c.state == daisystatement.StateOpen:
		c.pending = append(c.pending, st.ID)
	default:
		s.kept[st.ID] = true
		s.position++
	}
}

func writes(st daisystatement.Statement) bool {
	return st.Kind == daisystatement.KindWrite || st.Kind == daisystatement.KindExecute && !st.ReadOnly
}

// caller runs requests and checks what it is told.
type caller struct {
	t       *rapid.T
	gateway *daisygateway.Gateway
	server  *stutterer
	n       int
	asked   int // Requests that could be answered.
	served  int
}

func (c *caller) request(values map[string]string, kind daisystatement.Kind, client string) daisyrequest.Request {
	c.n++
	now := time.Now()
	st := daisystatement.Statement{ID: fmt.Sprint("q", c.n), Kind: kind, Text: client + " " + fmt.Sprint(values)}
	if kind == daisystatement.KindExecute {
		st.Name, st.Shape, st.ReadOnly = "s", fmt.Sprint("shape", c.server.draw("shape", 2)), c.server.draw("read", 2) == 0
	}
	return daisyrequest.Request{
		Server: serverName, Workspace: "w", Weight: 1, Class: "c", Statement: st, Values: values,
		SendDeadline: now.Add(time.Second), Deadline: now.Add(time.Second),
	}
}

// own checks that an answer is that of the request.
func (c *caller) own(req daisyrequest.Request, a daisystatement.Answer, err error) {
	c.asked++
	if err != nil || a.Failure != nil {
		return
	}
	c.served++
	if a.Signature == "" || !slices.Equal(a.Rows, []string{"row of " + req.Statement.ID}) {
		c.server.wrong = append(c.server.wrong, fmt.Sprintf("%s was answered with %v", req.Statement.ID, a.Rows))
	}
}

// promised reports whether the caller was told that nothing is kept.
func promised(a daisystatement.Answer, err error) bool {
	return errors.Is(err, daisyrequest.ErrNotSent) || err == nil && a.Failure != nil && a.Failure.Code.NotRun()
}

// mayNotKeep checks a promise.
func (c *caller) mayNotKeep(id string, a daisystatement.Answer, err error) {
	if promised(a, err) && c.server.kept[id] {
		c.server.wrong = append(c.server.wrong, fmt.Sprintf("%s was kept though %v, %v was promised", id, a.Failure, err))
	}
	if err == nil && a.Failure == nil && !c.server.kept[id] {
		c.server.wrong = append(c.server.wrong, id+" was acknowledged and not kept")
	}
}

func (c *caller) single(values map[string]string) {
	kinds := []daisystatement.Kind{daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute}
	req := c.request(values, kinds[c.server.draw("kind", len(kinds))], fmt.Sprint("c", c.n))
	a, _, err := c.gateway.Run(req)
	c.own(req, a, err)
	if writes(req.Statement) {
		c.mayNotKeep(req.Statement.ID, a, err)
	}
}

func (c *caller) status() {
	req := c.request(nil, daisystatement.KindStatus, "")
	req.Statement.ID, req.Statement.Text = daisystatement.SystemID, ""
	a, _, err := c.gateway.Run(req)
	if err == nil && a.Failure == nil && len(a.Rows) != 1 {
		c.server.wrong = append(c.server.wrong, "a status without a row")
	}
}

func (c *caller) transaction(values map[string]string) {
	client := fmt.Sprint("c", c.n, "T")
	begin := c.request(values, daisystatement.KindBegin, "")
	begin.Statement.ID, begin.Statement.Text, begin.Pin = daisystatement.SystemID, "", true
	a, conn, err := c.gateway.Run(begin)
	if err != nil || a.Failure != nil {
		return
	}
	defer conn.Close()
	var wrote []string
	for range c.server.draw("statements", 4) {
		if c.server.draw("set", 6) == 0 {
			values = map[string]string{"a": fmt.Sprint(c.n)}
		}
		kinds := []daisystatement.Kind{daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute}
		req := c.request(values, kinds[c.server.draw("kind", len(kinds))], client)
		a, err := conn.Do(req)
		c.own(req, a, err)
		if writes(req.Statement) && err == nil && a.Failure == nil {
			wrote = append(wrote, req.Statement.ID)
		}
		if err != nil || a.State != daisystatement.StateOpen {
			return
		}
	}
	if c.server.draw("rolled back", 4) == 0 {
		return
	}
	req := c.request(values, daisystatement.KindCommit, client)
	a, err = conn.Do(req)
	c.own(req, a, err)
	for _, id := range wrote {
		c.mayNotKeep(id, a, err)
	}
}

// Guards against an answer that a server sends again and that is taken for the answer to a
// later statement: other rows, statements outside their transaction or with other values, writes
// that are kept though they were said not to be.
func TestAnswersSentAgainReachNoOtherStatement(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	if n, err := strconv.Atoi(checks.Value.String()); err == nil && n < leastChecks {
		former := checks.Value.String()
		assert.NilError(t, checks.Value.Set(strconv.Itoa(leastChecks)))
		t.Cleanup(func() { _ = checks.Value.Set(former) })
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &stutterer{t: t, twice: rapid.IntRange(0, 9).Draw(t, "share twice"), refused: rapid.IntRange(0, 4).Draw(t, "share refused"), kept: map[string]bool{}}
		p := daisypool.New(s)
		p.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: connections, MaxOpen: connections})
		c := &caller{t: t, server: s, gateway: daisygateway.New(p, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})}
		sets := []map[string]string{nil, {"a": "1"}, {"a": "2", "b": "1"}}
		for range rapid.IntRange(1, 40).Draw(t, "operations") {
			values := sets[s.draw("values", len(sets))]
			switch s.draw("operation", 8) {
			case 0:
				c.status()
			case 1, 2, 3:
				c.transaction(values)
			default:
				c.single(values)
			}
		}
		if s.twice == 0 && s.refused == 0 {
			assert.Equal(t, c.served, c.asked)
		}
		assert.DeepEqual(t, s.wrong, []string(nil))
		assert.NilError(t, p.Close())
	})
}
