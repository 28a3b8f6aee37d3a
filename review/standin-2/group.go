package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	membersEach = 3
	workTime    = 8 * time.Millisecond
)

// commit is an entry of a service's log.
type commit struct {
	id, item, data string
	at             time.Time
}

// execution is a statement that a member ran.
type execution struct {
	at             time.Time
	member, conn   string
	id, text       string
	shape          string // Of the prepared statement that it executed.
	number, commit int    // The log of the member had the number; a write was committed as commit.
}

// group is a service: a primary and its replicas.
type group struct {
	fleet   *fleet
	service string

	mu      sync.Mutex
	members []*member
	primary *member
	term    int
	log     []commit
	lag     time.Duration // Of the replicas.
	signed  int
	ran     []execution
	sync    int // How many replicas must have received a commit before it is acknowledged.
}

func openGroup(ctx context.Context, f *fleet, service string, index int) (*group, error) {
	const replicaLag = 20 * time.Millisecond
	g := &group{fleet: f, service: service, term: 1, lag: replicaLag}
	for i := range membersEach {
		m := &member{group: g, id: fmt.Sprintf("i-%s-%d", service, i+1), zone: zones[i].name, born: time.Now().UnixMilli()}
		if err := m.listen(fmt.Sprintf("%s.%d:0", f.prefix, 100+membersEach*index+i)); err != nil {
			return nil, err
		}
		g.members = append(g.members, m)
		f.wait.Go(func() { m.announce(ctx) })
	}
	g.primary = g.members[0]
	return g, nil
}

// received returns how many entries of the log the member has received; g.mu is held.
func (g *group) received(m *member) int {
	if m.kept != nil {
		return len(m.kept)
	}
	if m == g.primary {
		return len(g.log)
	}
	if m.deaf || g.primary.down {
		return m.number
	}
	n, until := len(g.log), time.Now().Add(-g.lag)
	for n > 0 && g.log[n-1].at.After(until) {
		n--
	}
	m.number = max(m.number, n)
	return m.number
}

func (g *group) setLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = lag
}

// find returns the member with the ID if it runs, else nil; g.mu is held.
func (g *group) find(id string) *member {
	for _, m := range g.members {
		if m.id == id && !m.down {
			return m
		}
	}
	return nil
}

// runs reports whether the member runs.
func (g *group) runs(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.find(id) != nil
}

// promote makes the member the primary of the next term with what it has received.
func (g *group) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	if m == nil || m == g.primary {
		return
	}
	log := g.log
	if m.kept != nil {
		log = m.kept
	}
	g.log = slices.Clone(log[:g.received(m)])
	m.kept = nil
	for _, other := range g.members {
		other.number = min(other.number, len(g.log))
	}
	g.primary = m
	g.term++
	g.fleet.record.note("%s leads %s in term %d with a log of %d entries", m.id, g.service, g.term, len(g.log))
}

// termOf returns the term of the member's log; g.mu is held.
func (g *group) termOf(m *member) int {
	if m.kept != nil {
		return m.keptTerm
	}
	return g.term
}

// isReplicated reports whether enough replicas have received the entry with the number.
func (g *group) isReplicated(number int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, m := range g.members {
		if m != g.primary && !m.down && m.kept == nil && g.received(m) >= number {
			n++
		}
	}
	return n >= g.sync
}

// holds reports whether the log has a commit of the request.
func (g *group) holds(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.log, func(c commit) bool { return c.id == id })
}

// leads returns the primary and its term.
func (g *group) leads() (id string, term int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary.id, g.term
}

// sign returns a signature that no other answer has; g.mu is held.
func (g *group) sign(m *member) string {
	g.signed++
	return fmt.Sprintf("%s.%d.%d", m.id, g.term, g.signed)
}

// history returns what the members have run so far.
func (g *group) history() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.ran...)
}

// ranAs returns the run of the request with the ID, if there is one.
func (g *group) ranAs(id string) (r execution, ok bool) {
	for _, r := range g.history() {
		if r.id == id {
			return r, true
		}
	}
	return r, false
}

// value returns the data of the item in the log up to the number; g.mu is held.
func (g *group) value(item string, number int) string {
	for i := number - 1; i >= 0; i-- {
		if g.log[i].item == item {
			return g.log[i].data
		}
	}
	return "-"
}

// rows returns the rows of the item. An item "list-N" is a list of N rows of rowBytes.
func (g *group) rows(item string, number int) []string {
	const rowBytes = 256 << 10
	var n int
	if _, err := fmt.Sscanf(item, "list-%d", &n); err != nil {
		return []string{g.value(item, number)}
	}
	row, rows := strings.Repeat("q", rowBytes), make([]string, n)
	for i := range rows {
		rows[i] = row
	}
	return rows
}

// member returns the member with the ID.
func (g *group) member(id string) *member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// setDeaf sets whether the replicas, all if none is named, receive nothing from the primary.
func (g *group) setDeaf(deaf bool, replicas ...*member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(replicas) == 0 {
		replicas = g.members
	}
	for _, m := range replicas {
		g.received(m)
		m.deaf = deaf
	}
}

// awaitTerm waits until a member was promoted.
func (g *group) awaitTerm(ctx context.Context, term int) error {
	const limit = 25 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := poll(ctx, func() bool { _, current := g.leads(); return current >= term }); err != nil {
		return fmt.Errorf("no member was promoted: %w", err)
	}
	return nil
}
