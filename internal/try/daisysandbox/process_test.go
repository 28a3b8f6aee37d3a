package daisysandbox_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/standin/daisystandin"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// processes is a fleet whose hosts are real processes. The stand-in group runs in the
// test process.
type processes struct {
	workload
	t        *testing.T
	plan     *daisysandbox.Plan
	group    *daisystandin.Group
	commands []*exec.Cmd
	binary   string
}

func startProcesses(t *testing.T, hosts int) *processes {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	p := &processes{t: t, binary: filepath.Join(t.TempDir(), "daisyglade")}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", p.binary, "github.com/daisyglade/daisyglade/cmd/daisyglade")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, string(output))
	p.plan, err = daisysandbox.NewPlan(daisynet.TCP{}, t.TempDir(), hosts)
	assert.NilError(t, err)
	p.group, err = p.plan.OpenGroup()
	assert.NilError(t, err)
	var announcers sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	announcers.Go(func() { p.plan.Announce(ctx, p.group) })
	p.commands = make([]*exec.Cmd, len(p.plan.Settings))
	p.workload = workload{hostCount: len(p.commands), connect: func(ctx context.Context, host int, profile string) (*pgx.Conn, error) {
		config, err := pgx.ParseConfig(p.plan.ConnString(host, profile))
		if err != nil {
			return nil, err
		}
		config.ConnectTimeout = time.Second
		return pgx.ConnectConfig(ctx, config)
	}}
	t.Cleanup(func() {
		for i := range p.commands {
			p.signal(i, syscall.SIGKILL)
		}
		cancel()
		announcers.Wait()
		p.showLogs()
		assert.Check(t, p.group.Close())
	})
	for i := range p.commands {
		p.start(i)
	}
	assert.NilError(t, p.plan.Populate(t.Context()))
	p.awaitService()
	return p
}

func (p *processes) start(i int) {
	c := exec.CommandContext(context.Background(), p.binary, "run", "--settings", p.plan.SettingsFiles[i])
	log, err := os.Create(filepath.Join(p.plan.Folder, fmt.Sprintf("h%d-%d.log", i+1, time.Now().UnixNano())))
	assert.NilError(p.t, err)
	c.Stderr = log
	assert.NilError(p.t, c.Start())
	assert.NilError(p.t, log.Close())
	p.commands[i] = c
}

// showLogs prints the logs of the processes if the test failed.
func (p *processes) showLogs() {
	if !p.t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(p.plan.Folder, "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		p.t.Logf("%s:\n%s", filepath.Base(file), text)
	}
}

// signal sends a signal to the process. After SIGKILL or SIGTERM it waits for the exit.
func (p *processes) signal(i int, s syscall.Signal) {
	c := p.commands[i]
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		_ = c.Wait()
		p.commands[i] = nil
	}
}

// awaitService waits until every running host has executed a statement.
func (p *processes) awaitService() {
	for i, c := range p.commands {
		if c == nil {
			continue
		}
		p.await(func(ctx context.Context) error {
			conn, err := pgx.Connect(ctx, p.plan.ConnString(i, daisysandbox.ProfileWrite))
			if err != nil {
				return err
			}
			_, err = conn.Exec(ctx, "SELECT 1")
			return errors.Join(err, conn.Close(ctx))
		})
	}
}

// await calls try until it succeeds, and fails the test after a minute.
func (p *processes) await(try func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	for {
		err := try(ctx)
		if err == nil {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			assert.NilError(p.t, err)
		}
	}
}

func (p *processes) open(i int, mode pgx.QueryExecMode) *pgx.Conn {
	config, err := pgx.ParseConfig(p.plan.ConnString(i, daisysandbox.ProfileWrite))
	assert.NilError(p.t, err)
	config.DefaultQueryExecMode = mode
	conn, err := pgx.ConnectConfig(p.t.Context(), config)
	assert.NilError(p.t, err)
	return conn
}

func TestProcessesServe(t *testing.T) {
	p := startProcesses(t, 3)
	modes := []struct {
		name string
		mode pgx.QueryExecMode
	}{
		{"Simple", pgx.QueryExecModeSimpleProtocol},
		{"Extended", pgx.QueryExecModeExec},
		{"Cached", pgx.QueryExecModeCacheStatement},
		{"Described", pgx.QueryExecModeDescribeExec},
	}
	for _, m := range modes {
		for host := range p.commands {
			t.Run(fmt.Sprintf("%s%d", m.name, host+1), func(t *testing.T) {
				conn := p.open(host, m.mode)
				checkTransactions(t, conn, fmt.Sprintf("%s%d", m.name, host))
				checkLargeResult(t, conn)
				checkErrors(t, conn)
				assert.NilError(t, conn.Close(t.Context()))
			})
		}
	}
	t.Run("Sessions", func(t *testing.T) { checkSessions(t, p) })
}

// Guards against a host that a closed terminal, or a supervisor that tells of new settings,
// ends on the spot: SIGHUP stops it like SIGTERM.
func TestHangupStopsGracefully(t *testing.T) {
	p := startProcesses(t, 3)
	c := p.commands[0]
	p.commands[0] = nil
	assert.NilError(t, c.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, c.Wait())
}

