package daisysession_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

// run records a statement that a server ran.
type run struct {
	id     string
	kind   daisystatement.Kind
	text   string
	values map[string]string
	inside bool // In a transaction.
}

// server is an in-memory backend server.
type server struct {
	mu          sync.Mutex
	name        string
	primary     bool
	position    daisystatement.Position
	unreachable bool
	work        time.Duration                                        // Delay before each answer.
	loseAnswer  func(s daisystatement.Statement) bool                // Reports whether to run the statement but lose its answer.
	before      func(s daisystatement.Statement)                     // Called before a statement runs.
	refuse      func(s daisystatement.Statement) daisystatement.Code // Returns the code with which the statement is refused without being run.
	runs        []run
	commits     int
	signed      int     // Answers with a signature.
	links       []*link // All that were opened.
}

func (s *server) ran(kind daisystatement.Kind) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []run
	for _, r := range s.runs {
		if r.kind == kind {
			all = append(all, r)
		}
	}
	return all
}

// link is a connection to an in-memory server. Each answer is delayed by the
// server's work.
type link struct {
	server   *server
	state    daisystatement.State
	values   map[string]string
	prepared map[string]string
	wrote    bool
	answers  []daisystatement.Answer
	lost     bool
	closed   atomic.Bool
	done     chan struct{} // Closed with the link.
}

func (l *link) Alive() (alive, unread bool) { return !l.closed.Load(), false }
func (l *link) Close() {
	if !l.closed.Swap(true) {
		close(l.done)
	}
}

func (l *link) Send(statements []daisystatement.Statement) error {
	if l.server.unreachable {
		return io.ErrClosedPipe
	}
	for _, s := range statements {
		l.handle(s)
	}
	return nil
}

