package daisysandbox_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// errorCollector collects the violations of a run that must have some, instead of failing
// the test.
type errorCollector struct {
	*testing.T
	violations []string
}

// Errorf implements errorReporter.
func (c *errorCollector) Errorf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// TestReadYourWrites writes and reads back through different hosts while replicas lag,
// stall or restart.
func TestReadYourWrites(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fleet)
	}{
		{"NoLag", func(*fleet) {}},
		{"ShortLag", func(f *fleet) { f.setLag(time.Millisecond, 30*time.Millisecond) }},
		{"LongLag", func(f *fleet) { f.setLag(5*time.Millisecond, 2*time.Second) }},
		{"OneStalls", func(f *fleet) { f.group.Members()[f.replica()].StallReplication(true) }},
		{"OneRestarts", func(f *fleet) {
			m := f.group.Members()[f.replica()]
			f.group.Stop(m)
			time.Sleep(time.Second)
			assert.Check(f.t, f.group.Start(m))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				hist := newHistory(t)
				f.load(hist, 4, 500*time.Millisecond, 4*time.Second, func() { test.setup(f) })
				hist.check(f.primaryRows())
				assert.Check(t, hist.count(acknowledged) > 100)
			})
		})
	}
}

// TestReadYourWritesThroughAPool writes on one connection and reads on another that was
// opened before the write, as a client with a connection pool does.
func TestReadYourWritesThroughAPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.setLag(5*time.Millisecond, 500*time.Millisecond)
		writes, err := f.connect(t.Context(), 0, daisysandbox.ProfileWrite)
		assert.NilError(t, err)
		defer f.closeConn(writes)
		reads, err := f.connect(t.Context(), 1, daisysandbox.ProfileRead)
		assert.NilError(t, err)
		defer f.closeConn(reads)
		for i := range 20 {
			time.Sleep(600 * time.Millisecond) // Until the replicas have applied the previous write.
			key := fmt.Sprint("pool", i)
			_, err := writes.Exec(t.Context(), "INSERT INTO bookings VALUES ($1, 'once')", key)
			assert.NilError(t, err)
			var value string
			assert.NilError(t, reads.QueryRow(t.Context(), "SELECT value FROM bookings WHERE key = $1", key).Scan(&value))
		}
	})
}

func (f *fleet) setLag(receiveDelay, applyDelay time.Duration) {
	for _, m := range f.group.Members() {
		m.SetLag(receiveDelay, applyDelay)
	}
}

// TestCheckDetectsOverstatedPositions lets replicas report positions that they have not
// reached. The check of the history must find reads that miss a write of their session,
// and lost acknowledged writes.
func TestCheckDetectsOverstatedPositions(t *testing.T) {
	tests := []struct {
		name   string
		inject func(f *fleet)
	}{
		{"StaleRead", func(*fleet) {}},
		{"LostWrite", func(f *fleet) { f.group.Stop(f.group.Primary()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				collector := &errorCollector{T: t}
				hist := newHistory(collector)
				for _, m := range f.group.Members() {
					if m != f.group.Primary() {
						m.StallReplication(true)
						m.OverstatePosition(true)
					}
				}
				f.load(hist, 4, time.Second, 5*time.Second, func() { test.inject(f) })
				hist.check(f.primaryRows())
				assert.Check(t, len(collector.violations) > 0, "the check of the history finds no violation")
			})
		})
	}
}

// changeTimeLimit is the target for the time until a change takes effect, for example
// until a withdrawn key stops working.
const changeTimeLimit = 4 * time.Second

// TestWithdrawnKeyStopsWorking withdraws the key of a connected client, also while its
// host is isolated from the control hosts.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		t.Run(fmt.Sprintf("CutOff=%t", isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				conn, err := f.connect(t.Context(), 1, daisysandbox.ProfileWrite)
				assert.NilError(t, err)
				defer f.closeConn(conn)
				_, err = conn.Exec(t.Context(), "SELECT 1")
				assert.NilError(t, err)
				if isolated {
					f.network.isolate(hostName(1), hostName(0), hostName(2))
				}
				o := f.object(0, daisyfleet.KindKey, "first")
				assert.NilError(t, f.plan.Operator().Change(t.Context(), daisyfleet.Change{
					ID: "withdraw", Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision}},
				}))
				time.Sleep(changeTimeLimit)
				_, err = conn.Exec(t.Context(), "SELECT 1")
				assert.Check(t, err != nil, "the withdrawn key still works")
				_, err = f.connect(t.Context(), 1, daisysandbox.ProfileWrite)
				assert.Check(t, err != nil, "the withdrawn key opens a session")
			})
		})
	}
}

