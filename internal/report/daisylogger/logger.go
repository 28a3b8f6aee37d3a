// Package daisylogger writes log lines without ever blocking those who log:
// lines wait in a bounded queue, each kind of line has a budget a second, and
// what was left out is counted and said.
package daisylogger

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// queueLines bounds the lines that wait for the writer.
	queueLines = 1024
	// budgetLines is how many lines of one message are written in a second.
	budgetLines = 50
	// flushInterval is how often left-out lines are reported.
	flushInterval = time.Second
)

// Logger is a handler of log lines.
type Logger struct {
	host  string
	lines chan *log.Entry
	done  chan struct{}
	wait  sync.WaitGroup

	mu      sync.Mutex
	spent   map[string]int // Lines of each message in the present second.
	second  time.Time
	leftOut uint64
}

// Open returns a journal that writes one JSON object a line.
func Open(w io.Writer, host string) *Logger {
	j := &Logger{
		host: host, lines: make(chan *log.Entry, queueLines), done: make(chan struct{}),
		spent: make(map[string]int),
	}
	j.wait.Go(func() { j.write(w) })
	return j
}

// HandleLog implements log.Handler. It never blocks.
func (j *Logger) HandleLog(e *log.Entry) error {
	if !j.admit(e) {
		return nil
	}
	select {
	case j.lines <- e:
	default:
		j.mu.Lock()
		j.leftOut++
		j.mu.Unlock()
	}
	return nil
}

// admit takes a line from the budget of its message.
func (j *Logger) admit(e *log.Entry) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Timestamp.Sub(j.second) >= time.Second {
		clear(j.spent)
		j.second = e.Timestamp
	}
	j.spent[e.Message]++
	if j.spent[e.Message] > budgetLines {
		j.leftOut++
		return false
	}
	return true
}

// LeftOut returns how many lines were left out and not reported yet.
func (j *Logger) takeDropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := j.leftOut
	j.leftOut = 0
	return n
}

func (j *Logger) write(w io.Writer) {
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-j.lines:
			j.encode(encoder, e)
		case <-ticker.C:
			j.reportLeftOut(encoder)
		case <-j.done:
			j.drain(encoder)
			return
		}
	}
}

func (j *Logger) drain(encoder *json.Encoder) {
	for {
		select {
		case e := <-j.lines:
			j.encode(encoder, e)
		default:
			j.reportLeftOut(encoder)
			return
		}
	}
}

func (j *Logger) reportLeftOut(encoder *json.Encoder) {
	if n := j.takeDropped(); n > 0 {
		j.encode(encoder, &log.Entry{
			Level: log.WarnLevel, Timestamp: time.Now(), Message: "journal: lines left out",
			Fields: log.Fields{"Lines": n},
		})
	}
}

// line is one line of the journal.
type line struct {
	Time    time.Time
	Level   string
	Host    string
	Message string
	Fields  log.Fields `json:",omitempty"`
}

// encode writes a line. An error of the writer is nowhere to be said.
func (j *Logger) encode(encoder *json.Encoder, e *log.Entry) {
	fields := make(log.Fields, len(e.Fields))
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		fields[k] = v
	}
	_ = encoder.Encode(line{
		Time: e.Timestamp.UTC().Truncate(time.Millisecond), Level: e.Level.String(), Host: j.host,
		Message: e.Message, Fields: fields,
	})
}

// Close writes what waits.
func (j *Logger) Close() error {
	close(j.done)
	j.wait.Wait()
	return nil
}
