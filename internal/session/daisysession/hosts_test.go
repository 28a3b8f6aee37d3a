package daisysession_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

var (
	firstSeed = flag.Uint64("hosts.first", 1, "first seed of the random runs between hosts")
	again     = flag.Int("hosts.again", 0, "of 100 answers of a server, how many it sends again")
	seeds     = flag.Uint64("hosts.seeds", 40, "number of seeds of the random runs between hosts")
)

// maxStaleness is that of the profiles of a fleet.
const maxStaleness = 1500 * time.Millisecond

// result is what the client of an operation was told.
type result struct {
	writes   []string
	promised bool // Nothing is kept.
	done     bool // All is kept.
}

// client is a client of the hosts that does what its chance has it do.
type client struct {
	h        *hosts
	name     string
	chance   chance
	database string
	session  *daisysession.Session
	ctx      context.Context // Ends when the client leaves.
	leave    context.CancelFunc
	values   map[string]string
	shapes   map[string]string // Of the prepared statements, by name.
	sent     int
	wrote    uint64 // The last commit of the session that was acknowledged.
	results  []result
	answered int
}

func (c *client) draw(n int, what string) int { return c.chance.of(n, c.name, c.sent, what) }

// pause pauses for at most the time.
func (c *client) pause(most time.Duration) { time.Sleep(time.Duration(c.draw(int(most), "pause"))) }

// open opens a session. Its client may leave after a while.
func (c *client) open() {
	left := time.Hour
	if c.draw(4, "leaves") == 0 {
		left = time.Duration(c.draw(int(2*time.Second), "left"))
	}
	c.session = c.h.session(c.database)
	c.ctx, c.leave = context.WithTimeout(context.Background(), left)
	c.values, c.shapes, c.wrote = nil, map[string]string{}, 0
}

// close ends the session.
func (c *client) close() {
	c.session.Close()
	c.leave()
}

// do sends a statement.
func (c *client) do(st daisystatement.Statement) daisystatement.Answer {
	return c.session.DoFor(c.ctx, st, time.Now())
}

// next returns the next statement of the kind without its text.
func (c *client) next(k daisystatement.Kind) daisystatement.Statement {
	c.sent++
	return daisystatement.Statement{ID: fmt.Sprint(c.name, ".", c.sent), Kind: k}
}

// serve sends a read or a write and checks its answer. It returns the statement's ID.
func (c *client) serve(operation string, inside, write bool) (id string, a daisystatement.Answer) {
	k := daisystatement.KindRead
	if write {
		k = daisystatement.KindWrite
	}
	st := c.next(k)
	want := intent{operation: operation, inside: inside, write: write, text: "text of " + st.ID, values: maps.Clone(c.values)}
	verb := map[bool]string{false: "r", true: "w"}[write]
	if names := slices.Sorted(maps.Keys(c.shapes)); c.draw(3, "execute") == 0 && len(names) > 0 {
		if name := names[c.draw(len(names), "name")]; name[:1] == verb {
			st.Kind, st.Name, want.shape = daisystatement.KindExecute, name, c.shapes[name]
		}
	}
	st.Text, st.Arguments = want.text, want.text
	c.h.service.intend(st.ID, want)
	least := c.leastPosition()
	a = c.do(st)
	if !c.checkAnswer(st, a) || write || inside {
		return st.ID, a
	}
	var at daisystatement.Position
	if _, err := fmt.Sscanf(a.Rows[1], "%d.%d", &at.Term, &at.Number); err != nil || at.Number < least {
		c.violate("%s ran at %s, before %d", st.ID, a.Rows[1], least)
	}
	return st.ID, a
}

// leastPosition returns the number of the commit that a read of the session, sent now, has
// to see.
func (c *client) leastPosition() uint64 {
	switch c.database {
	case "strict":
		return c.h.service.acknowledgedBy(time.Now())
	case "own":
		return max(c.wrote, c.h.service.acknowledgedBy(time.Now().Add(-maxStaleness)))
	}
	return c.h.service.acknowledgedBy(time.Now().Add(-maxStaleness))
}

