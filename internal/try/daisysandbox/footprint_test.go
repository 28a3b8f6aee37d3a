package daisysandbox_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

var footprint = flag.Bool("footprint", false, "measure the processor time, memory and traffic of hosts")

// clockTicksPerSecond is the unit of processor times in /proc.
const clockTicksPerSecond = 100

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(t, err)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(t *testing.T, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	assert.NilError(t, err)
	return float64(pages) * float64(os.Getpagesize())
}

// TestIdleHosts measures the processor time and memory of host processes without
// clients, by role.
func TestIdleHosts(t *testing.T) {
	if !*footprint {
		t.Skip("measurement; run with -footprint")
	}
	const duration = 20 * time.Second
	for _, hosts := range []int{3, 6, 9} {
		p := startProcesses(t, hosts)
		holder, leader := p.roles()
		time.Sleep(3 * time.Second)
		var before []time.Duration
		for _, c := range p.commands {
			before = append(before, processorTime(t, c.Process.Pid))
		}
		time.Sleep(duration)
		for i, c := range p.commands {
			used := processorTime(t, c.Process.Pid) - before[i]
			role := "entry"
			switch {
			case i == leader:
				role = "control leader"
			case i < 3:
				role = "control follower"
			}
			if i == holder {
				role += ", holder"
			}
			t.Logf("%d hosts, %s: %.2f%% of a core, %.1f MB resident", hosts, role, 100*used.Seconds()/duration.Seconds(), residentMemory(t, c.Process.Pid)/1e6)
		}
		for i := range p.commands {
			p.signal(i, 9)
		}
	}
}

// TestIdleTraffic counts the bytes that idle hosts send to each other, including TLS and
// WebSocket overhead but not TCP and IP headers.
func TestIdleTraffic(t *testing.T) {
	if !*footprint {
		t.Skip("measurement; run with -footprint")
	}
	const duration = time.Minute
	var hostCounts, leaderBytes, entryBytes []float64
	for _, hosts := range []int{5, 8, 12, 16} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, hosts)
			defer f.close()
			leader := hostName(f.leader())
			entry := hostName(hosts - 1)
			if entry == hostName(f.holder()) {
				entry = hostName(hosts - 2)
			}
			time.Sleep(10 * time.Second)
			var mu sync.Mutex
			sent := make(map[string]float64)
			f.network.tap(func(from, to string, b []byte) {
				if strings.HasPrefix(from, "h") && strings.HasPrefix(to, "h") {
					mu.Lock()
					defer mu.Unlock()
					sent[from] += float64(len(b))
					sent[to] += float64(len(b))
				}
			})
			time.Sleep(duration)
			f.network.tap(nil)
			mu.Lock()
			defer mu.Unlock()
			hostCounts = append(hostCounts, float64(hosts))
			leaderBytes = append(leaderBytes, sent[leader]/duration.Seconds())
			entryBytes = append(entryBytes, sent[entry]/duration.Seconds())
		})
	}
	t.Logf("entry host, both directions: bytes per second %.0f at hosts %.0f", entryBytes, hostCounts)
	t.Logf("control leader, both directions: bytes per second %.0f, fit %s", leaderBytes, daisyregression.Fit(hostCounts, leaderBytes))
}

// TestSessionMemory measures how the memory of a host process depends on its number of
// sessions.
func TestSessionMemory(t *testing.T) {
	if !*footprint {
		t.Skip("measurement; run with -footprint")
	}
	p := startProcesses(t, 3)
	holder, _ := p.roles()
	for _, target := range []struct {
		name string
		host int
	}{{"holder", holder}, {"other host", (holder + 1) % 3}} {
		var conns []*pgx.Conn
		var sessionCounts, residentBytes []float64
		for range 4 {
			for range 500 {
				conn, err := pgx.Connect(t.Context(), p.plan.ConnString(target.host, daisysandbox.ProfileWrite))
				assert.NilError(t, err)
				_, err = conn.Exec(t.Context(), "SELECT 1")
				assert.NilError(t, err)
				conns = append(conns, conn)
			}
			time.Sleep(time.Second)
			sessionCounts = append(sessionCounts, float64(len(conns)))
			residentBytes = append(residentBytes, residentMemory(t, p.commands[target.host].Process.Pid))
		}
		t.Logf("%s: resident bytes %.0f at sessions %.0f, fit %s", target.name, residentBytes, sessionCounts, daisyregression.Fit(sessionCounts, residentBytes))
		for _, c := range conns {
			assert.NilError(t, c.Close(t.Context()))
		}
	}
}

