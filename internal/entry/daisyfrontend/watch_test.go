package daisyfrontend

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a client whose departure is not seen while its statement waits, against
// a statement that is lost because its first byte came early, and against a connection
// that cannot be read after it was watched.
func TestWatchedClient(t *testing.T) {
	tests := []struct {
		name   string
		early  string // Sent while the client is watched.
		closes bool   // Closes the connection meanwhile.
		later  string // Sent afterwards.
	}{
		{"Waits", "", false, "next"},
		{"Leaves", "", true, ""},
		{"SendsEarly", "nex", false, "t"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				w := &watchedConn{Conn: far}
				left := false
				stop := w.watch(func() { left = true })
				go func() {
					if test.closes {
						_ = near.Close()
						return
					}
					_, _ = near.Write([]byte(test.early))
					time.Sleep(time.Second)
					_, _ = near.Write([]byte(test.later))
				}()
				time.Sleep(2 * watchDelay)
				stop()
				assert.Equal(t, left, test.closes)
				if test.closes {
					return
				}
				got := make([]byte, len("next"))
				_, err := io.ReadFull(w, got)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "next")
				_ = near.Close()
			})
		})
	}
}
