package daisyhost

import (
	stdlog "log"
	"strings"

	"github.com/apex/log"
)

// debugWriter writes the HTTP server's log lines to the host's log at debug level.
type debugWriter struct{ log log.Interface }

// Write implements io.Writer.
func (w debugWriter) Write(b []byte) (int, error) {
	w.log.Debug("links: " + strings.TrimSpace(string(b)))
	return len(b), nil
}

func newHTTPLog(l log.Interface) *stdlog.Logger { return stdlog.New(debugWriter{log: l}, "", 0) }
