package daisyhost

import (
	stdlog "log"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/holder/daisylane"
)

// quiet passes the lines of the HTTP server to the log, at debug level.
type quiet struct{ log log.Interface }

// Write implements io.Writer.
func (q quiet) Write(b []byte) (int, error) {
	q.log.Debug("links: " + strings.TrimSpace(string(b)))
	return len(b), nil
}

func quietLog(l log.Interface) *stdlog.Logger { return stdlog.New(quiet{log: l}, "", 0) }

// discard records nothing.
type discard struct{}

// Record implements daisyentry.Recorder.
func (discard) Record(string, string, daisylane.Cause, time.Duration, bool) {}