// checkAnswer reports whether the answer is the statement's own.
func (c *client) checkAnswer(st daisystatement.Statement, a daisystatement.Answer) bool {
	if a.Failure != nil {
		return false
	}
	c.answered++
	c.h.service.mu.Lock()
	signed := c.h.service.signed[a.Signature]
	c.h.service.mu.Unlock()
	if signed != st.ID || len(a.Rows) != 2 || a.Rows[0] != "row of "+st.ID {
		c.violate("%s was answered with %q for %q and the rows %q", st.ID, a.Signature, signed, a.Rows)
		return false
	}
	return true
}

func (c *client) violate(format string, args ...any) {
	c.h.service.mu.Lock()
	defer c.h.service.mu.Unlock()
	c.h.service.violate(format, args...)
}

// single runs one statement as an operation.
func (c *client) single() {
	operation := fmt.Sprint(c.name, "-", c.sent)
	write := c.draw(2, "write") == 0
	id, a := c.serve(operation, false, write)
	if a.State != daisystatement.StateIdle {
		c.violate("%s ended in state %d", id, a.State)
	}
	if write {
		c.finish([]string{id}, a)
	}
}

// finish records the answer that ends an operation.
func (c *client) finish(writes []string, a daisystatement.Answer) {
	r := result{writes: writes, done: a.Failure == nil}
	r.promised = a.Failure != nil && a.Failure.Code.NotRun()
	if r.done && len(writes) > 0 {
		c.wrote = c.h.service.acknowledge(writes[0])
	}
	c.results = append(c.results, r)
}

// transaction runs a transaction.
func (c *client) transaction() {
	operation := fmt.Sprint(c.name, "-", c.sent)
	begin := c.next(daisystatement.KindBegin)
	begin.ReadOnly = c.draw(4, "readonly") == 0
	if a := c.do(begin); a.Failure != nil {
		return
	}
	var writes []string
	for range 1 + c.draw(4, "statements") {
		c.pause(40 * time.Millisecond)
		write := !begin.ReadOnly && c.draw(2, "write") == 0
		id, a := c.serve(operation, true, write)
		if write {
			writes = append(writes, id)
		}
		if a.Failure != nil {
			c.abandon(operation, writes, a.Failure)
			return
		}
		if c.draw(10, "set") == 0 {
			c.set()
		}
	}
	if c.draw(6, "ends") == 0 {
		c.abandon(operation, writes, nil)
		return
	}
	c.finish(writes, c.commit(operation))
}

// abandon ends a transaction without a COMMIT that may be run: with ROLLBACK, with the
// session, or after a failure with a COMMIT.
func (c *client) abandon(operation string, writes []string, failed *daisystatement.Failure) {
	c.results = append(c.results, result{writes: writes, promised: failed == nil || failed.Code.NotRun()})
	switch c.draw(3, "abandons") {
	case 0:
		c.do(c.next(daisystatement.KindRollback))
	case 1:
		if failed == nil || !failed.Code.NotRun() {
			c.do(c.next(daisystatement.KindRollback))
		} else if a := c.commit(operation); a.Failure == nil {
			c.violate("%s was committed after %s", operation, failed.Code)
		}
	default:
		c.close()
		c.open()
	}
}

// commit sends the COMMIT of a transaction.
func (c *client) commit(operation string) daisystatement.Answer {
	st := c.next(daisystatement.KindCommit)
	st.Text = "text of " + st.ID
	c.h.service.intend(st.ID, intent{operation: operation, inside: true, text: st.Text, values: maps.Clone(c.values)})
	a := c.do(st)
	c.checkAnswer(st, a)
	if a.State != daisystatement.StateIdle {
		c.violate("%s ended in state %d", st.ID, a.State)
	}
	return a
}

func (c *client) set() {
	st := c.next(daisystatement.KindSet)
	st.Name, st.Value = fmt.Sprint("v", c.draw(2, "value")), st.ID
	if a := c.do(st); a.Failure == nil {
		c.values = maps.Clone(c.values)
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[st.Name] = st.Value
	}
}

