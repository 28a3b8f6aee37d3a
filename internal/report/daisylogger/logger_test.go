package daisylogger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/report/daisylogger"
)

// stalledWriter blocks every write until resume is closed.
type stalledWriter struct {
	resume chan struct{}
	mu     sync.Mutex
	b      bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.resume
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// A writer that blocks must not block the callers that log: lines are dropped and
// their number is reported.
func TestStalledWriterDropsLines(t *testing.T) {
	const lines = 20_000
	w := &stalledWriter{resume: make(chan struct{})}
	handler := daisylogger.Open(w, "h1")
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	for range lines {
		logger.WithField("Request", "r").Info("session: statement not served")
	}
	close(w.resume)
	assert.NilError(t, handler.Close())
	written, dropped := 0, 0
	for _, text := range strings.Split(strings.TrimSpace(w.b.String()), "\n") {
		var l struct {
			Host, Message string
			Fields        map[string]any
		}
		assert.NilError(t, json.Unmarshal([]byte(text), &l))
		assert.Equal(t, l.Host, "h1")
		if l.Message == "journal: lines left out" {
			n, _ := l.Fields["Lines"].(float64)
			dropped += int(n)
			continue
		}
		written++
	}
	assert.Equal(t, written+dropped, lines)
	assert.Assert(t, dropped > 0)
}
