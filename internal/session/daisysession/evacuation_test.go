package daisysession_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// domains are the failure domains of serverNames.
var domains = []string{"z1", "z2"}

// newZonedFleet returns a fleet whose servers are in failure domains.
func newZonedFleet(t *testing.T) *fleet {
	f := newFleet(t)
	for i, name := range serverNames {
		server, _ := f.view.Server(name)
		server.FailureDomain = domains[i]
		f.put(daisyfleet.KindServer, name, server)
	}
	f.router.Refresh()
	return f
}

// slowProfile is like the profile "strict" with a longer timeout.
func slowProfile() daisyspec.Profile {
	return daisyspec.Profile{
		Name: "slow", Database: "slow", Service: serviceName, Freshness: daisyspec.FreshPrimary,
		Timeout: 6 * time.Second, Latency: 500 * time.Millisecond,
	}
}

// order stores or removes the order to evacuate the domain of the server, and has the
// router obey it.
func (f *fleet) order(server int, evacuated bool) {
	var v daisyfleet.Value
	if evacuated {
		v = daisyfleet.Evacuation{}
	}
	f.put(daisyfleet.KindEvacuation, domains[server], v)
	f.router.Refresh()
}

// orderAll does the same and has the gateway obey it too.
func (f *fleet) orderAll(server int, evacuated bool) {
	f.gateway.SetEvacuated(serverNames[server], evacuated)
	f.order(server, evacuated)
}

// lead makes the server the primary.
func (f *fleet) lead(server string) {
	leadership, _ := f.view.Leadership(serviceName)
	for _, s := range f.servers {
		s.mu.Lock()
		s.primary = s.name == server
		s.mu.Unlock()
	}
	f.put(daisyfleet.KindLeadership, serviceName, daisyfleet.Leadership{Epoch: leadership.Epoch + 1, Server: server, Term: leadership.Term + 1, Previous: leadership.Server})
}

// Guards against transactions that go on in an evacuated failure domain, and against
// answers that promise more than was kept: what was not committed is aborted within 1 s,
// a COMMIT or write that was sent is awaited.
func TestWorkOnEvacuatedServer(t *testing.T) {
	begin, write, commit := daisystatement.KindBegin, daisystatement.KindWrite, daisystatement.KindCommit
	tests := []struct {
		name    string
		before  []daisystatement.Kind // Run before the order.
		during  daisystatement.Kind   // Sent 100 ms before the order, if it is not 0.
		after   daisystatement.Kind   // Sent 100 ms after the order, if it is not 0.
		want    daisystatement.Code   // Of the answer to during or after.
		within  time.Duration         // From the order to that answer.
		commits int
	}{
		{"NextStatement", []daisystatement.Kind{begin, write}, 0, write, daisystatement.CodeAborted, 100 * time.Millisecond, 0},
		{"CommitNotSent", []daisystatement.Kind{begin, write}, 0, commit, daisystatement.CodeAborted, 100 * time.Millisecond, 0},
		{"StatementUnderway", []daisystatement.Kind{begin, write}, write, 0, daisystatement.CodeAborted, time.Second, 0},
		{"CommitUnderway", []daisystatement.Kind{begin, write}, commit, 0, daisystatement.CodeNone, 2 * time.Second, 1},
		{"WriteUnderway", nil, write, 0, daisystatement.CodeNone, 2 * time.Second, 1},
	}
	orders := []struct {
		name string
		give func(f *fleet)
	}{
		{"Everywhere", func(f *fleet) { f.orderAll(0, true) }},
		{"GatewayIsLate", func(f *fleet) { f.order(0, true) }},
	}
	for _, test := range tests {
		for _, order := range orders {
			t.Run(test.name+order.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newZonedFleet(t)
					defer f.close()
					f.addProfile(slowProfile())
					s := f.session("slow")
					defer s.Close()
					for _, k := range test.before {
						assert.Equal(t, code(do(s, statement(k, "before"))), daisystatement.CodeNone)
					}
					f.servers["m1"].work = 2 * time.Second
					answer := make(chan daisystatement.Answer, 1)
					if test.during != 0 {
						go func() { answer <- do(s, statement(test.during, "during")) }()
					}
					time.Sleep(100 * time.Millisecond)
					ordered := time.Now()
					order.give(f)
					if test.after != 0 {
						time.Sleep(100 * time.Millisecond)
						answer <- do(s, statement(test.after, "after"))
					}
					got := <-answer
					assert.Equal(t, code(got), test.want, "%v", got.Failure)
					assert.Assert(t, time.Since(ordered) <= test.within, "answered after %v", time.Since(ordered))
					time.Sleep(5 * time.Second)
					assert.Equal(t, f.servers["m1"].commits, test.commits)
				})
			})
		}
	}
}

// Guards against a read that goes on in an evacuated failure domain: it is cut off and
// tried elsewhere, here in vain.
func TestReadOnEvacuatedPrimaryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(t)
		defer f.close()
		f.addProfile(slowProfile())
		f.servers["m1"].work = 3 * time.Second
		answer := make(chan daisystatement.Answer, 1)
		go func() { answer <- do(f.session("slow"), statement(daisystatement.KindRead, "r")) }()
		time.Sleep(100 * time.Millisecond)
		ordered := time.Now()
		f.orderAll(0, true)
		assert.Equal(t, code(<-answer), daisystatement.CodeBusy)
		assert.Assert(t, time.Since(ordered) <= 1100*time.Millisecond, "answered after %v", time.Since(ordered))
	})
}