func (f *fleet) object(host int, kind daisyfleet.Kind, name string) (o daisyfleet.Object) {
	f.hosts[host].View().Read(func(s *daisyfleet.State) { o, _ = s.Get(daisyfleet.ID{Kind: kind, Name: name}) })
	return o
}

// TestChangeTakesEffectOnAllHosts changes a workspace and checks every host, including
// one without a data folder that restarts and one that was isolated.
func TestChangeTakesEffectOnAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close()
		f.network.isolate(hostName(3), f.otherNodes(hostName(3))...)
		o := f.object(0, daisyfleet.KindWorkspace, daisysandbox.Workspace)
		changed := daisyfleet.Workspace{Home: daisysandbox.Database, Rate: 77, Burst: 7}
		assert.NilError(t, f.plan.Operator().Change(t.Context(), daisyfleet.Change{
			ID: "rate", Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: changed}},
		}))
		f.kill(4)
		f.network.isolate(hostName(3), f.otherNodes(hostName(3))...)
		f.start(4)
		time.Sleep(changeTimeLimit)
		for i, h := range f.hosts {
			got, _ := h.View().Workspace(daisysandbox.Workspace)
			assert.Check(t, !h.Ready() || got == changed, "host %d serves with an old configuration", i)
		}
		assert.Check(t, f.hosts[4].Ready() && !f.hosts[3].Ready())
		f.network.heal()
		f.awaitService()
		for _, h := range f.hosts {
			got, _ := h.View().Workspace(daisysandbox.Workspace)
			assert.Equal(t, got, changed)
		}
	})
}

// TestKeyIsNotSentToBackend checks that no data sent to the backend servers contains the
// key of a workspace.
func TestKeyIsNotSentToBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		secret := []byte(f.plan.Key)
		f.network.tap(func(_, to string, b []byte) {
			if to == groupNode && bytes.Contains(b, secret[len("first."):]) {
				t.Error("a key reached a backend server")
			}
		})
		hist := newHistory(t)
		f.load(hist, 3, time.Second, time.Second, func() {})
		assert.Check(t, hist.count(acknowledged) > 50)
	})
}

// TestGracefulStopsFailNoRequest stops and restarts hosts one by one, including the control
// leader and the holder, while clients use the one host that keeps running.
func TestGracefulStopsFailNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		hist := newHistory(t)
		for i := range f.hosts {
			if i != f.holder() && i != f.leader() {
				f.targets = []int{i}
			}
		}
		f.load(hist, 4, time.Second, 2*time.Second, func() {
			for i, h := range f.hosts {
				if i == f.targets[0] {
					continue
				}
				assert.Check(t, h.Stop())
				f.hosts[i] = nil
				f.start(i)
				f.awaitService()
				time.Sleep(time.Second)
			}
		})
		hist.check(f.primaryRows())
		assert.Equal(t, hist.count(notRun), 0)
		assert.Equal(t, hist.resolved, 0)
		t.Logf("acknowledged %d, longest gap %s", hist.count(acknowledged), hist.longestGap(time.Now()))
	})
}

// TestOwnershipReturnsToRestartedHost stops each holder in turn, so that hosts that have
// restarted become holder again. The entry host must not use the streams to them that it
// opened before the restart, since these are closed.
func TestOwnershipReturnsToRestartedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		hist := newHistory(t)
		entry := (f.holder() + 1) % len(f.hosts)
		f.targets = []int{entry}
		stops := 0
		for range 14 {
			i := f.holder()
			if i == entry {
				// No client is running, so isolating the holder leaves no outcome unknown.
				f.network.isolate(hostName(entry), groupNode)
				f.awaitHolderOtherThan(entry)
				f.network.heal()
				continue
			}
			stops++
			f.load(hist, 4, 300*time.Millisecond, 300*time.Millisecond, func() {
				assert.Check(t, f.hosts[i].Stop())
				f.setHost(i, nil)
				f.start(i)
				f.awaitService()
			})
		}
		hist.check(f.primaryRows())
		t.Logf("%d stops of a remote holder, %d outcomes resolved", stops, hist.resolved)
		assert.Check(t, stops > 3)
		assert.Equal(t, hist.resolved, 0)
	})
}

