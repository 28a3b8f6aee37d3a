package daisyentry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/entry/daisydialer"
	"github.com/daisyglade/daisyglade/internal/entry/daisyentry"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

const key = "k.secret"

// fakeHolder records requests. Unless answer is set, it answers with only a
// ReadyForQuery message.
type fakeHolder struct {
	mu       sync.Mutex
	requests []*daisystream.Request
	answer   func(r *daisystream.Request, emit func(*daisystream.Answer) error) error
}

func (h *fakeHolder) Stream() daisystream.Stream { return h }
func (h *fakeHolder) Close()                     {}

func (h *fakeHolder) Do(_ context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	h.mu.Lock()
	copied := *r
	h.requests = append(h.requests, &copied)
	h.mu.Unlock()
	if h.answer != nil {
		return h.answer(r, emit)
	}
	ready, _ := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	return emit(&daisystream.Answer{Final: true, Status: daisystream.StatusIdle, Bytes: ready, MinPosition: daisystream.Position{Term: 1, Offset: 7}})
}

func (h *fakeHolder) last() *daisystream.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests[len(h.requests)-1]
}

type fixedLease bool

func (l fixedLease) Valid() bool { return bool(l) }

type discardRecorder struct{}

func (discardRecorder) Record(string, string, daisystream.Cause, time.Duration, bool) {}

func openServer(t testing.TB, h *fakeHolder) *daisyentry.Server {
	t.Helper()
	return openServerOn(t, daisynet.TCP{}, daisyfleet.NewView(), h)
}

// openServerOn returns a server on the network, whose state it stores in the view.
func openServerOn(t testing.TB, n daisynet.Network, view *daisyfleet.View, h daisyentry.Holder) *daisyentry.Server {
	t.Helper()
	objects := []daisyfleet.Object{
		{ID: daisyfleet.ID{Kind: daisyfleet.KindKey, Name: "k"}, Revision: 1, Value: daisyfleet.Key{Workspace: "w", Hash: sha256.Sum256([]byte(key))}},
		{ID: daisyfleet.ID{Kind: daisyfleet.KindProfile, Name: "p"}, Revision: 1, Value: daisyfleet.Profile{Database: "db", Wait: 100 * time.Millisecond}},
		{ID: daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "db"}, Revision: 1, Value: daisyfleet.Ownership{Term: 1, Holder: "h"}},
	}
	assert.NilError(t, view.Update(func(s *daisyfleet.State) error { return s.Merge(daisyfleet.Delta{To: 1, Objects: objects}) }))
	s, err := daisyentry.Open(daisyentry.Options{
		Network: n, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Host: "h", MaxSessions: 3, MaxRequestBytes: 1 << 16,
		View: view, Lease: fixedLease(true), Holder: h, Streams: daisydialer.New(nil), Recorder: discardRecorder{}, Log: &log.Logger{Handler: text.New(io.Discard)},
	})
	assert.NilError(t, err)
	return s
}

// testClient is a client that sends and receives single protocol messages.
type testClient struct {
	t        *testing.T
	conn     net.Conn
	frontend *pgproto3.Frontend
}

func dial(t *testing.T, s *daisyentry.Server) *testClient {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Address().String())
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &testClient{t: t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
}

func (c *testClient) send(messages ...pgproto3.FrontendMessage) {
	for _, m := range messages {
		c.frontend.Send(m)
	}
	assert.NilError(c.t, c.frontend.Flush())
}

// until receives messages up to the first for which done returns true.
func (c *testClient) until(done func(pgproto3.BackendMessage) bool) {
	for {
		m, err := c.frontend.Receive()
		assert.NilError(c.t, err)
		if done(m) {
			return
		}
	}
}

func isReady(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ReadyForQuery)
	return ok
}

func (c *testClient) login() {
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "w", "database": "p"}})
	c.until(func(m pgproto3.BackendMessage) bool {
		_, ok := m.(*pgproto3.AuthenticationCleartextPassword)
		return ok
	})
	c.send(&pgproto3.PasswordMessage{Password: key})
	c.until(isReady)
}

// errorCode receives messages up to an error and returns its code. It checks
// that the connection ends after the error.
func (c *testClient) errorCode() (code string) {
	c.until(func(m pgproto3.BackendMessage) bool {
		e, ok := m.(*pgproto3.ErrorResponse)
		if ok {
			code = e.Code
		}
		return ok
	})
	_, err := c.frontend.Receive()
	assert.Check(c.t, err != nil, "connection was not closed after the error")
	return code
}

func startup(user, database string) []byte {
	b, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": user, "database": database}}).Encode(nil)
	return b
}

func password(text string) []byte {
	b, _ := (&pgproto3.PasswordMessage{Password: text}).Encode(nil)
	return b
}

