package daisyfrontend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/entry/daisyfrontend"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisynet"
)

// lines is a codec of which only the beginning of a session is used: a line with
// the database and the key, answered by the code of the refusal.
type lines struct{ net.Conn }

func (l lines) ReadStartup() (database, key string, err error) {
	text, err := bufio.NewReader(l).ReadString('\n')
	if err != nil {
		return "", "", err
	}
	_, err = fmt.Sscan(text, &database, &key)
	return database, key, err
}

func (l lines) ReadStatement() (daisystatement.Statement, error) {
	return daisystatement.Statement{}, daisyfrontend.ErrMalformed
}

func (l lines) WriteStarted() error { return nil }

func (l lines) WriteRefusal(f *daisystatement.Failure) error {
	_, err := fmt.Fprintln(l, f.Code)
	return err
}

func (l lines) WriteAnswer(daisystatement.Answer) error { return nil }

// network is the real one; it tells where it listens.
type network struct {
	daisynet.TCP
	listener net.Listener
}

func (n *network) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var err error
	n.listener, err = n.TCP.Listen(ctx, addr)
	return n.listener, err
}

// Whoever is refused before a session has begun finds the cause in the log.
func TestRefusedSessionsAreLogged(t *testing.T) {
	served := daisyspec.NewIndex(&daisyspec.Document{
		Profiles:   []daisyspec.Profile{{Name: "d1", Database: "d1"}},
		Workspaces: []daisyspec.Workspace{{Name: "w1", Keys: []string{"k1"}}},
	})
	tests := []struct {
		name  string
		index *daisyspec.Index
		first string // What the caller sends before it stops sending.
		line  string
		code  string
	}{
		{"NoDesiredState", nil, "d1 k1\n", "entry: session refused", daisystatement.CodeBusy.String()},
		{"NoDatabase", served, "d2 k1\n", "entry: session refused", daisystatement.CodeNoDatabase.String()},
		{"Denied", served, "d1 k2\n", "entry: session refused", daisystatement.CodeDenied.String()},
		{"CutOff", served, "d1", "entry: session not begun", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			held := memory.New()
			wire := &network{}
			server, err := daisyfrontend.Open(t.Context(), daisyfrontend.Options{
				Network: wire, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
				Codec:       func(c net.Conn) daisyfrontend.Codec { return lines{c} },
				Environment: &daisysession.Environment{Index: func() *daisyspec.Index { return test.index }},
				Log:         &log.Logger{Handler: held, Level: log.InfoLevel},
			})
			assert.NilError(t, err)
			addr, err := netip.ParseAddrPort(wire.listener.Addr().String())
			assert.NilError(t, err)
			conn, err := wire.Dial(t.Context(), addr)
			assert.NilError(t, err)
			_, err = fmt.Fprint(conn, test.first)
			assert.NilError(t, err)
			closer, ok := conn.(*net.TCPConn)
			assert.Assert(t, ok)
			assert.NilError(t, closer.CloseWrite())
			_, _ = bufio.NewReader(conn).ReadString('\n') // Until the server is done.
			assert.NilError(t, conn.Close())
			assert.NilError(t, server.Close())
			assert.Equal(t, len(held.Entries), 1)
			assert.Equal(t, held.Entries[0].Message, test.line)
			if test.code != "" {
				assert.Equal(t, held.Entries[0].Fields["Code"], test.code)
			}
			for name, value := range held.Entries[0].Fields {
				text := fmt.Sprint(value)
				assert.Assert(t, !strings.Contains(text, "k1") && !strings.Contains(text, "k2"), "%s holds a key", name)
			}
		})
	}
}
