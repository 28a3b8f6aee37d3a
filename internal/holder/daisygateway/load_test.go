package daisygateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

const (
	serverName  = "m1"
	slots       = 3
	connections = 16
	handshake   = 12 * time.Millisecond
	shortRun    = 8 * time.Millisecond
	longRun     = 40 * time.Millisecond
)

// backend is an in-memory server that runs as many statements at once as it has
// slots. Opening a connection also takes a slot.
type backend struct {
	slots  chan struct{}
	mu     sync.Mutex
	dialed int
}

func newBackend() *backend { return &backend{slots: make(chan struct{}, slots)} }

func (b *backend) work(d time.Duration) {
	b.slots <- struct{}{}
	time.Sleep(d)
	<-b.slots
}

func (b *backend) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	b.mu.Lock()
	b.dialed++
	b.mu.Unlock()
	b.work(handshake)
	return &connection{backend: b}, nil
}

func (b *backend) Reach(context.Context, netip.AddrPort) error { return nil }

type connection struct {
	backend *backend
	sent    []daisystatement.Statement
	state   daisystatement.State
	signed  int // Answers with a signature.
}

func (c *connection) Send(s []daisystatement.Statement) error {
	c.sent = append(c.sent, s...)
	return nil
}

func (c *connection) Receive(time.Time) (daisystatement.Answer, error) {
	s := c.sent[0]
	c.sent = c.sent[1:]
	switch s.Kind {
	case daisystatement.KindBegin:
		c.state = daisystatement.StateOpen
	case daisystatement.KindCommit, daisystatement.KindRollback:
		c.state = daisystatement.StateIdle
	default:
		run := shortRun
		if s.Text == "long" {
			run = longRun
		} else if d, err := time.ParseDuration(s.Text); err == nil {
			run = d
		}
		c.backend.work(run)
	}
	a := daisystatement.Answer{State: c.state}
	switch s.Kind {
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute, daisystatement.KindCommit:
		c.signed++
		a.Signature = fmt.Sprint("s", c.signed)
	case daisystatement.KindStatus:
		a.Rows = []string{"status"}
	}
	return a, nil
}

func (c *connection) Alive() (alive, unread bool) { return true, false }
func (c *connection) Close()                      {}

// load sends requests to a gateway and records how they are served.
type load struct {
	backend *backend
	gateway *daisygateway.Gateway
	pool    *daisypool.Pool
	wait    sync.WaitGroup

	mu        sync.Mutex
	served    map[string]int
	requested map[string]int
	longest   map[string]time.Duration
}

func newLoad() *load {
	l := &load{
		backend: newBackend(), served: make(map[string]int), requested: make(map[string]int), longest: make(map[string]time.Duration),
	}
	l.pool = daisypool.New(l.backend)
	l.pool.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: connections, MaxOpen: connections})
	l.gateway = daisygateway.New(l.pool, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	l.gateway.SetSlots(serverName, slots, false)
	return l
}

func (l *load) close(t *testing.T) {
	l.wait.Wait()
	assert.NilError(t, l.pool.Close())
}

func (l *load) request(class, workspace string, priority int, st daisystatement.Statement) daisyrequest.Request {
	now := time.Now()
	return daisyrequest.Request{
		Server: serverName, Workspace: workspace, Weight: 1, Priority: priority, Class: class, Statement: st,
		SendDeadline: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second),
	}
}

func (l *load) record(class string, ok bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested[class]++
	if ok {
		l.served[class]++
	}
	l.longest[class] = max(l.longest[class], took)
}

// single runs one statement in the background.
func (l *load) single(class, workspace string, priority int, text string) {
	l.wait.Go(func() {
		began := time.Now()
		req := l.request(class, workspace, priority, daisystatement.Statement{ID: "1", Kind: daisystatement.KindRead, Text: text})
		_, _, err := l.gateway.Run(req)
		l.record(class, err == nil, time.Since(began))
	})
}

// transaction runs a transaction of five statements, with pauses between them, in
// the background.
func (l *load) transaction(class, workspace string) {
	l.wait.Go(func() {
		req := l.request(class, workspace, 2, daisystatement.Statement{ID: "1", Kind: daisystatement.KindBegin})
		req.Pin = true
		_, conn, err := l.gateway.Run(req)
		if err != nil {
			l.record(class, false, 0)
			return
		}
		defer conn.Close()
		for range 5 {
			time.Sleep(30 * time.Millisecond)
			began := time.Now()
			_, err := conn.Do(l.request(class, workspace, 2, daisystatement.Statement{ID: "1", Kind: daisystatement.KindWrite, Text: "short"}))
			l.record(class+" statement", err == nil, time.Since(began))
		}
		l.record(class, true, 0)
	})
}

