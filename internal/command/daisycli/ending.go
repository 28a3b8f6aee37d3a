package daisycli

import (
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// endingFile tells how the last process ended.
	endingFile = "process.ending"
	// traceFile holds what the Go runtime writes when it ends the process.
	traceFile = "process.trace"
	// endingTimeout bounds the wait for these files, whose disk may hang.
	endingTimeout = 200 * time.Millisecond
	// maxTraceBytes and maxTraceLines bound the part of a trace that is logged: the
	// reason and the first frames.
	maxTraceBytes = 4 << 10
	maxTraceLines = 12

	folderMode = 0o700
	fileMode   = 0o600
)

// The endings of a process. A process that is killed, or whose host fails, leaves endingRunning.
const (
	endingRunning = "running"
	endingStopped = "stopped"
	endingError   = "error: "
)

// ending records in a folder how the process ends, for the log of the next one. It is
// kept as far as the disk allows: a host runs without it.
type ending struct {
	folder string
	log    log.Interface

	mu sync.Mutex // Held while the files are used.
}

// openEnding logs how the previous process ended and records that this one runs.
func openEnding(folder string, l log.Interface) *ending {
	e := &ending{folder: folder, log: l}
	e.run(e.open)
	return e
}

func (e *ending) open() error {
	if err := os.MkdirAll(e.folder, folderMode); err != nil {
		return err
	}
	previous, err := os.ReadFile(e.path(endingFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	trace, err := os.OpenFile(e.path(traceFile), os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		e.report(string(previous), "")
		return errors.Join(err, e.write(endingRunning))
	}
	b := make([]byte, maxTraceBytes)
	n, _ := trace.ReadAt(b, 0)
	e.report(string(previous), string(b[:n]))
	return errors.Join(trace.Truncate(0), debug.SetCrashOutput(trace, debug.CrashOptions{}), trace.Close(), e.write(endingRunning))
}

// report logs how the previous process ended, if that is known.
func (e *ending) report(previous, trace string) {
	const message = "process: the previous one "
	reason, failed := strings.CutPrefix(previous, endingError)
	switch {
	case trace != "":
		lines := strings.SplitN(trace, "\n", maxTraceLines+1)
		e.log.WithField("Trace", lines[:min(len(lines), maxTraceLines)]).Error(message + "was ended by a panic or a fatal signal")
	case failed:
		e.log.WithField("Reason", reason).Warn(message + "ended with an error")
	case previous == endingRunning:
		e.log.Warn(message + "was killed, or its host failed")
	case previous == endingStopped:
		e.log.Info(message + "stopped in order")
	}
}

// close records the end of the process, which err is the reason of unless it is nil.
func (e *ending) close(err error) {
	next := endingStopped
	if err != nil {
		next = endingError + err.Error()
	}
	e.run(func() error {
		if err := e.write(next); err != nil {
			// An outdated record would tell of a process that was killed.
			return errors.Join(err, os.Remove(e.path(endingFile)))
		}
		return nil
	})
}

// run calls f, which uses the files, and waits for it for endingTimeout at most.
func (e *ending) run(f func() error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := f(); err != nil {
			e.log.WithError(err).Warn("process: its ending cannot be recorded")
		}
	}()
	select {
	case <-done:
	case <-time.After(endingTimeout):
	}
}

func (e *ending) write(s string) error {
	return os.WriteFile(e.path(endingFile), []byte(s), fileMode)
}

func (e *ending) path(name string) string { return filepath.Join(e.folder, name) }
