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

// stuck is a reader of the log that has stopped reading until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// A log that nobody reads costs lines, not requests, and says how many.
func TestStuckReaderCostsLines(t *testing.T) {
	const lines = 20_000
	w := &stuck{gate: make(chan struct{})}
	j := daisylogger.Open(w, "h1")
	logger := &log.Logger{Handler: j, Level: log.InfoLevel}
	for range lines {
		logger.WithField("Request", "r").Info("session: statement not served")
	}
	close(w.gate)
	assert.NilError(t, j.Close())
	written, leftOut := 0, 0
	for _, text := range strings.Split(strings.TrimSpace(w.b.String()), "\n") {
		var l struct {
			Host, Message string
			Fields        map[string]any
		}
		assert.NilError(t, json.Unmarshal([]byte(text), &l))
		assert.Equal(t, l.Host, "h1")
		if l.Message == "journal: lines left out" {
			n, _ := l.Fields["Lines"].(float64)
			leftOut += int(n)
			continue
		}
		written++
	}
	assert.Equal(t, written+leftOut, lines)
	assert.Assert(t, leftOut > 0)
}
