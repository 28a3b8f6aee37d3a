package daisysession_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// control is the host's contact with control.
type control struct {
	*lease
	lost atomic.Bool
}

func (c *control) Lost() bool { return c.lost.Load() }

const lostControlText = "this host has lost control; connect again; retry in "

// assertLostControl checks that an answer refuses a statement for lost control, without
// delay and with a short time to retry.
func assertLostControl(t *testing.T, f *daisystatement.Failure, took time.Duration) {
	t.Helper()
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Code, daisystatement.CodeBusy)
	assert.Assert(t, strings.HasPrefix(f.Text, lostControlText), "%s", f.Text)
	retry, err := time.ParseDuration(strings.TrimPrefix(f.Text, lostControlText))
	assert.NilError(t, err)
	assert.Assert(t, retry >= 50*time.Millisecond && retry <= 250*time.Millisecond, "%v", retry)
	assert.Assert(t, took <= 20*time.Millisecond, "refused after %v", took)
}

// Guards against statements that wait for a primary or are refused for another reason on a
// host that has lost control. Until its lease ends the host serves as before; then reads
// of a stated age go on for as long as the last sample of the primary's position allows.
func TestHostWithoutControl(t *testing.T) {
	tests := []struct {
		name     string
		database string
		kind     daisystatement.Kind
		readOnly bool
		leased   bool
		after    time.Duration // From the last sample to the statement.
		ok       bool
	}{
		{"LeasedWrite", "strict", daisystatement.KindWrite, false, true, time.Second, true},
		{"LeasedStrictRead", "strict", daisystatement.KindRead, false, true, time.Second, true},
		{"Write", "loose", daisystatement.KindWrite, false, false, time.Second, false},
		{"StrictRead", "strict", daisystatement.KindRead, false, false, time.Second, false},
		{"Begin", "loose", daisystatement.KindBegin, false, false, time.Second, false},
		{"BoundedRead", "loose", daisystatement.KindRead, false, false, time.Second, true},
		{"OwnRead", "own", daisystatement.KindRead, false, false, time.Second, true},
		{"ReadOnlyBegin", "loose", daisystatement.KindBegin, true, false, time.Second, true},
		{"BoundedReadTooLate", "loose", daisystatement.KindRead, false, false, 1600 * time.Millisecond, false},
		{"OwnReadTooLate", "own", daisystatement.KindRead, false, false, 1600 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				c := &control{lease: f.lease}
				f.env.Control = c
				s := f.session(test.database)
				defer s.Close()
				assert.Equal(t, code(do(f.session("strict"), statement(daisystatement.KindRead, "sample"))), daisystatement.CodeNone)
				c.lost.Store(true)
				f.lease.valid.Store(test.leased)
				time.Sleep(test.after)
				began := time.Now()
				st := statement(test.kind, "q")
				st.ReadOnly = test.readOnly
				a := do(s, st)
				if test.ok {
					assert.Assert(t, a.Failure == nil, "%v", a.Failure)
					if test.kind == daisystatement.KindBegin {
						assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeNone)
					}
					return
				}
				assertLostControl(t, a.Failure, time.Since(began))
				assert.Assert(t, !s.Ended())
			})
		})
	}
}

// Guards against a transaction that begins on a replica before the lease ends and whose
// first statement waits for a primary in vain.
func TestTransactionThatNeedsLostPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		c := &control{lease: f.lease}
		f.env.Control = c
		s := f.session("strict")
		defer s.Close()
		assert.Equal(t, code(do(s, statement(daisystatement.KindBegin, "b"))), daisystatement.CodeNone)
		c.lost.Store(true)
		f.lease.valid.Store(false)
		began := time.Now()
		assertLostControl(t, do(s, statement(daisystatement.KindRead, "q")).Failure, time.Since(began))
	})
}

// Guards against a wrong reason when the lease ends during a transaction, and when the last
// server that could serve a read fails after it.
func TestLeaseEndsDuringWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		c := &control{lease: f.lease}
		f.env.Control = c
		s, reader := f.session("strict"), f.session("loose")
		defer s.Close()
		assert.Equal(t, code(do(s, statement(daisystatement.KindBegin, "b"))), daisystatement.CodeNone)
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
		c.lost.Store(true)
		f.lease.valid.Store(false)
		a := do(s, statement(daisystatement.KindCommit, "c"))
		assert.Equal(t, code(a), daisystatement.CodeAborted)
		assert.Assert(t, strings.HasPrefix(a.Failure.Text, "this host has lost control"), "%s", a.Failure.Text)
		synctest.Wait() // The transaction is being rolled back.
		for _, name := range serverNames {
			f.servers[name].unreachable = true
		}
		began := time.Now()
		assertLostControl(t, do(reader, statement(daisystatement.KindRead, "r")).Failure, time.Since(began))
	})
}

// Guards against denials on the word of an old desired state: a key or a database may have
// been added since the host's lease ended.
func TestUnknownNamesWithoutLease(t *testing.T) {
	tests := []struct {
		name          string
		database, key string
		leased        bool
		want          daisystatement.Code
	}{
		{"Database", "none", keyText, true, daisystatement.CodeNoDatabase},
		{"Key", "loose", "none", true, daisystatement.CodeDenied},
		{"DatabaseWithoutLease", "none", keyText, false, daisystatement.CodeBusy},
		{"KeyWithoutLease", "loose", "none", false, daisystatement.CodeBusy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.env.Control = &control{lease: f.lease}
				s := f.session("loose")
				f.lease.valid.Store(test.leased)
				_, refused := f.env.Open(test.database, test.key)
				assert.Assert(t, refused != nil)
				assert.Equal(t, refused.Code, test.want)
				f.setKeys("other")
				assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "q"))) == daisystatement.CodeDenied, test.leased)
				assert.Equal(t, s.Ended(), test.leased)
			})
		})
	}
}