func TestBadLogins(t *testing.T) {
	tests := []struct {
		name  string
		bytes []byte
		code  string
	}{
		{"Garbage", bytes.Repeat([]byte{0x16, 3, 1}, 20), daisystream.CodeProtocol},
		{"HugeLength", []byte{0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0}, daisystream.CodeProtocol},
		{"OldVersion", []byte{0, 0, 0, 8, 0, 2, 0, 0}, daisystream.CodeProtocol},
		{"WrongKey", append(startup("w", "p"), password("k.other")...), daisystream.CodeKey},
		{"NoKey", append(startup("w", "p"), password("")...), daisystream.CodeKey},
		{"OtherWorkspace", append(startup("v", "p"), password(key)...), daisystream.CodeKey},
		{"UnknownProfile", append(startup("w", "q"), password(key)...), "3D000"},
		{"LongKey", append(startup("w", "p"), password(string(make([]byte, 4096)))...), daisystream.CodeProtocol},
		{"QueryForPassword", append(startup("w", "p"), 'Q', 0, 0, 0, 5, 0), daisystream.CodeProtocol},
	}
	s := openServer(t, &fakeHolder{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := dial(t, s)
			defer func() { assert.NilError(t, c.conn.Close()) }()
			_, err := c.conn.Write(test.bytes)
			assert.NilError(t, err)
			assert.Equal(t, c.errorCode(), test.code)
		})
	}
	assert.NilError(t, s.Close())
}

func TestBadRequests(t *testing.T) {
	tests := []struct {
		name string
		send []pgproto3.FrontendMessage
		code string
	}{
		{"LargeMessage", []pgproto3.FrontendMessage{&pgproto3.Query{String: strings.Repeat("x", 1<<17)}}, daisystream.CodeTooLarge},
		{"ManyMessages", []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: strings.Repeat("x", 40_000)}, &pgproto3.Parse{Query: strings.Repeat("x", 40_000)}, &pgproto3.Sync{},
		}, daisystream.CodeTooLarge},
		{"Flush", []pgproto3.FrontendMessage{&pgproto3.Flush{}}, daisystream.CodeUnsupported},
		{"FunctionCall", []pgproto3.FrontendMessage{&pgproto3.FunctionCall{}}, daisystream.CodeUnsupported},
	}
	s := openServer(t, &fakeHolder{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := dial(t, s)
			defer func() { assert.NilError(t, c.conn.Close()) }()
			c.login()
			c.send(test.send...)
			assert.Equal(t, c.errorCode(), test.code)
		})
	}
	assert.NilError(t, s.Close())
}

func TestTooManySessions(t *testing.T) {
	s := openServer(t, &fakeHolder{})
	var open []*testClient
	for range 3 {
		c := dial(t, s)
		c.login()
		open = append(open, c)
	}
	c := dial(t, s)
	assert.Equal(t, c.errorCode(), daisystream.CodeNoConnection)
	for _, c := range append(open, c) {
		assert.NilError(t, c.conn.Close())
	}
	assert.NilError(t, s.Close())
}

// TestPreparedStatementsCarryTheirDefinition checks that a request that uses a
// prepared statement carries its definition under a fleet-wide name, so that any
// connection can run it.
func TestPreparedStatementsCarryTheirDefinition(t *testing.T) {
	h := &fakeHolder{}
	s := openServer(t, h)
	c := dial(t, s)
	c.login()
	c.send(&pgproto3.Parse{Name: "mine", Query: "SELECT 1"}, &pgproto3.Sync{})
	c.until(isReady)
	defined := h.last().Parts[0]
	assert.Check(t, defined.Defines && defined.Uses != "mine")
	c.send(&pgproto3.Bind{PreparedStatement: "mine"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.until(isReady)
	r := h.last()
	assert.Equal(t, r.Parts[0].Uses, defined.Uses)
	assert.DeepEqual(t, r.Statements, []daisystream.Statement{{Name: defined.Uses, Parse: defined.Bytes}})
	assert.Equal(t, r.MinPosition, daisystream.Position{Term: 1, Offset: 7})
	assert.Check(t, !r.NewSession)
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, s.Close())
}

func TestReadOnlyDeclaration(t *testing.T) {
	tests := []struct {
		sql  string
		want bool
	}{
		{"BEGIN READ ONLY", true},
		{"begin isolation level repeatable read read only;", true},
		{"START TRANSACTION READ ONLY, DEFERRABLE", true},
		{"BEGIN", false},
		{"BEGIN READ WRITE", false},
		{"BEGIN READ ONLY; COMMIT; DELETE FROM bookings", false},
		{"begin read only; insert into t values (1)", false},
		{"SELECT 'begin read only'", false},
		{"SELECT 1", false},
		{"BEGIN /* read only */", false},
	}
	h := &fakeHolder{}
	s := openServer(t, h)
	c := dial(t, s)
	c.login()
	for _, test := range tests {
		c.send(&pgproto3.Query{String: test.sql})
		c.until(isReady)
		assert.Equal(t, h.last().ReadOnly, test.want, test.sql)
	}
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, s.Close())
}