func checkTransactions(t *testing.T, conn *pgx.Conn, key string) {
	ctx := t.Context()
	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	for i := range 3 {
		_, err = tx.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2)", fmt.Sprintf("%s-%d", key, i), "stop")
		assert.NilError(t, err)
	}
	assert.NilError(t, tx.Commit(ctx))
	tx, err = conn.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "UPDATE rounds SET value = $1 WHERE key = $2", "skipped", key+"-0")
	assert.NilError(t, err)
	assert.NilError(t, tx.Rollback(ctx))
	var value string
	for range 3 {
		assert.NilError(t, conn.QueryRow(ctx, "SELECT value FROM rounds WHERE key = $1", key+"-0").Scan(&value))
		assert.Equal(t, value, "stop")
	}
	read, err := conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	assert.NilError(t, err)
	assert.NilError(t, read.QueryRow(ctx, "SELECT value FROM rounds WHERE key = $1", key+"-2").Scan(&value))
	_, err = read.Exec(ctx, "INSERT INTO rounds VALUES ($1, $2)", key+"-x", "no")
	assert.ErrorContains(t, err, "25006")
	assert.NilError(t, read.Rollback(ctx))
}

func checkLargeResult(t *testing.T, conn *pgx.Conn) {
	const rows, width = 10240, 1024
	result, err := conn.Query(t.Context(), fmt.Sprintf("SELECT repeat('x', %d) FROM generate_series(1, %d)", width, rows))
	assert.NilError(t, err)
	size := 0
	for result.Next() {
		size += len(result.RawValues()[0])
	}
	assert.NilError(t, result.Err())
	assert.Equal(t, size, rows*width)
}

func checkErrors(t *testing.T, conn *pgx.Conn) {
	_, err := conn.Exec(t.Context(), "SELECT nonsense from nowhere at all")
	assert.ErrorContains(t, err, "42601")
	_, err = conn.Exec(t.Context(), "SET statement_timeout = 5")
	assert.ErrorContains(t, err, "0A000")
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.NilError(t, err)
}

// checkSessions runs concurrent sessions that read back each row after writing it.
func checkSessions(t *testing.T, p *processes) {
	const sessions, writes = 200, 5
	var wait sync.WaitGroup
	errs := make(chan error, sessions)
	for s := range sessions {
		wait.Go(func() { errs <- p.runSession(t.Context(), s, writes) })
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
	assert.Equal(t, len(p.group.Primary().Rows("sessions")), sessions*writes)
}

func (p *processes) runSession(ctx context.Context, s, writes int) error {
	conn, err := pgx.Connect(ctx, p.plan.ConnString(s%len(p.commands), daisysandbox.ProfileWrite))
	if err != nil {
		return err
	}
	for i := range writes {
		key := fmt.Sprintf("%d-%d", s, i)
		if _, err := conn.Exec(ctx, "INSERT INTO sessions VALUES ($1, $2)", key, key); err != nil {
			return err
		}
		var value string
		if err := conn.QueryRow(ctx, "SELECT value FROM sessions WHERE key = $1", key).Scan(&value); err != nil {
			return err
		}
		if value != key {
			return fmt.Errorf("read %q, want %q", value, key)
		}
	}
	return conn.Close(ctx)
}

// TestProcessFaultsUnderLoad injects faults into real processes under load. The I/O code
// of the hosts must keep the guarantees that the decision logic gives.
func TestProcessFaultsUnderLoad(t *testing.T) {
	tests := []struct {
		name   string
		inject func(p *processes, holder, leader int)
	}{
		{"KillHolder", func(p *processes, holder, _ int) {
			p.signal(holder, syscall.SIGKILL)
			time.Sleep(3 * time.Second)
			p.start(holder)
		}},
		{"KillLeaderAndLoseDisk", func(p *processes, _, leader int) {
			p.signal(leader, syscall.SIGKILL)
			assert.Check(p.t, os.RemoveAll(p.plan.Settings[leader].DataFolder))
			time.Sleep(3 * time.Second)
			p.start(leader)
		}},
		{"FreezeHolder", func(p *processes, holder, _ int) {
			p.signal(holder, syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			p.signal(holder, syscall.SIGCONT)
		}},
		{"FreezeHolderAndStopPrimary", func(p *processes, holder, _ int) {
			p.signal(holder, syscall.SIGSTOP)
			primary := p.group.Primary()
			p.group.Stop(primary)
			time.Sleep(5 * time.Second)
			p.signal(holder, syscall.SIGCONT)
			assert.Check(p.t, p.group.Start(primary))
		}},
		{"StopHolderGracefully", func(p *processes, holder, _ int) {
			p.signal(holder, syscall.SIGTERM)
			p.start(holder)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := startProcesses(t, 3)
			hist := newHistory(t)
			holder, leader := p.roles()
			p.load(hist, 8, time.Second, time.Second, func() {
				test.inject(p, holder, leader)
				p.awaitService()
			})
			hist.check(p.group.Primary().Rows("bookings"))
			t.Logf("acknowledged %d, not run %d, resolved %d, longest gap %s",
				hist.count(acknowledged), hist.count(notRun), hist.resolved, hist.longestGap(time.Now()))
			assert.Equal(t, hist.count(unknown), 0)
		})
	}
}

// roles returns the indexes of the processes that hold the database and lead the
// control log.
func (p *processes) roles() (holder, leader int) {
	holder, leader = -1, -1
	operator := p.plan.Operator()
	p.await(func(ctx context.Context) error {
		for i := range p.commands {
			status, err := operator.Status(ctx, i)
			if err != nil {
				return err
			}
			if status.Leads {
				leader = i
			}
			for _, database := range status.Holds {
				if database == daisysandbox.Database {
					holder = i
				}
			}
		}
		if holder < 0 || leader < 0 {
			return errors.New("no process holds the database or none leads the control log")
		}
		return nil
	})
	return holder, leader
}
