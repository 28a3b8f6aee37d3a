package daisysession_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

func kindIs(k daisystatement.Kind) func(daisystatement.Statement) bool {
	return func(s daisystatement.Statement) bool { return s.Kind == k }
}

// Checks the code of the answer after each kind of fault.
func TestAnswerAfterFault(t *testing.T) {
	tests := []struct {
		name   string
		inject func(f *fleet)
		within bool // The statement is sent in a transaction.
		kind   daisystatement.Kind
		want   daisystatement.Code
	}{
		{"WriteAnswerLost", func(f *fleet) { f.servers["m1"].loseAnswer = kindIs(daisystatement.KindWrite) }, false, daisystatement.KindWrite, daisystatement.CodeInDoubt},
		{"WriteInTransactionAnswerLost", func(f *fleet) { f.servers["m1"].loseAnswer = kindIs(daisystatement.KindWrite) }, true, daisystatement.KindWrite, daisystatement.CodeAborted},
		{"PrimaryUnreachable", func(f *fleet) { f.servers["m1"].unreachable = true }, false, daisystatement.KindWrite, daisystatement.CodeBusy},
		{"NoLease", func(f *fleet) { f.lease.valid.Store(false) }, false, daisystatement.KindWrite, daisystatement.CodeBusy},
		{"WriteRefused", func(f *fleet) {
			f.servers["m1"].refuse = func(daisystatement.Statement) daisystatement.Code { return daisystatement.CodeReadOnly }
		}, false, daisystatement.KindWrite, daisystatement.CodeReadOnly},
		{"ReplacedWhileWriting", func(f *fleet) {
			f.servers["m1"].before = func(s daisystatement.Statement) {
				if s.Kind == daisystatement.KindWrite {
					f.put(daisyfleet.KindLeadership, serviceName, daisyfleet.Leadership{Epoch: 2, Previous: "m1"})
				}
			}
		}, false, daisystatement.KindWrite, daisystatement.CodeInDoubt},
		{"LeaseLostWhileWriting", func(f *fleet) {
			f.servers["m1"].before = func(s daisystatement.Statement) {
				if s.Kind == daisystatement.KindWrite {
					f.lease.valid.Store(false)
				}
			}
		}, false, daisystatement.KindWrite, daisystatement.CodeInDoubt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				s := f.session("strict")
				defer s.Close()
				test.inject(f)
				if test.within {
					assert.Equal(t, code(do(s, statement(daisystatement.KindBegin, "b"))), daisystatement.CodeNone)
				}
				a := do(s, statement(test.kind, "x"))
				assert.Equal(t, code(a), test.want)
				if a.Failure.Code.NotRun() {
					assert.Equal(t, f.servers["m1"].commits, 0)
				}
			})
		})
	}
}

// A commit whose answer is lost is in doubt, since the server may have run it. If
// the connection is lost before the commit, nothing of the transaction is kept.
func TestCommitWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.servers["m1"].loseAnswer = kindIs(daisystatement.KindCommit)
		s := f.session("strict")
		do(s, statement(daisystatement.KindBegin, "b"))
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
		a := do(s, statement(daisystatement.KindCommit, "c"))
		assert.Equal(t, code(a), daisystatement.CodeInDoubt)
		assert.Equal(t, a.State, daisystatement.StateIdle)
	})
}

// A transaction is aborted once its primary is being replaced.
func TestTransactionEndsWithItsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("strict")
		do(s, statement(daisystatement.KindBegin, "b"))
		do(s, statement(daisystatement.KindWrite, "w"))
		f.put(daisyfleet.KindLeadership, serviceName, daisyfleet.Leadership{Epoch: 2, Previous: "m1"})
		a := do(s, statement(daisystatement.KindCommit, "c"))
		assert.Equal(t, code(a), daisystatement.CodeAborted)
		assert.Equal(t, a.State, daisystatement.StateIdle)
		assert.Equal(t, f.servers["m1"].commits, 0)
	})
}

// A read whose answer is lost is retried on another server.
func TestReadRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("loose")
		assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "warm"))), daisystatement.CodeNone)
		f.servers["m2"].loseAnswer = kindIs(daisystatement.KindRead)
		for range 3 {
			assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeNone)
		}
		assert.Assert(t, len(f.servers["m2"].ran(daisystatement.KindRead)) > 0)
	})
}

// Without a recent sample of the primary's position, no replica may serve a read.
func TestReadWithoutSampleGoesToPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("loose")
		do(s, statement(daisystatement.KindRead, "r1"))
		assert.Equal(t, len(f.servers["m1"].ran(daisystatement.KindRead)), 1)
		do(s, statement(daisystatement.KindRead, "r2"))
		assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), 1)
		time.Sleep(2 * time.Second)
		do(s, statement(daisystatement.KindRead, "r3"))
		assert.Equal(t, len(f.servers["m1"].ran(daisystatement.KindRead)), 2)
	})
}

// A session reads its own write even if the replica lags: its reads then go to
// the primary.
func TestSessionReadsItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("own")
		do(s, statement(daisystatement.KindRead, "warm"))
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
		assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeNone)
		assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), 0)
	})
}

