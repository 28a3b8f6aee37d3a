package daisycli_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/command/daisycli"
	"github.com/daisyglade/daisyglade/platform"
)

// argsVariable holds the arguments with which the test binary runs as the program.
const argsVariable = "DAISYCLI_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		os.Exit(daisycli.Main(strings.Fields(args), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Guards against a host that is ended by SIGHUP, which tells of changed settings, while it
// stops: the requests that it had read got no answer.
func TestHangupDoesNotEndStoppingHost(t *testing.T) {
	tests := []struct {
		name     string
		command  string
		settings string
		ready    string // Line after which the host is told to stop.
		stopping string // Line that tells that it stops; empty if it writes none.
	}{
		{"Entry", "entry", "bindAddrs.front=HOST:8465\nbindAddrs.ready=HOST:8460\nseeds=127.77.0.9:8462\n", "process: started", "front: stopping"},
		{"Control", "control", "bindAddrs.control=HOST:8462\nseeds=HOST:8462\nbootstrap=true\n", "quorum: leads", ""},
	}
	host := processAddress()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, lines := startProcess(t, test.command, writeSettings(t, t.TempDir(), host, test.settings))
			awaitLine(t, lines, test.ready)

			// A call that the control host has accepted keeps it from ending.
			var call net.Conn
			var err error
			if test.command == "control" {
				call, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", host+":8462")
				assert.NilError(t, err)
				_, err = fmt.Fprint(call, "PUT /config HTTP/1.1\r\nHost: h1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
				assert.NilError(t, err)
				accepted := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
				_, err = io.ReadFull(call, accepted)
				assert.NilError(t, err)
			}
			assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
			if test.stopping != "" {
				awaitLine(t, lines, test.stopping)
			}
			for call != nil { // Until no further call is accepted.
				further, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", host+":8462")
				if err != nil {
					break
				}
				assert.NilError(t, further.Close())
				time.Sleep(10 * time.Millisecond)
			}
			assert.NilError(t, c.Process.Signal(syscall.SIGHUP))
			if call != nil {
				_, err = fmt.Fprint(call, "{}")
				assert.NilError(t, err)
				answer, err := io.ReadAll(call)
				assert.NilError(t, err)
				assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 400"), "%q", answer)
				assert.NilError(t, call.Close())
			}
			for lines.Scan() { // Wait must not be called before all output was read.
			}
			assert.NilError(t, c.Wait())
		})
	}
}

// processAddress returns an address on loopback of this test process, so that runs of the
// tests do not meet.
func processAddress() string {
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// writeSettings writes a settings file for a process at the address that keeps its data in
// the folder, and returns its path.
func writeSettings(t *testing.T, folder, host, settings string) string {
	t.Helper()
	settings = "nodeName=h1\nip=HOST\nzone=a\nregion=r\nzones.a=r\ninternalPorts=7560,7575\nbounds.graceS=6\n" +
		"limits.memoryMb=284\ncloudApi.address=127.77.0.9:1\ndataDir=" + filepath.Join(folder, "data") + "\n" + settings
	file := filepath.Join(folder, "node.conf")
	assert.NilError(t, os.WriteFile(file, []byte(strings.ReplaceAll(settings, "HOST", host)), 0o600))
	return file
}

// processLimit bounds the life of a process, so that a test whose process does not end fails.
const processLimit = 10 * time.Minute

// startProcess starts the program and returns it with the lines that it logs. A program
// that does not end is killed.
func startProcess(t *testing.T, command, settings string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), processLimit)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0])
	c.Env = append(os.Environ(), argsVariable+"="+command, platform.SettingsVariable+"="+settings)
	output, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	return c, bufio.NewScanner(output)
}

func awaitLine(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the host ended before it wrote %q", text)
}
