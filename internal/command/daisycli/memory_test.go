package daisycli_test

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// memoryLimit is the limit of memory in the settings of the tests' processes, in KiB.
const memoryLimit = 284 << 10

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the most memory that the process has used so far, in KiB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	peak, err := strconv.Atoi(peakPattern.FindStringSubmatch(string(status))[1])
	assert.NilError(t, err)
	return peak
}

// largeState returns a desired state of a mebibyte that hardly compresses.
func largeState(version int, random *rand.ChaCha8) string {
	note := make([]byte, 768<<10)
	_, _ = random.Read(note)
	return fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[],"limits":{"txIdleMs":3000},"note":%q}`,
		version, base64.StdEncoding.EncodeToString(note))
}

// putState sends a desired state until it is acknowledged, as operators do.
func putState(t *testing.T, url, state string) {
	t.Helper()
	for end := time.Now().Add(oddLimit); ; time.Sleep(100 * time.Millisecond) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, strings.NewReader(state))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode == http.StatusOK {
			return
		}
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Now().Before(end), "the desired state was not acknowledged")
	}
}

// Guards against a control host that is ended for its memory at each start, since it
// reads more desired states from its log than it has memory for.
func TestStartFitsInMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("the processes run in real time")
	}
	const states = 200
	folder, host := t.TempDir(), processAddress()
	settings := writeSettings(t, folder, host, controlSettings)
	c, lines := startProcess(t, "control", settings)
	awaitLine(t, lines, "quorum: leads")
	go func() {
		for lines.Scan() { // The process must not wait for its output to be read.
		}
	}()
	random := rand.NewChaCha8([32]byte{1})
	for version := 1; version <= states; version++ {
		putState(t, "http://"+host+":8462/config", largeState(version, random))
	}
	running := peakMemory(t, c.Process.Pid)
	assert.NilError(t, c.Process.Kill())
	_ = c.Wait()

	c, lines = startProcess(t, "control", settings)
	awaitLine(t, lines, "quorum: leads")
	answer := get(t, "http://"+host+":8462/config")
	assert.Assert(t, strings.HasPrefix(answer.body, fmt.Sprintf(`{"version":%d,`, states)))
	started := peakMemory(t, c.Process.Pid)
	assert.Check(t, running < memoryLimit, "%d KiB while it ran", running)
	assert.Check(t, started < memoryLimit, "%d KiB at the start", started)
	assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // Wait must not be called before all output was read.
	}
	assert.NilError(t, c.Wait())
}