// Guards against requests whose outcome is unknown since a holder that stops closes its
// links before other hosts have learned that the database has moved.
func TestStoppingHolderRefusesLateRequests(t *testing.T) {
	const late = 80 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var slow atomic.Pointer[[2]string] // From the control leader to the entry host.
		f := newFleetWithLatency(t, 4, func(from, to string) time.Duration {
			if path := slow.Load(); path != nil && *path == [2]string{from, to} {
				return late
			}
			return 500 * time.Microsecond
		})
		defer f.close()
		if leader := f.leader(); f.holder() == leader {
			f.network.isolate(hostName(leader), groupNode)
			f.awaitHolderOtherThan(leader)
			f.network.heal()
		}
		leader, holder := f.leader(), f.holder()
		assert.Assert(t, leader != holder)
		for i := range f.hosts {
			if i != leader && i != holder {
				f.targets = []int{i}
			}
		}
		slow.Store(&[2]string{hostName(leader), hostName(f.targets[0])})
		hist := newHistory(t)
		f.load(hist, 4, time.Second, time.Second, func() {
			assert.Check(t, f.hosts[holder].Stop())
			f.setHost(holder, nil)
		})
		hist.check(f.primaryRows())
		assert.Assert(t, hist.count(acknowledged) > 100)
		assert.Equal(t, hist.resolved, 0)
	})
}

func (f *fleet) awaitHolderOtherThan(i int) {
	for f.holder() == i || f.ownership().Primary == "" {
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLeavingServerGetsNoNewRequests lets the primary announce that it leaves. Another
// member must become primary, and the leaving one must execute no further statements.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		hist := newHistory(t)
		leaving := f.group.Primary()
		f.load(hist, 3, time.Second, 6*time.Second, func() { leaving.Leave() })
		hist.check(f.primaryRows())
		assert.Check(t, f.group.Primary() != leaving)
		before := f.group.ExecutedStatements(leaving)
		f.load(hist, 3, time.Second, time.Second, func() {})
		assert.Equal(t, f.group.ExecutedStatements(leaving), before)
		assert.Equal(t, hist.count(notRun), 0)
	})
}

// TestConnectionsStayWithinLimit runs far more sessions than a member allows connections
// while the database moves to another host.
func TestConnectionsStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		hist := newHistory(t)
		f.load(hist, 60, time.Second, 4*time.Second, func() {
			f.network.isolate(hostName(f.holder()), f.otherNodes(hostName(f.holder()))...)
		})
		f.network.heal()
		hist.check(f.primaryRows())
		assert.Equal(t, f.group.LoginsOverLimit(), int64(0))
		t.Logf("at most %d connections to a member", f.group.PeakConnections())
	})
}

// TestSessionsAreIsolated checks that a setting and an open transaction of one session do
// not affect another session, also after the first session is closed.
func TestSessionsAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		ctx := t.Context()
		first, err := f.connect(ctx, 0, daisysandbox.ProfileWrite)
		assert.NilError(t, err)
		second, err := f.connect(ctx, 0, daisysandbox.ProfileWrite)
		assert.NilError(t, err)
		tx, err := first.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "SET LOCAL work_mem = 7")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO bookings VALUES ('open', 'once')")
		assert.NilError(t, err)
		var value string
		assert.ErrorIs(t, second.QueryRow(ctx, "SELECT value FROM bookings WHERE key = 'open'").Scan(&value), pgx.ErrNoRows)
		f.closeConn(first)
		time.Sleep(time.Second)
		for range 2 * 20 {
			assert.NilError(t, second.QueryRow(ctx, "SHOW work_mem").Scan(&value))
			assert.Equal(t, value, "")
		}
		assert.ErrorIs(t, second.QueryRow(ctx, "SELECT value FROM bookings WHERE key = 'open'").Scan(&value), pgx.ErrNoRows)
		f.closeConn(second)
	})
}

