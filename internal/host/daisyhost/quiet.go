package daisyhost

import (
	stdlog "log"
	"strings"

	"github.com/apex/log"
)

// quiet passes the lines of the HTTP server to the log, at debug level.
type quiet struct{ log log.Interface }

// Write implements io.Writer.
func (q quiet) Write(b []byte) (int, error) {
	q.log.Debug("links: " + strings.TrimSpace(string(b)))
	return len(b), nil
}

func quietLog(l log.Interface) *stdlog.Logger { return stdlog.New(quiet{log: l}, "", 0) }
