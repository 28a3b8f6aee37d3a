package daisystandin

import (
	"net"
	"time"
)

// output writes a session's answers to its connection and can send one again.
type output struct {
	conn   net.Conn
	member *Member

	lock   chan struct{} // Held while writing; a mutex would stop the virtual clock of tests.
	answer []byte        // What was written since the last answer ended, if answers may be repeated.
}

func newOutput(conn net.Conn, m *Member) *output {
	return &output{conn: conn, member: m, lock: make(chan struct{}, 1)}
}

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.lock <- struct{}{}
	defer func() { <-o.lock }()
	if o.member.repeats() != nil {
		o.answer = append(o.answer, b...)
	}
	return o.conn.Write(b)
}

// forget makes what was written so far no part of an answer.
func (o *output) forget() {
	o.lock <- struct{}{}
	defer func() { <-o.lock }()
	o.answer = nil
}

// endAnswer sends the answer again, at once or later, if the member is to do so.
func (o *output) endAnswer() {
	o.lock <- struct{}{}
	defer func() { <-o.lock }()
	answer := o.answer
	o.answer = nil
	repeat := o.member.repeats()
	if repeat == nil {
		return
	}
	delay, again := repeat()
	switch {
	case !again:
	case delay == 0:
		_, _ = o.conn.Write(answer)
	default:
		time.AfterFunc(delay, func() {
			o.lock <- struct{}{}
			defer func() { <-o.lock }()
			_, _ = o.conn.Write(answer)
		})
	}
}

// RepeatAnswers makes the member ask f after each answer whether it sends it again, and
// after which delay. Nil ends that.
func (m *Member) RepeatAnswers(f func() (delay time.Duration, again bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repeat = f
}

func (m *Member) repeats() func() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.repeat
}