// The replicas lag, so all reads go to the primary, which gets one and a half
// times the load that it can serve. Statements of open transactions, which hold
// connections, must wait for a few others at most; all bookings must be served,
// and short statements before long ones.
func TestPrimaryOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad()
		for i := range 300 { // 3 s at 10 ms.
			workspace := fmt.Sprint("w", i%4)
			l.single("booking", workspace, 1, "short")
			l.single("lookup", workspace, 2, "long")
			if i%3 == 0 {
				l.single("rounds", workspace, 2, "short")
			}
			if i%20 == 0 {
				l.transaction("entry", workspace)
			}
			time.Sleep(10 * time.Millisecond)
		}
		l.close(t)
		assert.Equal(t, l.served["booking"], l.requested["booking"])
		assert.Assert(t, l.served["rounds"] >= l.requested["rounds"]*9/10, "%v of %v", l.served, l.requested)
		assert.Assert(t, l.served["lookup"] < l.requested["lookup"])
		assert.Equal(t, l.served["entry statement"], l.requested["entry statement"])
		assert.Assert(t, l.longest["entry statement"] <= 4*longRun, "%v", l.longest)
		// Requests are refused at their send deadline or before.
		assert.Assert(t, l.longest["lookup"] <= 500*time.Millisecond+longRun+handshake+4*longRun, "%v", l.longest)
	})
}

// One workspace sends ten times its share. The others must be served as if it
// sent nothing.
func TestHotWorkspaceDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad()
		for i := range 200 {
			for range 5 {
				l.single("hot", "hot", 2, "long")
			}
			if i%4 == 0 {
				l.single("calm", fmt.Sprint("calm", i/4%3), 2, "short")
			}
			time.Sleep(10 * time.Millisecond)
		}
		l.close(t)
		assert.Equal(t, l.served["calm"], l.requested["calm"])
		assert.Assert(t, l.served["hot"] < l.requested["hot"])
	})
}

// Eight workspaces take turns. Each must soon have a connection of its own, so
// that connections are not reopened for each statement.
func TestWorkspacesKeepTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoad()
		for i := range 800 {
			l.single("any", fmt.Sprint("w", i%8), 2, "short")
			time.Sleep(5 * time.Millisecond)
		}
		l.close(t)
		assert.Equal(t, l.served["any"], 800)
		assert.Assert(t, l.backend.dialed <= 16, "%d connections opened", l.backend.dialed)
	})
}

// A refusal tells whether the whole queue is too long or the workspace has only used
// up its own share, so that hosts do not hold back the requests of others.
func TestRefusalTellsWhoseLoadItIs(t *testing.T) {
	tests := []struct {
		name     string
		waiting  int           // Requests that came before.
		others   bool          // They are of other workspaces, each of its own.
		sendFor  time.Duration // The time in which the refused request may be sent.
		ownShare bool
	}{
		{"ExpectedWaitTooLong", 60, true, 100 * time.Millisecond, false},
		{"OwnExpectedWaitTooLong", 60, false, 100 * time.Millisecond, true}, // Others are served before it.
		{"NotServedInTime", 6, false, 40 * time.Millisecond, true},          // The expected wait is not too long.
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLoad()
				for i := range test.waiting {
					workspace := "hot"
					if test.others {
						workspace = fmt.Sprint("w", i)
					}
					l.single("hot", workspace, 2, "long")
				}
				synctest.Wait()
				req := l.request("hot", "hot", 2, daisystatement.Statement{ID: "1", Kind: daisystatement.KindRead, Text: "long"})
				req.SendDeadline = time.Now().Add(test.sendFor)
				_, _, err := l.gateway.Run(req)
				var overload *daisyrequest.OverloadError
				assert.Assert(t, errors.As(err, &overload), "%v", err)
				assert.Equal(t, overload.OwnShare, test.ownShare)
				l.close(t)
			})
		})
	}
}

// Guards against bookings that are refused while a primary is overloaded, though they
// are a small part of its load: with many workspaces, each with lookups that wait, a
// booking must not wait for the turn of its workspace.
func TestPriorityHoldsAcrossWorkspaces(t *testing.T) {
	const workspaces = 74
	synctest.Test(t, func(t *testing.T) {
		l := newLoad()
		for i := range 600 { // 3 s; lookups are 2.7 times what the server can do.
			l.single("lookup", fmt.Sprint("w", i%workspaces), 2, "long")
			if i%10 == 0 {
				l.single("booking", fmt.Sprint("w", i*7%workspaces), 1, "short")
			}
			time.Sleep(5 * time.Millisecond)
		}
		l.close(t)
		assert.Equal(t, l.served["booking"], l.requested["booking"])
		assert.Assert(t, l.longest["booking"] <= 250*time.Millisecond, "%v", l.longest)
		assert.Assert(t, l.served["lookup"] < l.requested["lookup"])
	})
}
