package daisysession_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

// Guards against an overload that retries within the hosts keep up: a statement
// that a server's queue cannot take in time is refused at once, and is not sent to
// that server again.
func TestRefusedForLoadIsNotSentAgain(t *testing.T) {
	const clients = 200
	tests := []struct {
		name     string
		database string
		kinds    []daisystatement.Statement
		servers  int // That may serve the statement.
	}{
		{"Write", "strict", []daisystatement.Statement{{Kind: daisystatement.KindWrite}}, 1},
		{"StrictRead", "strict", []daisystatement.Statement{{Kind: daisystatement.KindRead}}, 1},
		{"StaleRead", "loose", []daisystatement.Statement{{Kind: daisystatement.KindRead}}, 2},
		{"Transaction", "strict", []daisystatement.Statement{{Kind: daisystatement.KindBegin}, {Kind: daisystatement.KindWrite}, {Kind: daisystatement.KindCommit}}, 1},
		{"ReadOnlyTransaction", "loose", []daisystatement.Statement{{Kind: daisystatement.KindBegin, ReadOnly: true}, {Kind: daisystatement.KindRead}, {Kind: daisystatement.KindCommit}}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				warm := f.session(test.database)
				do(warm, statement(daisystatement.KindRead, "warm1"))
				do(warm, statement(daisystatement.KindRead, "warm2"))
				for _, s := range f.servers {
					s.work = 100 * time.Millisecond
				}
				before := f.gateway.Counts().Requests
				var mu sync.Mutex
				refused := 0
				var wait sync.WaitGroup
				for range clients {
					wait.Go(func() {
						s := f.session(test.database)
						defer s.Close()
						for _, st := range test.kinds {
							st.ID = "x"
							a := do(s, st)
							if a.Failure == nil {
								continue
							}
							assert.Check(t, a.Failure.Code.NotRun(), "%v", a.Failure)
							mu.Lock()
							defer mu.Unlock()
							if strings.Contains(a.Failure.Text, "retry in ") {
								refused++
							}
							return
						}
					})
					time.Sleep(time.Millisecond)
				}
				wait.Wait()
				sent := int(f.gateway.Counts().Requests - before)
				assert.Assert(t, sent <= clients*test.servers, "%d requests to %d servers for %d operations", sent, test.servers, clients)
				assert.Assert(t, refused > 0, "the load exceeds what the servers can do, so some must be told when to return")
			})
		})
	}
}

// refusingForwarder refuses every request for load and counts the requests.
type refusingForwarder struct {
	retryAfter time.Duration
	ownShare   bool
	requests   int
}

func (f *refusingForwarder) Run(daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	f.requests++
	return daisystatement.Answer{}, nil, daisyrequest.NewOverloadError(f.retryAfter, f.ownShare)
}

// Guards against refusals that fill a gateway host: after a refusal for load, a host
// refuses like statements itself for half of the time to retry. Statements of a
// higher priority are still sent, and those of other workspaces if only the share of
// one was used up.
func TestRefusalsForLoadCostTheGatewayLittle(t *testing.T) {
	const (
		retryAfter = time.Second
		interval   = 10 * time.Millisecond
	)
	tests := []struct {
		name          string
		first, second string // Databases.
		key           string // Of the second session.
		ownShare      bool   // The refusals are for the share of the first session's workspace.
		requests      int    // By the statements for the second, sent for 2 s after one for the first.
	}{
		{"SameDatabase", "strict", "strict", keyText, false, 3},
		{"LowerPriority", "strict", "low", keyText, false, 3},
		{"HigherPriority", "low", "strict", keyText, false, 4},
		{"OtherWorkspace", "strict", "strict", otherKeyText, false, 3},
		{"OwnShare", "strict", "strict", keyText, true, 3},
		{"OwnShareOtherWorkspace", "strict", "strict", otherKeyText, true, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.addProfile(daisyspec.Profile{
					Name: "low", Database: "low", Service: serviceName, Freshness: daisyspec.FreshPrimary, Priority: 1,
					Timeout: time.Second, Latency: 500 * time.Millisecond,
				})
				forwarder := &refusingForwarder{retryAfter: retryAfter, ownShare: test.ownShare}
				f.env.Forwarder = forwarder
				first, second := f.session(test.first), f.sessionOf(test.second, test.key)
				assert.Equal(t, code(do(first, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeBusy)
				began, before := time.Now(), forwarder.requests
				for time.Since(began) < 2*retryAfter {
					a := do(second, statement(daisystatement.KindWrite, "w"))
					assert.Equal(t, code(a), daisystatement.CodeBusy)
					time.Sleep(interval)
				}
				assert.Equal(t, forwarder.requests-before, test.requests)
			})
		})
	}
}

