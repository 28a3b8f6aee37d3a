package daisyrouter

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
)

const (
	// returnRamp is the time over which the share of reads of a server grows to the usual
	// one after the evacuation of its failure domain has ended.
	returnRamp = 2 * time.Second
	// successionStart is how long after an order the control leader may take to end the
	// leadership of an evacuated primary: two probes of the other servers and a push of
	// the state. A primary that still leads then has no successor that is fit.
	successionStart = time.Second
)

// evacuations is what a host knows of the backend servers in evacuated failure domains.
type evacuations struct {
	since   map[string]time.Time   // By server, when this host learned that it is evacuated.
	returns map[string]*serverRamp // By server that has returned less than returnRamp ago.
	changed chan struct{}          // Closed when since changes.
}

// serverRamp is the return of one server.
type serverRamp struct {
	began  time.Time
	credit float64 // Offers that are due; the server is offered a read at 1.
}

func newEvacuations() evacuations {
	return evacuations{since: make(map[string]time.Time), returns: make(map[string]*serverRamp), changed: make(chan struct{})}
}

// has reports whether the server is evacuated.
func (e *evacuations) has(server string) bool {
	_, ok := e.since[server]
	return ok
}

// update sets the servers that exist, and whether each is evacuated.
func (e *evacuations) update(now time.Time, servers map[string]bool) {
	changed := false
	for name, evacuated := range servers {
		_, before := e.since[name]
		switch {
		case evacuated && !before:
			e.since[name], changed = now, true
			delete(e.returns, name)
		case !evacuated && before:
			e.returns[name], changed = &serverRamp{began: now}, true
			delete(e.since, name)
		}
	}
	for name := range e.since {
		if _, ok := servers[name]; !ok {
			delete(e.since, name)
		}
	}
	for name, ramp := range e.returns {
		if _, ok := servers[name]; !ok || now.Sub(ramp.began) >= returnRamp {
			delete(e.returns, name)
		}
	}
	if changed {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// offered reports whether the server is a candidate for the next read: always, unless it
// has returned less than returnRamp ago. Then it is one for a share of the reads that
// grows with the time. The choice is not random, so that a test can follow it.
func (e *evacuations) offered(now time.Time, server string) bool {
	ramp := e.returns[server]
	if ramp == nil {
		return true
	}
	share := float64(now.Sub(ramp.began)) / float64(returnRamp)
	if share >= 1 {
		delete(e.returns, server)
		return true
	}
	if ramp.credit += share; ramp.credit < 1 {
		return false
	}
	ramp.credit--
	return true
}

// Evacuated reports whether the server is in an evacuated failure domain, so that no
// statement may be sent to it.
func (r *Router) Evacuated(server string) bool {
	_, evacuated := r.EvacuatedSince(server)
	return evacuated
}

// EvacuatedSince returns when this host learned that the server's failure domain is
// evacuated. It returns false if it is not.
func (r *Router) EvacuatedSince(server string) (since time.Time, evacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, evacuated = r.evacuations.since[server]
	return since, evacuated
}

// EvacuationsChanged returns a channel that is closed when a server is evacuated or
// returns.
func (r *Router) EvacuationsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evacuations.changed
}

// Unservable reports whether evacuations leave the service no server that can run a
// statement now. For a statement that needs the primary, that is so too while the
// primary is evacuated and the control leader has begun no succession.
func (r *Router) Unservable(name string, needsPrimary bool) bool {
	primary, now := r.primary(name), daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	since, primaryEvacuated := r.evacuations.since[primary]
	if needsPrimary && primary != "" && !primaryEvacuated {
		return false
	}
	staying, evacuated := 0, 0
	for _, s := range r.Group(name).Servers {
		switch {
		case r.evacuations.has(s.Name):
			evacuated++
		case !s.Leaving:
			staying++
		}
	}
	return evacuated > 0 && staying == 0 || needsPrimary && primaryEvacuated && now.Sub(since) > successionStart
}