// BenchmarkStatement runs a statement directly on the stand-in primary, through the host
// that holds the database and through another host.
func BenchmarkStatement(b *testing.B) {
	ctx := context.Background()
	f, err := daisysandbox.Open(ctx, daisynet.TCP{}, b.TempDir(), 3, &log.Logger{Handler: discard.New()})
	assert.NilError(b, err)
	defer func() { assert.NilError(b, f.Close()) }()
	ownership, _ := f.Hosts[0].View().Ownership(daisysandbox.Database)
	holder := 0
	for i := range f.Hosts {
		if hostName(i) == ownership.Holder {
			holder = i
		}
	}
	direct := fmt.Sprintf("postgres://daisyglade:%s@%s/baskets1?sslmode=disable&platform.term=%d", f.Password, f.Group.Address(f.Group.Primary()), ownership.Term)
	withoutTLS := func(host int) string {
		return strings.Replace(f.ConnString(host, daisysandbox.ProfileWrite), "sslmode=require", "sslmode=disable", 1)
	}
	for _, path := range []struct{ name, conn string }{
		{"Direct", direct}, {"SameHost", withoutTLS(holder)}, {"SecondHost", withoutTLS((holder + 1) % 3)},
	} {
		for _, statement := range []struct{ name, sql string }{
			{"Read", "SELECT value FROM bookings WHERE key = 'none'"},
			{"Write", "UPDATE bookings SET value = 'x' WHERE key = 'bench'"},
		} {
			b.Run(path.name+"/"+statement.name, func(b *testing.B) {
				conn, err := pgx.Connect(ctx, path.conn)
				assert.NilError(b, err)
				_, _ = conn.Exec(ctx, "INSERT INTO bookings VALUES ('bench', 'x')")
				b.ReportAllocs()
				for b.Loop() {
					if _, err := conn.Exec(ctx, statement.sql); err != nil {
						b.Fatal(err)
					}
				}
				assert.NilError(b, conn.Close(ctx))
			})
		}
	}
}

// TestStatementCost measures the processor time per statement on the host that the client
// is connected to and on the host that holds the database.
func TestStatementCost(t *testing.T) {
	if !*footprint {
		t.Skip("measurement; run with -footprint")
	}
	p := startProcesses(t, 3)
	holder, _ := p.roles()
	entry := (holder + 1) % 3
	for _, statement := range []struct{ name, sql string }{
		{"read", "SELECT value FROM bookings WHERE key = 'none'"},
		{"write", "UPDATE bookings SET value = 'x' WHERE key = 'one'"},
	} {
		const workers, perWorker = 8, 1500
		before := []time.Duration{processorTime(t, p.commands[entry].Process.Pid), processorTime(t, p.commands[holder].Process.Pid)}
		var wait sync.WaitGroup
		for range workers {
			conn, err := pgx.Connect(t.Context(), p.plan.ConnString(entry, daisysandbox.ProfileWrite))
			assert.NilError(t, err)
			_, _ = conn.Exec(t.Context(), "INSERT INTO bookings VALUES ('one', 'x')")
			wait.Go(func() {
				for range perWorker {
					_, err := conn.Exec(t.Context(), statement.sql)
					assert.Check(t, err)
				}
				assert.Check(t, conn.Close(t.Context()))
			})
		}
		wait.Wait()
		const total = float64(workers * perWorker)
		t.Logf("%s: entry host %.0f µs, holder %.0f µs of processor time per statement", statement.name,
			float64((processorTime(t, p.commands[entry].Process.Pid)-before[0]).Microseconds())/total,
			float64((processorTime(t, p.commands[holder].Process.Pid)-before[1]).Microseconds())/total)
	}
}
