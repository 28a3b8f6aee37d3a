package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	buffer   *bufio.Writer
	began    time.Time
	breaches int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, buffer: bufio.NewWriter(f), began: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// noteAt writes a line about an earlier time.
func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeAt(at, format, args...)
}

func (r *record) write(format string, args ...any) { r.writeAt(time.Now(), format, args...) }

// writeAt writes a line. Errors are kept until the record is closed.
func (r *record) writeAt(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.buffer, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches++
	r.write("RULE BROKEN: "+format, args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaches
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buffer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