// TestCancelStopsAStatement cancels a long statement with a cancel request of
// the PostgreSQL protocol.
func TestCancelStopsAStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		for host := range 3 {
			conn, err := f.connect(t.Context(), host, daisysandbox.ProfileWrite)
			assert.NilError(t, err)
			start := time.Now()
			time.AfterFunc(time.Second, func() { assert.Check(t, conn.PgConn().CancelRequest(context.Background())) })
			_, err = conn.Exec(t.Context(), "SELECT pg_sleep(60)")
			assert.Check(t, err != nil)
			assert.Check(t, time.Since(start) < 2*time.Second)
			_, err = conn.Exec(t.Context(), "SELECT 1")
			assert.NilError(t, err)
			f.closeConn(conn)
		}
	})
}

// TestCopyFailsWithoutLosingTheConnection sends COPY FROM STDIN, which is refused. It
// guards against a server that takes what is sent after the statement for its data.
func TestCopyFailsWithoutLosingTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		for host := range 3 {
			conn, err := f.connect(t.Context(), host, daisysandbox.ProfileWrite)
			assert.NilError(t, err)
			for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
				_, err = conn.Exec(t.Context(), "COPY bookings FROM STDIN", mode)
				assert.ErrorContains(t, err, "COPY from the caller is not supported")
				_, err = conn.Exec(t.Context(), "SELECT 1", mode)
				assert.NilError(t, err)
				tx, err := conn.Begin(t.Context())
				assert.NilError(t, err)
				_, err = tx.Exec(t.Context(), "COPY bookings FROM STDIN", mode)
				assert.ErrorContains(t, err, "COPY from the caller is not supported")
				_, err = tx.Exec(t.Context(), "SELECT 1", mode)
				assert.ErrorContains(t, err, "25P02")
				assert.NilError(t, tx.Rollback(t.Context()))
			}
			f.closeConn(conn)
		}
	})
}

// TestPossibleLossIsReported loses a primary with an acknowledged write that no replica
// has received, as the profile allows. An event must report that the write may be lost.
func TestPossibleLossIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		assert.NilError(t, f.plan.Operator().Change(t.Context(), daisyfleet.Change{ID: "risky", Operations: []daisyfleet.Operation{{
			ID: daisyfleet.ID{Kind: daisyfleet.KindProfile, Name: "risky"},
			Value: daisyfleet.Profile{
				Database: daisysandbox.Database, Acknowledge: daisyfleet.AcknowledgePrimary, Session: daisyfleet.SessionKey,
				Cost: 1, Wait: 5 * time.Second, Objective: 0.99,
			},
		}}}))
		time.Sleep(time.Second)
		primary := f.group.Primary()
		for _, m := range f.group.Members() {
			m.StallReplication(m != primary)
		}
		conn, err := f.connect(t.Context(), 0, "risky")
		assert.NilError(t, err)
		defer f.closeConn(conn)
		_, err = conn.Exec(t.Context(), "INSERT INTO bookings VALUES ('risky', 'once')")
		assert.NilError(t, err)
		f.group.Stop(primary)
		time.Sleep(5 * time.Second)
		reported := false
		for _, h := range f.hosts {
			for _, e := range h.Events() {
				reported = reported || strings.Contains(e.Reason, "may be lost")
			}
		}
		assert.Check(t, reported, "no event reports the possible loss")
	})
}

// TestSlowReaderDoesNotDelayOthers lets a client leave a large result unread while others
// run requests, and then reads the complete result.
func TestSlowReaderDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		const rows, width = 20_000, 1000
		slow, err := f.connect(t.Context(), 0, daisysandbox.ProfileWrite)
		assert.NilError(t, err)
		defer f.closeConn(slow)
		result, err := slow.Query(t.Context(), fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, %d)", width, rows))
		assert.NilError(t, err)
		hist := newHistory(t)
		f.load(hist, 4, time.Second, time.Second, func() {})
		assert.Equal(t, hist.count(notRun)+hist.resolved, 0)
		size := 0
		for result.Next() {
			size += len(result.RawValues()[0])
		}
		assert.NilError(t, result.Err())
		assert.Equal(t, size, rows*width)
	})
}
