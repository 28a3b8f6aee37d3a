package daisyfrontend

import (
	"net"
	"sync"
	"time"
)

// watchDelay is how long a statement runs before its client is watched. Most statements
// have ended by then and cost nothing.
const watchDelay = 50 * time.Millisecond

// watchedConn is the connection of a client. While no one reads from it, it can be watched
// for the client's departure.
type watchedConn struct {
	net.Conn

	mu   sync.Mutex
	read []byte // What was read while the client was watched; at most a byte.
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.read) > 0 && len(b) > 0 {
		n := copy(b, w.read)
		w.read = w.read[n:]
		return n, nil
	}
	return w.Conn.Read(b)
}

// watch calls left if the client closes the connection before the returned function is
// called. That function must be called before the connection is read again; it clears
// the read deadline. A client that sends its next statement early is not watched further.
func (w *watchedConn) watch(left func()) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(ended)
		w.peek(left)
	})
	return func() {
		if timer.Stop() {
			return
		}
		_ = w.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = w.SetReadDeadline(time.Time{})
	}
}

// peek reads a byte and keeps it for Read. It calls left if the connection has ended.
func (w *watchedConn) peek(left func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.read) > 0 {
		return
	}
	b := make([]byte, 1)
	n, err := w.Conn.Read(b)
	w.read = b[:n]
	if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) { //nolint:errorlint // Of the connection itself.
		left()
	}
}