func (c *client) prepare() {
	st := c.next(daisystatement.KindPrepare)
	st.ReadOnly = c.draw(2, "reads") == 0
	st.Name, st.Shape = fmt.Sprint(map[bool]string{true: "r", false: "w"}[st.ReadOnly], c.draw(2, "prepared")), fmt.Sprint("shape", c.draw(5, "shape"))
	if a := c.do(st); a.Failure == nil {
		c.shapes[st.Name] = st.Shape
	}
}

// run runs a few operations.
func (c *client) run(operations int) {
	c.open()
	for range operations {
		c.sent++
		c.pause(100 * time.Millisecond)
		switch c.draw(10, "operation") {
		case 0:
			c.set()
		case 1:
			c.prepare()
		case 2, 3, 4:
			c.transaction()
		default:
			c.single()
		}
		if c.ctx.Err() != nil {
			c.close()
			c.open()
		}
	}
	c.close()
}

// acknowledge records that a write is acknowledged and returns the number of its commit.
func (v *service) acknowledge(id string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.kept[id]) == 0 {
		return 0
	}
	v.acknowledged = append(v.acknowledged, acknowledgment{time.Now(), v.kept[id][0]})
	return v.kept[id][0]
}

// acknowledgedBy returns the number of the newest commit that was acknowledged before the
// time.
func (v *service) acknowledgedBy(at time.Time) (number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range v.acknowledged {
		if a.at.Before(at) {
			number = max(number, a.number)
		}
	}
	return number
}

// checkResults checks what the clients were told against what the service kept.
func (v *service) checkResults(clients []*client) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range clients {
		for _, r := range c.results {
			for _, id := range r.writes {
				switch kept := len(v.kept[id]); {
				case kept > 1:
					v.violate("%s was kept %d times", id, kept)
				case kept > 0 && r.promised:
					v.violate("%s was kept, though the client was told that it is not", id)
				case kept == 0 && r.done:
					v.violate("%s was lost, though the client was told that it is kept", id)
				}
			}
		}
	}
	if v.open != 0 {
		v.violate("%d transactions stay open", v.open)
	}
}

// runClients runs clients on hosts and returns what was wrong, and the answers that were
// not.
func runClients(t *testing.T, seed uint64, entry string, operations int) (violations []string, answered int) {
	h := newHosts(t, chance(seed), entry)
	defer h.close()
	h.service.again = *again
	databases := []string{"strict", "loose", "own"}
	var clients []*client
	var wait sync.WaitGroup
	for i := range 9 {
		c := &client{h: h, name: fmt.Sprint("c", i), chance: chance(seed), database: databases[i%len(databases)]}
		clients = append(clients, c)
		wait.Go(func() { c.run(operations) })
	}
	wait.Wait()
	h.stop()
	h.service.checkResults(clients)
	for i, g := range h.gateways {
		if n := g.gateway.Active(); n != 0 {
			h.service.violations = append(h.service.violations, fmt.Sprintf("gateway %d keeps %d connections", i, n))
		}
	}
	for _, c := range clients {
		answered += c.answered
	}
	return h.service.violations, answered
}

// Guards against answers that cross between hosts after a time-out, an abandoned call or a
// hedged read, against promises that nothing is kept which do not hold, and against
// transactions that stay open: over a network that delays messages, repeats replies and
// loses links, to servers that keep what they ran. What a message or a statement meets
// depends on the seed; what happens at one instant has no order.
func TestAnswersBetweenHostsAreTheStatementsOwn(t *testing.T) {
	for _, entry := range []string{"entry", "gateway0", "gateway1"} {
		t.Run(entry, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
				var violations []string
				answered := 0
				synctest.Test(t, func(t *testing.T) { violations, answered = runClients(t, seed, entry, 12) })
				assert.Check(t, len(violations) == 0, "seed %d: %q", seed, violations)
				assert.Check(t, answered > 0, "seed %d", seed)
			}
		})
	}
}
