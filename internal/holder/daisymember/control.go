// Package daisymember connects to the members of a database group over the
// PostgreSQL v3 protocol. It has control connections for the platform's SQL
// functions and connections for clients' statements.
package daisymember

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisytakeover"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Credentials are what hosts log in to a member with, in place of a client's key.
type Credentials struct {
	User     string
	Password string
	Database string // The name of the database within the server.
}

// connectTimeout bounds the opening of a connection to a member.
const connectTimeout = 2 * time.Second

// Backend opens connections to the members of one database group.
type Backend struct {
	Network     daisynet.Network
	Credentials Credentials
}

func (b Backend) connect(ctx context.Context, addr netip.AddrPort, term uint64) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=prefer")
	if err != nil {
		return nil, err
	}
	config.Host = addr.Addr().String()
	config.Port = addr.Port()
	config.User = b.Credentials.User
	config.Password = b.Credentials.Password
	config.Database = b.Credentials.Database
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) { return b.Network.Dial(ctx, addr) }
	config.TLSConfig = nil
	config.Fallbacks = nil
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams = map[string]string{"platform.term": strconv.FormatUint(term, 10)}
	return pgconn.ConnectConfig(ctx, config)
}

// ErrForeignAnswer is returned if the server sent an answer that may not be the one to
// the statement that was sent.
var ErrForeignAnswer = errors.New("the server sent an answer that may not belong to the request")

// Control calls the platform's SQL functions on one member. It opens its only
// connection at the first call and reopens it after an error.
type Control struct {
	backend Backend
	addr    netip.AddrPort
	term    uint64

	mu   sync.Mutex
	conn *pgconn.PgConn
}

// Control returns a Control of the member at the address, for the term.
func (b Backend) Control(addr netip.AddrPort, term uint64) *Control {
	return &Control{backend: b, addr: addr, term: term}
}

// Close closes the connection.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect()
}

func (c *Control) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// call calls a function. It calls it again on a new connection if the answer is not that
// of the call, as the functions may be called again.
func (c *Control) call(ctx context.Context, function string) (s daisytakeover.Status, err error) {
	defer daisyerror.Annotate(&err, "member %s", c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, err = c.callOnce(ctx, function); errors.Is(err, ErrForeignAnswer) {
		s, err = c.callOnce(ctx, function)
	}
	return s, err
}

// callOnce calls a function with a nonce in its answer, and closes the connection unless
// that is the answer which comes.
func (c *Control) callOnce(ctx context.Context, function string) (s daisytakeover.Status, err error) {
	defer func() {
		if err != nil {
			c.disconnect()
		}
	}()
	if c.conn == nil {
		if c.conn, err = c.backend.connect(ctx, c.addr, c.term); err != nil {
			return s, err
		}
	}
	nonce := rand.Text()
	results, err := c.conn.Exec(ctx, fmt.Sprintf("SELECT '%s ' || %s", nonce, function)).ReadAll()
	if err != nil {
		return s, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return s, ErrForeignAnswer
	}
	status, ok := strings.CutPrefix(string(results[0].Rows[0][0]), nonce+" ")
	if !ok {
		return s, ErrForeignAnswer
	}
	return parseStatus(status)
}

// parseStatus parses a status of the form "term role received applied".
func parseStatus(text string) (s daisytakeover.Status, err error) {
	var role, received, applied string
	if _, err = fmt.Sscan(text, &s.Term, &role, &received, &applied); err != nil {
		return s, fmt.Errorf("status %q: %w", text, err)
	}
	s.Primary = role == "primary"
	if s.Received, err = daisystream.ParsePosition(received); err != nil {
		return s, err
	}
	s.Applied, err = daisystream.ParsePosition(applied)
	return s, err
}

// Status returns the member's status.
func (c *Control) Status(ctx context.Context) (daisytakeover.Status, error) {
	return c.call(ctx, "platform.member_status()")
}

// Fence implements daisytakeover.Member.
func (c *Control) Fence(ctx context.Context, term uint64) (daisytakeover.Status, error) {
	return c.call(ctx, fmt.Sprintf("platform.fence(%d)", term))
}

// Promote implements daisytakeover.Member.
func (c *Control) Promote(ctx context.Context, term uint64) (daisytakeover.Status, error) {
	return c.call(ctx, fmt.Sprintf("platform.promote(%d)", term))
}

// Follow makes the member replicate from the primary at the address.
func (c *Control) Follow(ctx context.Context, term uint64, primary netip.AddrPort) (daisytakeover.Status, error) {
	return c.call(ctx, fmt.Sprintf("platform.follow(%d, '%s')", term, primary))
}

// Await returns the member's status once its received or applied position differs
// from the given one, or when the timeout has passed.
func (c *Control) Await(ctx context.Context, received, applied daisystream.Position, timeout time.Duration) (daisytakeover.Status, error) {
	return c.call(ctx, fmt.Sprintf("platform.await('%s', '%s', %d)", received, applied, timeout.Milliseconds()))
}
