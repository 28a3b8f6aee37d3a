package daisycli_test

import (
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a control host that ends at each start because it cannot use its log,
// without a leader and unable to say why to those that call it.
func TestStartWithUnusableLog(t *testing.T) {
	tests := []struct {
		name string
		make func(t *testing.T, path string)
		seen string
	}{
		{"Refused", func(t *testing.T, path string) { assert.NilError(t, os.MkdirAll(path, 0o700)) }, "is a directory"},
		{"Hangs", func(t *testing.T, path string) { assert.NilError(t, syscall.Mkfifo(path, 0o600)) }, "quorum: the disk does not answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "data", "control.log")
			assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
			test.make(t, path)
			checkServesWithoutLog(t, folder, test.seen)
		})
	}
}

// Guards against a control host that ends at each start because its log is damaged. It is
// told to bootstrap the fleet, and must not.
func TestStartWithDamagedLog(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "data", "control.log")
	assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	assert.NilError(t, os.WriteFile(path, make([]byte, 100), 0o600))
	checkServesWithoutLog(t, folder, "core: the control log is damaged")
	kept, err := os.ReadFile(path + ".damaged")
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 100)
}

// checkServesWithoutLog checks that a control host whose log in the folder cannot be used
// logs why, answers its calls and stops when it is told to.
func checkServesWithoutLog(t *testing.T, folder, seen string) {
	t.Helper()
	host := processAddress()
	c, lines := startProcess(t, "control", writeSettings(t, folder, host, controlSettings))
	awaitLine(t, lines, seen)
	assert.Equal(t, get(t, "http://"+host+":8462/config").code, http.StatusServiceUnavailable)
	metrics := get(t, "http://"+host+":7561/metrics")
	assert.Assert(t, strings.Contains(metrics.body, "daisyglade_storage_failed "), metrics.body)
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	awaitLine(t, lines, "process: stopped")
	for lines.Scan() { // Wait must not be called before all output was read.
	}
	assert.NilError(t, c.Wait())
}

// Guards against a control host that does not take part once its disk can be used again.
func TestStartBeforeDiskIsUsable(t *testing.T) {
	folder, host := t.TempDir(), processAddress()
	path := filepath.Join(folder, "data", "control.log")
	assert.NilError(t, os.MkdirAll(path, 0o700))
	c, lines := startProcess(t, "control", writeSettings(t, folder, host, controlSettings))
	awaitLine(t, lines, "is a directory")
	assert.NilError(t, os.Remove(path))
	awaitLine(t, lines, "quorum: leads")
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // Wait must not be called before all output was read.
	}
	assert.NilError(t, c.Wait())
}

type answer struct {
	code int
	body string
}

// get calls a process that may not listen yet.
func get(t *testing.T, url string) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(r)
	for range 100 {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		time.Sleep(10 * time.Millisecond)
		response, err = http.DefaultClient.Do(r)
	}
	assert.NilError(t, err)
	defer func() { assert.NilError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answer{response.StatusCode, string(body)}
}