// Statements run with the session values of their own session on whichever pooled
// connection they run.
func TestValuesFollowTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		set := func(name, value string) daisystatement.Statement {
			return daisystatement.Statement{ID: "s", Kind: daisystatement.KindSet, Name: name, Value: value}
		}
		a, b := f.session("strict"), f.session("strict")
		do(a, set("zone", "north"))
		do(b, set("round", "7"))
		do(a, statement(daisystatement.KindWrite, "w1"))
		do(b, statement(daisystatement.KindWrite, "w2"))
		do(a, statement(daisystatement.KindWrite, "w3"))
		runs := f.servers["m1"].ran(daisystatement.KindWrite)
		assert.Equal(t, len(runs), 3)
		assert.DeepEqual(t, runs[0].values, map[string]string{"zone": "north"})
		assert.DeepEqual(t, runs[1].values, map[string]string{"round": "7"})
		assert.DeepEqual(t, runs[2].values, map[string]string{"zone": "north"})
	})
}

// Two sessions may prepare different statements under the same name. Guards against one that
// runs the definition of the other since both have the same hash (review/shape).
func TestPreparedNamesArePerSession(t *testing.T) {
	tests := []struct {
		name          string
		first, second string
		readOnly      bool
	}{
		{"Read", "first", "second", true},
		{"Write", "first", "second", false},
		{"EqualXXH64", "VcpN6CUswYsPA3S", "UHBfCXh4l8CBUDB", false}, // Of writes, "w" and the shape.
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				a, b := f.session("strict"), f.session("strict")
				prepare := func(shape string) daisystatement.Statement {
					return daisystatement.Statement{ID: "p", Kind: daisystatement.KindPrepare, Name: "s1", Shape: shape, ReadOnly: test.readOnly}
				}
				do(a, prepare(test.first))
				do(b, prepare(test.second))
				execute := daisystatement.Statement{ID: "e", Kind: daisystatement.KindExecute, Name: "s1", Arguments: "1"}
				do(a, execute)
				do(b, execute)
				runs := f.servers["m1"].ran(daisystatement.KindExecute)
				assert.Equal(t, runs[0].text, test.first)
				assert.Equal(t, runs[1].text, test.second)
			})
		})
	}
}

// Withdrawing a key ends the sessions that use it.
func TestWithdrawnKeyEndsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("strict")
		f.setKeys("other")
		assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeDenied)
		assert.Assert(t, s.Ended())
	})
}

// An idle transaction is rolled back; only the next statement reports that.
func TestIdleTransactionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		s := f.session("strict")
		do(s, statement(daisystatement.KindBegin, "b"))
		do(s, statement(daisystatement.KindWrite, "w"))
		s.Expire()
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w2"))), daisystatement.CodeAborted)
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w3"))), daisystatement.CodeMalformed)
		assert.Equal(t, code(do(s, statement(daisystatement.KindRollback, "r"))), daisystatement.CodeNone)
		assert.Equal(t, f.servers["m1"].commits, 0)
	})
}

// A primary that answers late is not reported as unresponsive; one to which no
// connection can be opened is. When replicas lag far behind, all reads go to the
// primary and slow it down; replacing it would only move the load.
func TestBusyPrimaryIsNotReported(t *testing.T) {
	tests := []struct {
		name         string
		inject       func(s *server)
		observations int
	}{
		{"AnswersLate", func(s *server) { s.work = 900 * time.Millisecond }, 0},
		{"Unreachable", func(s *server) { s.unreachable = true }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.router.Run(ctx) }()
				s := f.session("loose")
				do(s, statement(daisystatement.KindRead, "warm"))
				test.inject(f.servers["m1"])
				for range 10 {
					do(s, statement(daisystatement.KindRead, "r"))
					time.Sleep(200 * time.Millisecond)
				}
				assert.Equal(t, len(f.router.Observations()), test.observations)
				cancel()
				<-done
			})
		})
	}
}

// Guards against statements and commits of a transaction that was open when its key was
// withdrawn (review/revoked). A change of the route applies from the next transaction on.
func TestWithdrawnKeyAbortsTransaction(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fleet)
		code   daisystatement.Code // Of the next statement, and of the commit if that is the next one.
	}{
		{"Nothing", func(*fleet) {}, daisystatement.CodeNone},
		{"KeyAdded", func(f *fleet) { f.setKeys(keyText, "other") }, daisystatement.CodeNone},
		{"KeyWithdrawn", func(f *fleet) { f.setKeys("other") }, daisystatement.CodeAborted},
		{"RouteRemoved", func(f *fleet) {
			f.profiles = nil
			f.setKeys(keyText)
		}, daisystatement.CodeNone},
	}
	for _, test := range tests {
		for _, next := range []daisystatement.Kind{daisystatement.KindWrite, daisystatement.KindCommit} {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t)
					defer f.close()
					f.addProfile(daisyspec.Profile{Name: "p", Database: "p", Service: serviceName, Timeout: time.Second, Latency: time.Second})
					s := f.session("p")
					assert.Equal(t, code(do(s, statement(daisystatement.KindBegin, "b"))), daisystatement.CodeNone)
					assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
					before := len(f.servers["m1"].ran(next))
					test.change(f)
					assert.Equal(t, code(do(s, statement(next, "next"))), test.code)
					if test.code != daisystatement.CodeNone {
						assert.Equal(t, len(f.servers["m1"].ran(next)), before)
						assert.Equal(t, f.servers["m1"].commits, 0)
					}
				})
			})
		}
	}
}