// refusingPrimary refuses requests on the primary for load. If it brings a sample of
// the primary's position, it does so with each refusal, as a gateway does.
type refusingPrimary struct {
	next   daisysession.Forwarder
	brings func()
}

func (f *refusingPrimary) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	if req.Server != "m1" {
		return f.next.Run(req)
	}
	f.brings()
	return daisystatement.Answer{}, nil, daisyrequest.NewOverloadError(time.Second, false)
}

// Guards against reads that are refused by an overloaded primary though replicas may
// serve them: after a restart or a succession a host has no sample of the position,
// and the refusal brings one.
func TestRefusalBringsReadsToReplicas(t *testing.T) {
	tests := []struct {
		name     string
		brings   bool
		readOnly bool // In a transaction.
		want     daisystatement.Code
	}{
		{"Read", true, false, daisystatement.CodeNone},
		{"ReadOnlyTransaction", true, true, daisystatement.CodeNone},
		{"NoSample", false, false, daisystatement.CodeBusy},
		{"NoSampleInTransaction", false, true, daisystatement.CodeBusy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.env.Forwarder = &refusingPrimary{next: f.gateway, brings: func() {
					if test.brings {
						f.router.RecordPeerPosition(serviceName, 1, time.Now(), daisystatement.Position{Term: 1, Number: 10})
					}
				}}
				s := f.session("loose")
				defer s.Close()
				if test.readOnly {
					begin := statement(daisystatement.KindBegin, "b")
					begin.ReadOnly = true
					assert.Equal(t, code(do(s, begin)), daisystatement.CodeNone)
				}
				assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), test.want)
			})
		})
	}
}

// countingForwarder counts the requests that it passes on.
type countingForwarder struct {
	next     daisysession.Forwarder
	requests int
}

func (f *countingForwarder) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	f.requests++
	return f.next.Run(req)
}

// Guards against attempts that a failing server or its gateway has to refuse by the
// dozen: the pauses between the attempts at one statement grow.
func TestAttemptsAtFailingServersAreFew(t *testing.T) {
	const attempts = 8 // In a timeout of 1 s, with pauses that double up to 0.2 s.
	tests := []struct {
		name     string
		database string
		kind     daisystatement.Kind
		readOnly bool
		inject   func(f *fleet)
		servers  int
	}{
		{"WriteUnreachable", "strict", daisystatement.KindWrite, false, func(f *fleet) { f.servers["m1"].unreachable = true }, 1},
		{"WriteRefusedByServer", "strict", daisystatement.KindWrite, false, func(f *fleet) { f.servers["m1"].refuse = busy }, 1},
		{"ReadRefusedByServers", "loose", daisystatement.KindRead, false, func(f *fleet) { f.servers["m1"].refuse, f.servers["m2"].refuse = busy, busy }, 2},
		{"TransactionRefusedByServer", "strict", daisystatement.KindBegin, false, func(f *fleet) { f.servers["m1"].refuse = busy }, 1},
		{"ReadOnlyTransactionRefusedByPrimary", "strict", daisystatement.KindBegin, true, func(f *fleet) { f.servers["m1"].refuse = busy }, 1},
		{"ReadOnlyTransactionRefusedByServers", "loose", daisystatement.KindBegin, true, func(f *fleet) { f.servers["m1"].refuse, f.servers["m2"].refuse = busy, busy }, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				s := f.session(test.database)
				defer s.Close()
				if test.database == "loose" {
					do(s, statement(daisystatement.KindRead, "warm")) // Samples the primary's position.
				}
				test.inject(f)
				forwarder := &countingForwarder{next: f.gateway}
				f.env.Forwarder = forwarder
				st := statement(test.kind, "x")
				st.ReadOnly = test.readOnly
				a := do(s, st)
				if test.kind == daisystatement.KindBegin {
					a = do(s, statement(daisystatement.KindRead, "r"))
				}
				assert.Equal(t, code(a), daisystatement.CodeBusy)
				assert.Assert(t, forwarder.requests <= attempts*test.servers, "%d requests", forwarder.requests)
			})
		})
	}
}

func busy(daisystatement.Statement) daisystatement.Code { return daisystatement.CodeBusy }
