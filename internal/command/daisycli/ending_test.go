package daisycli_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

const controlSettings = "bindAddrs.control=HOST:8462\nseeds=HOST:8462\nbootstrap=true\n"

// Guards against a process that ends for a reason that its log does not tell: it went to
// standard error only.
func TestReasonOfEndIsLogged(t *testing.T) {
	const inUse = "address already in use"
	tests := []struct {
		name     string
		command  string
		settings string
		reason   string
	}{
		{"Entry", "entry", "bindAddrs.front=HOST:8465\nbindAddrs.ready=HOST:8460\nseeds=127.77.0.9:8462\n", inUse},
		{"Control", "control", controlSettings, inUse},
		{"Settings", "control", "bindAddrs.control=HOST:none\n", "read settings"},
	}
	host := processAddress()
	taken, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", host+":7560")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, lines := startProcess(t, test.command, writeSettings(t, t.TempDir(), host, test.settings))
			var last []string
			for lines.Scan() {
				last = append(last, lines.Text())
			}
			assert.ErrorContains(t, c.Wait(), "exit status 1")
			assert.Assert(t, len(last) >= 2, "%q", last)
			last = last[len(last)-2:]
			assert.Assert(t, strings.Contains(last[0], "process: ends with an error") && strings.Contains(last[0], test.reason), last[0])
			assert.Assert(t, strings.Contains(last[1], "process: stopped"), last[1])
		})
	}
}

// Guards against ends of a control host that cannot be told apart afterwards.
func TestEndOfPreviousProcessIsLogged(t *testing.T) {
	const ready = "quorum: leads"
	tests := []struct {
		name   string
		signal syscall.Signal
		seen   string
	}{
		{"Stopped", syscall.SIGTERM, "process: the previous one stopped in order"},
		{"Trace", syscall.SIGQUIT, "SIGQUIT: quit"},
		{"Killed", syscall.SIGKILL, "process: the previous one was killed, or its host failed"},
	}
	folder, host := t.TempDir(), processAddress()
	settings := writeSettings(t, folder, host, controlSettings)
	c, lines := startProcess(t, "control", settings)
	awaitLine(t, lines, ready)
	for _, test := range tests { // Each one tells how the one before it ended.
		assert.NilError(t, c.Process.Signal(test.signal))
		for lines.Scan() { // Wait must not be called before all output was read.
		}
		if err := c.Wait(); test.signal == syscall.SIGTERM {
			assert.NilError(t, err)
		}
		c, lines = startProcess(t, "control", settings)
		awaitLine(t, lines, test.seen)
		awaitLine(t, lines, ready)
	}
	assert.NilError(t, c.Process.Kill())
	_ = c.Wait()

	taken, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", host+":7560")
	assert.NilError(t, err)
	c, lines = startProcess(t, "control", settings)
	awaitLine(t, lines, "process: ends with an error")
	awaitLine(t, lines, "process: stopped")
	_ = c.Wait()
	assert.NilError(t, taken.Close())
	c, lines = startProcess(t, "control", settings)
	awaitLine(t, lines, "address already in use")
	awaitLine(t, lines, ready)
	assert.NilError(t, c.Process.Kill())
	_ = c.Wait()
}

// A control host starts though the files that tell of its ends cannot be used.
func TestUnusableEndingKeepsNoHostFromStarting(t *testing.T) {
	for _, name := range []string{"process.ending", "process.trace"} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			assert.NilError(t, os.MkdirAll(filepath.Join(folder, "data", name, "full"), 0o700))
			c, lines := startProcess(t, "control", writeSettings(t, folder, processAddress(), controlSettings))
			awaitLine(t, lines, "process: its ending cannot be recorded")
			awaitLine(t, lines, "quorum: leads")
			assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
			for lines.Scan() { // Wait must not be called before all output was read.
			}
			assert.NilError(t, c.Wait())
		})
	}
}