func (l *link) handle(s daisystatement.Statement) {
	if l.server.before != nil {
		l.server.before(s)
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	a := l.answer(s)
	if l.server.loseAnswer != nil && l.server.loseAnswer(s) {
		l.lost = true
	}
	l.answers = append(l.answers, a)
}

func (l *link) answer(s daisystatement.Statement) daisystatement.Answer {
	v := l.server
	fail := func(c daisystatement.Code) daisystatement.Answer {
		if l.state == daisystatement.StateOpen {
			l.state = daisystatement.StateFailed
		}
		return daisystatement.Answer{Failure: &daisystatement.Failure{Code: c}, State: l.state, Position: v.position}
	}
	if v.refuse != nil {
		if c := v.refuse(s); c != daisystatement.CodeNone {
			return fail(c)
		}
	}
	if s.MinPosition.Compare(v.position) > 0 {
		return fail(daisystatement.CodeLagging)
	}
	v.runs = append(v.runs, run{id: s.ID, kind: s.Kind, text: s.Text, values: maps.Clone(l.values), inside: l.state == daisystatement.StateOpen})
	switch s.Kind {
	case daisystatement.KindBegin:
		if !s.ReadOnly && !v.primary {
			return fail(daisystatement.CodeReadOnly)
		}
		l.state, l.wrote = daisystatement.StateOpen, false
	case daisystatement.KindCommit:
		l.state = daisystatement.StateIdle
		if l.wrote {
			v.position.Number++
			v.commits++
		}
	case daisystatement.KindRollback:
		l.state = daisystatement.StateIdle
	case daisystatement.KindWrite:
		if !v.primary {
			return fail(daisystatement.CodeReadOnly)
		}
		l.wrote = true
		if l.state == daisystatement.StateIdle {
			v.position.Number++
			v.commits++
		}
	case daisystatement.KindSet:
		if l.values == nil {
			l.values = make(map[string]string)
		}
		l.values[s.Name] = s.Value
	case daisystatement.KindDiscard:
		l.values, l.prepared = nil, nil
	case daisystatement.KindPrepare:
		if l.prepared == nil {
			l.prepared = make(map[string]string)
		}
		l.prepared[s.Name] = s.Shape
	case daisystatement.KindExecute:
		shape, ok := l.prepared[s.Name]
		if !ok {
			return fail(daisystatement.CodeNoStatement)
		}
		v.runs[len(v.runs)-1].text = shape
	}
	a := daisystatement.Answer{State: l.state, Position: v.position}
	switch s.Kind {
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute, daisystatement.KindCommit:
		v.signed++
		a.Signature = fmt.Sprint("signed-", v.name, "-", v.signed)
	case daisystatement.KindStatus:
		a.Rows = []string{"status"}
	}
	return a
}

func (l *link) Receive(deadline time.Time) (daisystatement.Answer, error) {
	left, work := time.Until(deadline), l.server.work
	select {
	case <-time.After(min(left, work)):
	case <-l.done:
		return daisystatement.Answer{}, io.ErrClosedPipe
	}
	if work > left {
		return daisystatement.Answer{}, os.ErrDeadlineExceeded
	}
	if l.lost {
		return daisystatement.Answer{}, io.ErrUnexpectedEOF
	}
	a := l.answers[0]
	l.answers = l.answers[1:]
	return a, nil
}

// lease is a lease that a test sets.
type lease struct{ valid atomic.Bool }

func (l *lease) Valid() bool { return l.valid.Load() }

// fleet is a host and its view of one service with a primary and a replica.
type fleet struct {
	t            *testing.T
	servers      map[string]*server
	view         *daisyfleet.View
	lease        *lease
	router       *daisyrouter.Router
	pool         *daisypool.Pool
	gateway      *daisygateway.Gateway
	env          *daisysession.Environment
	index        atomic.Pointer[daisyspec.Index]
	applied      uint64
	profiles     []daisyspec.Profile // Beyond the usual ones.
	unresponsive atomic.Int32
}

const (
	serviceName = "baskets"
	keyText     = "key-1"
	// otherKeyText is the key of a second workspace.
	otherKeyText = "key-2"
)

func (f *fleet) Dial(_ context.Context, t daisypool.Target) (daisypool.Link, error) {
	s := f.servers[t.Server]
	if s.unreachable {
		return nil, errors.New("unreachable")
	}
	l := &link{server: s, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, l)
	return l, nil
}

func (f *fleet) Reach(_ context.Context, addr netip.AddrPort) error {
	for i, name := range serverNames {
		if addr.Port() == uint16(7000+i) && f.servers[name].unreachable {
			return errors.New("unreachable")
		}
	}
	return nil
}

var serverNames = []string{"m1", "m2"}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, servers: make(map[string]*server), view: daisyfleet.NewView(), lease: &lease{}}
	f.lease.valid.Store(true)
	for i, name := range serverNames {
		f.servers[name] = &server{name: name, primary: i == 0, work: 20 * time.Millisecond, position: daisystatement.Position{Term: 1, Number: 10}}
		f.put(daisyfleet.KindServer, name, daisyfleet.Server{
			Service: serviceName, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		})
	}
	f.put(daisyfleet.KindLeadership, serviceName, daisyfleet.Leadership{Epoch: 1, Server: "m1", Term: 1})
	f.pool = daisypool.New(f)
	for i, name := range serverNames {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
		f.pool.Set(daisypool.Target{Server: name, Service: serviceName, Address: addr}, daisypool.Share{KeepOpen: 3, MaxOpen: 3})
	}
	f.gateway = daisygateway.New(f.pool, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	f.router = daisyrouter.New(daisyrouter.Options{
		View: f.view, Lease: f.lease, Forwarder: f.gateway, Reach: f.pool.Reach,
		GatewayRank: func(string) int { return 0 }, OnUnresponsive: func() { f.unresponsive.Add(1) },
	})
	f.router.Refresh()
	admission := daisyadmission.New(func() {})
	admission.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w1", Rate: 1000, Burst: 1000}, {Workspace: "w2", Rate: 1000, Burst: 1000}})
	time.Sleep(time.Second) // Token buckets start empty.
	f.setKeys(keyText)
	f.env = &daisysession.Environment{
		Index: f.index.Load, Router: f.router, Forwarder: f.gateway, Admission: admission,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	return f
}

func (f *fleet) close() {
	assert.NilError(f.t, f.pool.Close())
}

// addProfile adds a profile to the desired state.
func (f *fleet) addProfile(p daisyspec.Profile) {
	f.profiles = append(f.profiles, p)
	f.setKeys(keyText)
}

func (f *fleet) setKeys(keys ...string) {
	profile := func(database string, fresh daisyspec.Freshness) daisyspec.Profile {
		return daisyspec.Profile{
			Name: database, Database: database, Service: serviceName, Freshness: fresh,
			MaxAge: 1500 * time.Millisecond, Timeout: time.Second, Latency: 500 * time.Millisecond,
		}
	}
	profiles := []daisyspec.Profile{profile("strict", daisyspec.FreshPrimary), profile("loose", daisyspec.FreshBounded), profile("own", daisyspec.FreshSession)}
	f.index.Store(daisyspec.NewIndex(&daisyspec.Document{
		Version:  1,
		Profiles: append(profiles, f.profiles...),
		Services: []daisyspec.Service{{Name: serviceName, Connections: 21}},
		Workspaces: []daisyspec.Workspace{
			{Name: "w1", Keys: keys, Rate: 1000, Burst: 1000}, {Name: "w2", Keys: []string{otherKeyText}, Rate: 1000, Burst: 1000},
		},
	}))
}

// put changes an object of the host's view.
func (f *fleet) put(k daisyfleet.Kind, name string, v daisyfleet.Value) {
	err := f.view.Update(func(s *daisyfleet.State) error {
		id := daisyfleet.ID{Kind: k, Name: name}
		o, ok := s.Get(id)
		if !ok {
			o.Revision = 0 // A deleted object is created anew.
		}
		f.applied++
		out := s.Apply(f.applied, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
		if !out.Accepted {
			return errors.New(out.Message)
		}
		return nil
	})
	assert.NilError(f.t, err)
}

func (f *fleet) session(database string) *daisysession.Session {
	f.t.Helper()
	return f.sessionOf(database, keyText)
}

func (f *fleet) sessionOf(database, key string) *daisysession.Session {
	f.t.Helper()
	s, refused := f.env.Open(database, key)
	assert.Assert(f.t, refused == nil, "%v", refused)
	return s
}

func statement(k daisystatement.Kind, id string) daisystatement.Statement {
	return daisystatement.Statement{ID: id, Kind: k, Text: fmt.Sprint("text of ", id)}
}

func do(s *daisysession.Session, st daisystatement.Statement) daisystatement.Answer {
	return s.Do(st, time.Now())
}

func code(a daisystatement.Answer) daisystatement.Code {
	if a.Failure == nil {
		return daisystatement.CodeNone
	}
	return a.Failure.Code
}
