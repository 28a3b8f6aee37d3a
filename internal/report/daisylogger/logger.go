// Package daisylogger writes log lines without blocking the callers that log
// them. Lines wait in a bounded queue, the number of lines per message and second
// is limited, and dropped lines are counted and reported.
package daisylogger

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the lines with the same message in one second.
	maxLinesPerSecond = 50
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// Logger is a log.Handler that queues entries and writes them in the background.
type Logger struct {
	host  string
	lines chan *log.Entry
	done  chan struct{}
	wait  sync.WaitGroup

	mu          sync.Mutex
	counts      map[string]int // Lines since secondStart, by message.
	secondStart time.Time
	dropped     uint64 // Not reported yet.
}

// Open starts a logger that writes one JSON object per line to w.
func Open(w io.Writer, host string) *Logger {
	l := &Logger{
		host: host, lines: make(chan *log.Entry, maxQueuedLines), done: make(chan struct{}),
		counts: make(map[string]int),
	}
	l.wait.Go(func() { l.write(w) })
	return l
}

// HandleLog implements log.Handler. It never blocks.
func (l *Logger) HandleLog(e *log.Entry) error {
	if !l.admit(e) {
		return nil
	}
	select {
	case l.lines <- e:
	default:
		l.mu.Lock()
		l.dropped++
		l.mu.Unlock()
	}
	return nil
}

// admit counts the entry and reports whether it is within the limit of its message.
func (l *Logger) admit(e *log.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Timestamp.Sub(l.secondStart) >= time.Second {
		clear(l.counts)
		l.secondStart = e.Timestamp
	}
	l.counts[e.Message]++
	if l.counts[e.Message] > maxLinesPerSecond {
		l.dropped++
		return false
	}
	return true
}

// takeDropped returns the number of dropped lines and resets it.
func (l *Logger) takeDropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

func (l *Logger) write(w io.Writer) {
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.lines:
			l.encode(encoder, e)
		case <-ticker.C:
			l.reportDropped(encoder)
		case <-l.done:
			l.drain(encoder)
			return
		}
	}
}

func (l *Logger) drain(encoder *json.Encoder) {
	for {
		select {
		case e := <-l.lines:
			l.encode(encoder, e)
		default:
			l.reportDropped(encoder)
			return
		}
	}
}

func (l *Logger) reportDropped(encoder *json.Encoder) {
	if n := l.takeDropped(); n > 0 {
		l.encode(encoder, &log.Entry{
			Level: log.WarnLevel, Timestamp: time.Now(), Message: "journal: lines left out",
			Fields: log.Fields{"Lines": n},
		})
	}
}

// line is the JSON form of an entry.
type line struct {
	Time    time.Time
	Level   string
	Host    string
	Message string
	Fields  log.Fields `json:",omitempty"`
}

// encode writes an entry. Write errors are ignored: there is nowhere to report them.
func (l *Logger) encode(encoder *json.Encoder, e *log.Entry) {
	fields := make(log.Fields, len(e.Fields))
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		fields[k] = v
	}
	_ = encoder.Encode(line{
		Time: e.Timestamp.UTC().Truncate(time.Millisecond), Level: e.Level.String(), Host: l.host,
		Message: e.Message, Fields: fields,
	})
}

// Close writes the queued lines and stops the logger.
func (l *Logger) Close() error {
	close(l.done)
	l.wait.Wait()
	return nil
}