// Guards against an idle transaction that keeps its connection to an evacuated server
// until its client returns.
func TestIdleTransactionOnEvacuatedServerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(t)
		defer f.close()
		s := f.session("strict")
		defer s.Close()
		do(s, statement(daisystatement.KindBegin, "b"))
		do(s, statement(daisystatement.KindWrite, "w"))
		lost := f.servers["m1"].links[0]
		f.orderAll(0, true)
		time.Sleep(time.Second)
		assert.Assert(t, lost.closed.Load())
		f.orderAll(0, false) // The transaction is lost all the same.
		assert.Equal(t, code(do(s, statement(daisystatement.KindCommit, "c"))), daisystatement.CodeAborted)
		assert.Equal(t, f.servers["m1"].commits, 0)
	})
}

// Guards against clients that wait, or are told a failure that may have run, for
// statements that only evacuated servers could run: they are refused at once.
func TestRefusedForEvacuation(t *testing.T) {
	read, write := daisystatement.KindRead, daisystatement.KindWrite
	tests := []struct {
		name      string
		database  string
		kinds     []daisystatement.Kind // The last one is checked.
		evacuated []int
		waited    time.Duration // Between the order and the statement.
		want      daisystatement.Code
		within    time.Duration
	}{
		{"ReadAllDomains", "loose", []daisystatement.Kind{read}, []int{0, 1}, 0, daisystatement.CodeBusy, 0},
		{"StrictReadAllDomains", "strict", []daisystatement.Kind{read}, []int{0, 1}, 0, daisystatement.CodeBusy, 0},
		{"WriteAllDomains", "strict", []daisystatement.Kind{write}, []int{0, 1}, 0, daisystatement.CodeBusy, 0},
		{"TransactionAllDomains", "own", []daisystatement.Kind{daisystatement.KindBegin, write}, []int{0, 1}, 0, daisystatement.CodeBusy, 0},
		{"WriteBeforeSuccession", "slow", []daisystatement.Kind{write}, []int{0}, 0, daisystatement.CodeBusy, 1100 * time.Millisecond},
		{"WriteWithoutSuccession", "strict", []daisystatement.Kind{write}, []int{0}, 2 * time.Second, daisystatement.CodeBusy, 0},
		{"TransactionWithoutSuccession", "strict", []daisystatement.Kind{daisystatement.KindBegin, write}, []int{0}, 2 * time.Second, daisystatement.CodeBusy, 0},
		{"WriteReplicaEvacuated", "strict", []daisystatement.Kind{write}, []int{1}, 0, daisystatement.CodeNone, 100 * time.Millisecond},
		{"ReadPrimaryEvacuated", "loose", []daisystatement.Kind{read}, []int{0}, 0, daisystatement.CodeNone, 100 * time.Millisecond},
		{"ReadReplicaEvacuated", "loose", []daisystatement.Kind{read}, []int{1}, 0, daisystatement.CodeNone, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(t)
				defer f.close()
				f.addProfile(slowProfile())
				do(f.session("strict"), statement(read, "warm")) // Brings a position of the primary.
				for _, server := range test.evacuated {
					f.orderAll(server, true)
				}
				time.Sleep(test.waited)
				s := f.session(test.database)
				defer s.Close()
				var a daisystatement.Answer
				began := time.Now()
				for _, k := range test.kinds {
					a = s.Do(statement(k, "x"), began)
				}
				assert.Equal(t, code(a), test.want, "%v", a.Failure)
				assert.Assert(t, time.Since(began) <= test.within, "answered after %v", time.Since(began))
				if a.Failure != nil {
					assert.Assert(t, strings.HasSuffix(a.Failure.Text, "; retry in 1s"), a.Failure.Text)
				}
				for _, server := range test.evacuated {
					for _, r := range f.servers[serverNames[server]].runs {
						assert.Check(t, r.id != "x", "%s ran on %s", r.text, serverNames[server])
					}
				}
			})
		})
	}
}

// Guards against writes that are refused although their primary is only moving: they
// wait for the primary elsewhere.
func TestWriteWaitsForPrimaryElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(t)
		defer f.close()
		f.orderAll(0, true)
		answer := make(chan daisystatement.Answer, 1)
		go func() { answer <- do(f.session("strict"), statement(daisystatement.KindWrite, "w")) }()
		time.Sleep(300 * time.Millisecond)
		f.lead("m2")
		assert.Equal(t, code(<-answer), daisystatement.CodeNone)
		assert.Equal(t, f.servers["m2"].commits, 1)
		assert.Equal(t, len(f.servers["m1"].ran(daisystatement.KindWrite)), 0)
	})
}

// Guards against an evacuation, or a withdrawal, that refuses or delays reads which the
// other server can run: none fails or is late under load.
func TestReadsUnderLoadDuringEvacuation(t *testing.T) {
	const clients, reads = 10, 60
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(t)
		defer f.close()
		do(f.session("strict"), statement(daisystatement.KindRead, "warm")) // Brings a position of the primary.
		ctx, cancel := context.WithCancel(t.Context())
		var sampler, wait sync.WaitGroup
		sampler.Go(func() { f.router.Run(ctx) })
		for range clients {
			wait.Go(func() {
				s := f.session("loose")
				defer s.Close()
				for range reads {
					began := time.Now()
					assert.Check(t, do(s, statement(daisystatement.KindRead, "r")).Failure == nil)
					assert.Check(t, time.Since(began) < 500*time.Millisecond, "answered after %v", time.Since(began))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		f.orderAll(1, true)
		during := len(f.servers["m2"].ran(daisystatement.KindRead))
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), during)
		f.orderAll(1, false)
		wait.Wait()
		assert.Assert(t, len(f.servers["m2"].ran(daisystatement.KindRead)) > during)
		cancel()
		sampler.Wait()
	})
}
