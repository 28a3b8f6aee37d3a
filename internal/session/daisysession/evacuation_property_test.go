package daisysession_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// step is a step of a random run: a session sends a statement, or an order changes.
type step struct {
	session int                 // Sends the statement, if kind is not 0.
	kind    daisystatement.Kind // 0 changes an order instead.
	server  int                 // Whose failure domain is evacuated, or returns.
	ordered bool
	late    bool          // Only the gateway learns of it yet, as one of another host might.
	leads   bool          // The other server becomes the primary.
	pause   time.Duration // After the step.
}

// drawSteps draws a run. Sessions outnumber the servers' slots and connections, so that
// statements wait at all places while orders change.
func drawSteps(t *rapid.T, sessions int) (steps []step) {
	kinds := []daisystatement.Kind{
		daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindBegin, daisystatement.KindCommit, daisystatement.KindRollback, daisystatement.KindSet,
	}
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		s := step{pause: time.Duration(rapid.SampledFrom([]int{0, 0, 3, 20, 400, 1200}).Draw(t, "pause")) * time.Millisecond}
		if rapid.IntRange(0, 4).Draw(t, "what") > 0 {
			s.session, s.kind = rapid.IntRange(0, sessions-1).Draw(t, "session"), rapid.SampledFrom(kinds).Draw(t, "kind")
		} else {
			s.late = rapid.Bool().Draw(t, "late")
			s.server, s.ordered, s.leads = rapid.IntRange(0, 1).Draw(t, "server"), rapid.Bool().Draw(t, "ordered"), rapid.Bool().Draw(t, "leads")
		}
		steps = append(steps, s)
	}
	return steps
}

// observer notes the statements that begin on a server whose evacuation is known.
type observer struct {
	mu         sync.Mutex
	evacuated  map[string]bool
	violations []string
}

func (o *observer) setEvacuated(server string, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated[server] = evacuated
}

// watch has the server report the statements that it begins. A rollback only ends work.
func (o *observer) watch(v *server) {
	v.before = func(st daisystatement.Statement) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.evacuated[v.name] && st.Kind != daisystatement.KindRollback {
			o.violations = append(o.violations, fmt.Sprintf("statement %s of kind %d began on %s", st.ID, st.Kind, v.name))
		}
	}
}

// runSteps runs the steps and returns the statements that began on an evacuated server.
func runSteps(t *testing.T, sessions int, steps []step) []string {
	f := newZonedFleet(t)
	defer f.close()
	o := &observer{evacuated: make(map[string]bool)}
	for _, v := range f.servers {
		o.watch(v)
	}
	databases := []string{"strict", "loose", "own"}
	queues := make([]chan daisystatement.Statement, sessions)
	var wait sync.WaitGroup
	for i := range queues {
		queues[i] = make(chan daisystatement.Statement, len(steps))
		s := f.session(databases[i%len(databases)])
		wait.Go(func() {
			defer s.Close()
			for st := range queues[i] {
				do(s, st)
			}
		})
	}
	for i, s := range steps {
		if s.kind != 0 {
			st := statement(s.kind, fmt.Sprint(i))
			st.Name, st.Value = "setting", st.ID // Of KindSet; the next statement aligns its connection.
			queues[s.session] <- st
		} else {
			synctest.Wait() // No statement is between its check and its server.
			// Before the gateway: statements may begin as soon as it knows of a withdrawal.
			o.setEvacuated(serverNames[s.server], s.ordered)
			f.gateway.SetEvacuated(serverNames[s.server], s.ordered)
			if !s.late {
				f.order(s.server, s.ordered)
			}
			if s.leads {
				f.lead(serverNames[1-s.server])
			}
		}
		time.Sleep(s.pause)
	}
	for _, q := range queues {
		close(q)
	}
	wait.Wait()
	return o.violations
}

// Guards against statements that begin on a server after this host knows that its
// failure domain is evacuated, wherever they waited when it learned of the order.
func TestNoStatementBeginsOnEvacuatedServer(t *testing.T) {
	const sessions = 12
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, sessions)
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runSteps(t, sessions, steps) })
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}
