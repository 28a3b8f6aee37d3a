package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// promoteTime is how long the platform takes to make a server the primary.
	promoteTime = 300 * time.Millisecond
	// replicateInterval is how often replicas receive what they lack.
	replicateInterval = 5 * time.Millisecond
	// stepDownTime is how long a replaced primary goes on once it can reach the new one.
	stepDownTime = time.Second
)

// write is a change of an item.
type write struct{ item, data string }

// entry is a commit in the log of a server.
type entry struct {
	term   uint64
	unique int // Identifies the commit in all logs.
	writes []write
	at     time.Time // When this server received it.
}

// promotion is a change of primary that took effect.
type promotion struct {
	at       time.Time
	server   string
	received int
	items    map[string]bool // The data in the log of the server then.
}

// acknowledged is a write that was acknowledged to a consumer.
type acknowledged struct {
	at   time.Time
	data string
}

// group is a replicated service.
type group struct {
	record *record

	mu           sync.Mutex
	members      []*member
	primary      *member // According to the platform.
	term         uint64
	syncReplicas int
	unique       int
	acks         []acknowledged
	promotions   []promotion
	runs         []run
}

// run is a statement that a server ran.
type run struct {
	at     time.Time
	server string
	id     string
	text   string
	gone   bool // The server was draining or gone.
}

func newGroup(r *record, syncReplicas int) *group {
	g := &group{record: r, term: 1, syncReplicas: syncReplicas}
	go g.replicate()
	return g
}

// replicate brings the replicas up to date.
func (g *group) replicate() {
	for range time.Tick(replicateInterval) {
		g.mu.Lock()
		for _, m := range g.members {
			g.follow(m)
		}
		g.mu.Unlock()
	}
}

// follow lets a replica receive what the primary has; g.mu is held.
func (g *group) follow(m *member) {
	p := g.primary
	if p == nil || m == p || !p.alive || !m.alive || m.deaf {
		return
	}
	if m.primary {
		if m.reachedAt.IsZero() {
			m.reachedAt = time.Now()
		}
		if time.Since(m.reachedAt) < stepDownTime {
			return
		}
		m.stepDown()
	}
	m.term = p.term
	same := min(len(m.log), len(p.log))
	for same > 0 && m.log[same-1].unique != p.log[same-1].unique {
		same--
	}
	m.log = m.log[:same]
	missing := p.log[same:]
	if m.copyInterval > 0 && len(missing) > 0 {
		if time.Since(m.copiedAt) < m.copyInterval {
			return
		}
		missing, m.copiedAt = missing[:1], time.Now()
	}
	for _, e := range missing {
		e.at = time.Now()
		m.log = append(m.log, e)
	}
}

// commit adds a commit to the log of the primary and waits until as many replicas as are
// synchronous have received it. It returns false if the server ended meanwhile.
func (g *group) commit(m *member, writes []write) bool {
	g.mu.Lock()
	g.unique++
	unique, lifetime := g.unique, m.lifetime
	m.log = append(m.log, entry{term: m.term, unique: unique, writes: writes, at: time.Now()})
	needed := g.syncReplicas
	g.mu.Unlock()
	for ; ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		if !m.alive || m.lifetime != lifetime {
			g.mu.Unlock()
			return false
		}
		holders := 0
		for _, other := range g.members {
			if other != m && other.alive && other.holds(unique) {
				holders++
			}
		}
		g.mu.Unlock()
		if holders >= needed {
			return true
		}
	}
}

// promote makes a server the primary after promoteTime. It returns false if the server does
// not run.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id && m.alive })
	if i < 0 {
		return false
	}
	m := g.members[i]
	if m == g.primary {
		return true
	}
	lifetime := m.lifetime
	time.AfterFunc(promoteTime, func() { g.takeOver(m, lifetime) })
	return true
}

func (g *group) takeOver(m *member, lifetime int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.alive || m.lifetime != lifetime || m == g.primary {
		return
	}
	g.term++
	g.primary, m.primary, m.term, m.reachedAt = m, true, g.term, time.Time{}
	p := promotion{at: time.Now(), server: m.id, received: len(m.log), items: make(map[string]bool)}
	for _, e := range m.log {
		for _, w := range e.writes {
			p.items[w.data] = true
		}
	}
	g.promotions = append(g.promotions, p)
	g.record.note("platform: %s is the primary in term %d with %d commits", m.id, g.term, len(m.log))
	m.wake()
}

// acknowledge notes a write that was acknowledged to a consumer.
func (g *group) acknowledge(data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acks = append(g.acks, acknowledged{at: time.Now(), data: data})
}

// checkLost returns the writes that were acknowledged before a promotion and that the log of
// the promoted server lacked.
func (g *group) checkLost() (lost []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.promotions {
		for _, a := range g.acks {
			if a.at.Before(p.at) && !p.items[a.data] {
				lost = append(lost, fmt.Sprintf("%s, acknowledged %v before the promotion of %s", a.data, p.at.Sub(a.at).Round(time.Millisecond), p.server))
			}
		}
	}
	return lost
}

// ranOn returns the servers on which a statement that reads the item was begun.
func (g *group) ranOn(item string) (servers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.text == "FETCH "+item {
			servers = append(servers, r.server)
		}
	}
	return servers
}

// servePlatform serves the platform's calls and returns their address.
func (g *group) servePlatform(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != serviceName {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		done := g.promote(body.ID)
		g.record.note("platform: promotion of %s ordered by %s with fence %s, accepted: %v", body.ID, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"), done)
		if !done {
			w.WriteHeader(http.StatusConflict)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// newMember adds a server that does not run yet.
func (g *group) newMember(id, address string, zone int) *member {
	m := &member{group: g, id: id, address: address, zone: zone, conns: make(map[net.Conn]bool), woken: make(chan struct{}, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, m)
	return m
}
