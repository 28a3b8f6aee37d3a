// Package daisyadmission admits operations on one host within the limits of their
// workspaces.
package daisyadmission

import (
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
)

const (
	// askSpacing is the least time between two requests for tokens out of turn.
	askSpacing = 60 * time.Millisecond
	// drySpacing is that time for a workspace whose pool keeps running out, where
	// asking more often brings no more tokens. It is below half of the time between
	// heartbeats, so that the pool is drawn on before it fills up.
	drySpacing = 240 * time.Millisecond
	// retryStep is how often a waiting operation looks for granted tokens.
	retryStep = 10 * time.Millisecond
)

// Controller holds the purses of a host.
type Controller struct {
	ask func() // Has the next heartbeat sent at once.

	mu     sync.Mutex
	hosts  int
	limits map[string]daisyquota.Limit
	purses map[string]*daisyquota.LocalBucket
	asked  time.Time
	lines  map[string]map[int]int // Operations that wait, by workspace and priority.
	wants  map[string]want
}

// want is what a workspace still lacks of the tokens that the host asked for.
type want struct {
	lacking float64       // Tokens asked for and not granted yet.
	spacing time.Duration // Between two requests out of turn.
}

// New returns a gate without limits that calls ask when it is short of tokens.
func New(ask func()) *Controller {
	return &Controller{
		ask: ask, hosts: 1, limits: make(map[string]daisyquota.Limit), purses: make(map[string]*daisyquota.LocalBucket),
		lines: make(map[string]map[int]int), wants: make(map[string]want),
	}
}

// SetHosts changes how many hosts share the limits.
func (g *Controller) SetHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.hosts {
		return
	}
	g.hosts = n
	g.apply()
}

// SetLimits replaces the limits.
func (g *Controller) SetLimits(limits []daisyquota.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.limits)
	for _, l := range limits {
		g.limits[l.Workspace] = l
	}
	g.apply()
}

func (g *Controller) apply() {
	now := daisyclock.Now()
	for name, l := range g.limits {
		if p := g.purses[name]; p != nil {
			p.SetLimit(now, l, g.hosts)
			continue
		}
		g.purses[name] = daisyquota.NewLocalBucket(now, l, g.hosts)
	}
	for name := range g.purses {
		if _, ok := g.limits[name]; !ok {
			delete(g.purses, name)
			delete(g.wants, name)
		}
	}
}

// Admit admits one operation of the workspace. It waits up to the patience for
// tokens and returns, if there are none, when to come back. While operations
// wait, those of a higher priority, which is a lower number, go first.
func (g *Controller) Admit(workspace string, priority int, patience time.Duration) (ok bool, retryAfter time.Duration) {
	until := daisyclock.Now().Add(patience)
	if ok, retryAfter = g.take(daisyclock.Now(), workspace, priority, (*daisyquota.LocalBucket).Take); ok {
		return ok, retryAfter
	}
	g.line(workspace, priority, 1)
	defer g.line(workspace, priority, -1)
	for daisyclock.Now().Before(until) {
		time.Sleep(retryStep)
		if ok, retryAfter = g.take(daisyclock.Now(), workspace, priority, (*daisyquota.LocalBucket).RetryTake); ok {
			break
		}
	}
	return ok, retryAfter
}

// line changes how many operations of the workspace and the priority wait.
func (g *Controller) line(workspace string, priority, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.lines[workspace]
	if waiting == nil {
		waiting = make(map[int]int)
		g.lines[workspace] = waiting
	}
	if waiting[priority] += change; waiting[priority] == 0 {
		delete(waiting, priority)
	}
	if len(waiting) == 0 {
		delete(g.lines, workspace)
	}
}

// outranked reports whether an operation of a higher priority waits.
func (g *Controller) outranked(workspace string, priority int) bool {
	for p := range g.lines[workspace] {
		if p < priority {
			return true
		}
	}
	return false
}

func (g *Controller) take(now time.Time, workspace string, priority int, take func(*daisyquota.LocalBucket, time.Time) (bool, time.Duration)) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.purses[workspace]
	if p == nil {
		return false, time.Second
	}
	if g.outranked(workspace, priority) {
		return false, askSpacing
	}
	ok, wait := take(p, now)
	if !ok && now.Sub(g.asked) > max(askSpacing, g.wants[workspace].spacing) {
		g.asked = now
		g.ask()
	}
	return ok, wait
}

// State returns what the gate decides by for a workspace.
func (g *Controller) State(workspace string) (s daisyquota.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.purses[workspace]; p != nil {
		s = p.State()
	}
	return s
}

// Demands returns the tokens that the host lacks.
func (g *Controller) Demands() []daisyheartbeat.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := daisyclock.Now()
	var demands []daisyheartbeat.Demand
	for name, p := range g.purses {
		tokens := p.Wanted(now)
		if tokens > 0 {
			demands = append(demands, daisyheartbeat.Demand{Workspace: name, Tokens: tokens})
		}
		g.wants[name] = g.wants[name].next(tokens)
	}
	return demands
}

// next returns the want after another request for so many tokens. While those
// asked for before are lacking, requests come at growing distances.
func (w want) next(tokens float64) want {
	spacing := askSpacing
	if w.lacking > 0 && tokens > 0 {
		spacing = min(2*max(w.spacing, askSpacing), drySpacing)
	}
	return want{lacking: tokens, spacing: spacing}
}

// AddGrants adds granted tokens.
func (g *Controller) AddGrants(grants []daisyheartbeat.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := daisyclock.Now()
	for _, d := range grants {
		if p := g.purses[d.Workspace]; p != nil {
			p.Add(now, d.Tokens)
			w := g.wants[d.Workspace]
			w.lacking -= d.Tokens
			g.wants[d.Workspace] = w
		}
	}
}
