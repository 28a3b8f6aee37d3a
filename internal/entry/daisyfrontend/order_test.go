package daisyfrontend

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// wordCodec reads a statement from a line with its kind, and writes a line with the code of
// the answer.
type wordCodec struct {
	conn    net.Conn
	reader  *bufio.Reader
	partial string // Of a line whose rest has not come.
}

var kinds = map[string]daisystatement.Kind{
	"set": daisystatement.KindSet, "execute": daisystatement.KindExecute, "commit": daisystatement.KindCommit,
	"write": daisystatement.KindWrite, "begin": daisystatement.KindBegin, "rollback": daisystatement.KindRollback,
}

func (c *wordCodec) ReadStartup() (database, key string, err error) { return "d", "", nil }

func (c *wordCodec) ReadStatement() (st daisystatement.Statement, err error) {
	rest, err := c.reader.ReadString('\n')
	c.partial += rest
	if err != nil {
		return st, err
	}
	st.Kind = kinds[strings.TrimSpace(c.partial)]
	c.partial = ""
	return st, nil
}

func (c *wordCodec) WriteStarted() error { return nil }

func (c *wordCodec) WriteRefusal(f *daisystatement.Failure) error {
	_, err := fmt.Fprintln(c.conn, f.Code)
	return err
}

func (c *wordCodec) WriteAnswer(a daisystatement.Answer) error {
	code := daisystatement.CodeNone
	if a.Failure != nil {
		code = a.Failure.Code
	}
	_, err := fmt.Fprintln(c.conn, code)
	return err
}

// always is a lease that is valid.
type always struct{}

func (always) Valid() bool { return true }

// serveClient serves a client at the other end of the returned connection. No server is
// known, so that a write is refused after 350 ms.
func serveClient(t *testing.T) (s *Server, conn net.Conn) {
	index := daisyspec.NewIndex(&daisyspec.Document{
		Profiles:        []daisyspec.Profile{{Name: "d", Database: "d", Service: "s", Public: true, Timeout: 400 * time.Millisecond, Latency: time.Hour}},
		TransactionIdle: time.Second,
	})
	view := daisyfleet.NewView()
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	s = &Server{
		sessions: make(map[*client]struct{}),
		options: Options{
			Codec: func(c net.Conn) Codec { return &wordCodec{conn: c, reader: bufio.NewReader(c)} }, Log: logger,
			Environment: &daisysession.Environment{
				Index: func() *daisyspec.Index { return index }, Router: daisyrouter.New(daisyrouter.Options{View: view, Lease: always{}}), Log: logger,
			},
		},
	}
	near, far := net.Pipe()
	c := &client{conn: far}
	assert.Assert(t, s.add(c))
	s.wait.Go(func() { s.serve(c) })
	return s, near
}

// answers are the answers to the statements outside a transaction.
var answers = map[string]daisystatement.Code{
	"set": daisystatement.CodeNone, "execute": daisystatement.CodeNoStatement, "commit": daisystatement.CodeMalformed, "write": daisystatement.CodeBusy,
}

// Guards against answers out of their order, or bytes that are lost or read twice, when a
// client sends its next statements, or a part of one, before the answer to the former.
func TestStatementsSentEarlyAreAnsweredInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"set", "execute", "commit", "write"}), 1, 12).Draw(rt, "words")
		text := strings.Join(words, "\n") + "\n"
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 8).Draw(rt, "cuts")
		pauses := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 50, 51, 200, 350, 1200}), len(cuts), len(cuts)).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			s, conn := serveClient(t)
			var sending sync.WaitGroup
			sending.Go(func() {
				sent := 0
				for i, cut := range cuts {
					if cut > sent {
						_, _ = io.WriteString(conn, text[sent:cut])
						sent = cut
					}
					time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				}
				if sent < len(text) {
					_, _ = io.WriteString(conn, text[sent:])
				}
			})
			reader := bufio.NewReader(conn)
			for i, word := range words {
				line, err := reader.ReadString('\n')
				assert.NilError(t, err)
				assert.Equal(t, strings.TrimSpace(line), answers[word].String(), "statement %d of %q", i, words)
			}
			assert.Equal(t, reader.Buffered(), 0)
			sending.Wait()
			assert.NilError(t, conn.Close())
			s.wait.Wait()
		})
	})
}

// Guards against an answer that follows a part of another: after a write that the client
// did not take in time, the connection ends.
func TestConnectionEndsAfterPartialAnswer(t *testing.T) {
	for taken := range len("NoStatement\n") {
		synctest.Test(t, func(t *testing.T) {
			s, conn := serveClient(t)
			_, err := io.WriteString(conn, "execute\n")
			assert.NilError(t, err)
			_, err = io.ReadFull(conn, make([]byte, taken))
			assert.NilError(t, err)
			time.Sleep(2 * writeTimeout)
			_, err = io.WriteString(conn, "set\n")
			assert.ErrorIs(t, err, io.ErrClosedPipe)
			rest, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), "")
			s.wait.Wait()
		})
	}
}

// Guards against messages to a client that has no request outstanding: it closes its
// session on any.
func TestNothingIsWrittenWithoutRequest(t *testing.T) {
	drain := func(s *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s.Drain(ctx)
	}
	finish := func(s *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s.Finish(ctx)
	}
	idle := func(*Server) { time.Sleep(3 * time.Second) }
	tests := []struct {
		name string
		sent string // The last statement is answered, or is not complete.
		wait func(*Server)
		next string // The code of the answer to "execute" afterwards; empty if the connection has ended.
	}{
		{"Idle", "set\n", idle, "NoStatement"},
		{"IdleTransaction", "begin\n", idle, "Aborted"},
		{"IdleTransactionMidStatement", "begin\nexec", idle, "Aborted"},
		{"IdleMidStatement", "exec", idle, "NoStatement"},
		{"Drain", "set\n", drain, ""},
		{"DrainTransaction", "begin\n", drain, "Aborted"},
		{"DrainMidStatement", "set\nexec", drain, ""},
		{"Finish", "set\n", finish, ""},
		{"FinishTransaction", "begin\n", finish, ""},
		{"FinishMidStatement", "begin\nexec", finish, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, conn := serveClient(t)
				reader := bufio.NewReader(conn)
				complete := strings.LastIndex(test.sent, "\n") + 1
				if complete > 0 {
					_, err := io.WriteString(conn, test.sent[:complete])
					assert.NilError(t, err)
					line, err := reader.ReadString('\n')
					assert.NilError(t, err)
					assert.Equal(t, line, "Served\n")
				}
				_, err := io.WriteString(conn, test.sent[complete:])
				assert.NilError(t, err)
				received := make(chan string, 1)
				go func() {
					line, _ := reader.ReadString('\n')
					received <- line
				}()
				test.wait(s)
				if test.next == "" {
					assert.Equal(t, <-received, "")
					s.wait.Wait()
					return
				}
				synctest.Wait()
				select {
				case line := <-received:
					t.Fatalf("received %q", line)
				default:
				}
				_, err = io.WriteString(conn, "execute\n"[len(test.sent)-complete:])
				assert.NilError(t, err)
				assert.Equal(t, <-received, test.next+"\n")
				assert.NilError(t, conn.Close())
				s.wait.Wait()
			})
		})
	}
}