func TestRequestNames(t *testing.T) {
	tests := []struct{ sql, want string }{
		{"/* daisyglade.request=a-1 */ INSERT", "a-1"},
		{"INSERT /* daisyglade.request=a-1 */", ""},
		{"/* daisyglade.request=a'; DROP TABLE x; -- */ INSERT", ""},
		{"/* daisyglade.request= */ INSERT", ""},
	}
	h := &fakeHolder{}
	s := openServer(t, h)
	c := dial(t, s)
	c.login()
	for _, test := range tests {
		c.send(&pgproto3.Query{String: test.sql})
		c.until(isReady)
		assert.Equal(t, h.last().Name, test.want, test.sql)
	}
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, s.Close())
}

// TestRefusalIncludesRetryHint checks the error that a client receives.
func TestRefusalIncludesRetryHint(t *testing.T) {
	h := &fakeHolder{answer: func(_ *daisystream.Request, emit func(*daisystream.Answer) error) error {
		return emit(&daisystream.Answer{Final: true, Status: daisystream.StatusIdle, Refusal: &daisystream.Refusal{
			Code: daisystream.CodeLimit, Message: "not run: over the rate", RetryAfter: 1500 * time.Millisecond, Cause: daisystream.CauseLimit,
		}})
	}}
	s := openServer(t, h)
	c := dial(t, s)
	c.login()
	c.send(&pgproto3.Query{String: "SELECT 1"})
	c.until(func(m pgproto3.BackendMessage) bool {
		e, ok := m.(*pgproto3.ErrorResponse)
		if ok {
			assert.Equal(t, e.Code, daisystream.CodeLimit)
			assert.Equal(t, e.Hint, "retry after 1500 ms")
		}
		return ok
	})
	c.until(isReady)
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, s.Close())
}

// TestMessageLongerThanItsFieldsIsRefused guards against a statement that is run without
// the text after a zero byte.
func TestMessageLongerThanItsFieldsIsRefused(t *testing.T) {
	encode := func(m pgproto3.FrontendMessage) []byte {
		b, err := m.Encode(nil)
		assert.NilError(t, err)
		return b
	}
	longer := func(m pgproto3.FrontendMessage) []byte {
		b := append(encode(m), " WHERE key = 1"...)
		binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
		return b
	}
	parse, bind, execute := &pgproto3.Parse{Query: "DELETE FROM t"}, &pgproto3.Bind{Parameters: [][]byte{{1}, nil, {}}}, &pgproto3.Execute{MaxRows: 1}
	sync := encode(&pgproto3.Sync{})
	tests := []struct {
		name string
		send [][]byte
		run  bool
	}{
		{"Whole", [][]byte{encode(parse), encode(bind), encode(execute), sync}, true},
		{"Parse", [][]byte{longer(parse), sync}, false},
		{"Bind", [][]byte{encode(parse), longer(bind), sync}, false},
		{"Execute", [][]byte{encode(parse), encode(bind), longer(execute), sync}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &fakeHolder{}
			s := openServer(t, h)
			c := dial(t, s)
			c.login()
			_, err := c.conn.Write(bytes.Join(test.send, nil))
			assert.NilError(t, err)
			if test.run {
				c.until(isReady)
				assert.Equal(t, len(h.last().Parts), 2)
			} else {
				assert.Equal(t, c.errorCode(), daisystream.CodeProtocol)
				assert.Equal(t, len(h.requests), 0)
			}
			assert.NilError(t, c.conn.Close())
			assert.NilError(t, s.Close())
		})
	}
}

// FuzzClient sends arbitrary bytes after a login. The server must neither panic
// nor hang.
func FuzzClient(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x05\x00"))
	f.Add(binary.BigEndian.AppendUint32([]byte{'P'}, 0))
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "a", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.CopyData{Data: []byte{1}},
	} {
		b, _ := m.Encode(nil)
		f.Add(b)
	}
	s := openServer(f, &fakeHolder{})
	f.Cleanup(func() { _ = s.Close() })
	f.Fuzz(func(t *testing.T, b []byte) {
		c := dial(t, s)
		c.login()
		_, _ = c.conn.Write(b)
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		if _, err := io.Copy(io.Discard, c.conn); err != nil {
			_ = fmt.Sprint(err) // The server may reset the connection instead of closing it.
		}
		_ = c.conn.Close()
	})
}
