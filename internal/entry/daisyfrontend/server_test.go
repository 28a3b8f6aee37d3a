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
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/entry/daisyfrontend"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

// lineCodec is a codec that supports only the startup: the client sends a line
// with the database and the key, and receives the code of a refusal.
type lineCodec struct{ net.Conn }

func (l lineCodec) ReadStartup() (database, key string, err error) {
	text, err := bufio.NewReader(l).ReadString('\n')
	if err != nil {
		return "", "", err
	}
	_, err = fmt.Sscan(text, &database, &key)
	return database, key, err
}

func (l lineCodec) ReadStatement() (daisystatement.Statement, error) {
	return daisystatement.Statement{}, daisyfrontend.ErrMalformed
}

func (l lineCodec) WriteStarted() error { return nil }

func (l lineCodec) WriteRefusal(f *daisystatement.Failure) error {
	_, err := fmt.Fprintln(l, f.Code)
	return err
}

func (l lineCodec) WriteAnswer(daisystatement.Answer) error { return nil }

// recordingNetwork is the TCP network; it records the listener.
type recordingNetwork struct {
	daisynet.TCP
	listener net.Listener
}

func (n *recordingNetwork) Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var err error
	n.listener, err = n.TCP.Listen(ctx, addr)
	return n.listener, err
}

// Each session that is refused or fails before it starts leaves one log line with
// the cause, and no line contains a key.
func TestRefusedSessionsAreLogged(t *testing.T) {
	served := daisyspec.NewIndex(&daisyspec.Document{
		Profiles:   []daisyspec.Profile{{Name: "d1", Database: "d1"}},
		Workspaces: []daisyspec.Workspace{{Name: "w1", Keys: []string{"k1"}}},
	})
	tests := []struct {
		name    string
		index   *daisyspec.Index
		first   string // What the client sends before it closes its side.
		message string
		code    string
	}{
		{"NoDesiredState", nil, "d1 k1\n", "entry: session refused", daisystatement.CodeBusy.String()},
		{"NoDatabase", served, "d2 k1\n", "entry: session refused", daisystatement.CodeNoDatabase.String()},
		{"Denied", served, "d1 k2\n", "entry: session refused", daisystatement.CodeDenied.String()},
		{"CutOff", served, "d1", "entry: startup failed; connection closed", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logs := memory.New()
			network := &recordingNetwork{}
			server, err := daisyfrontend.Open(t.Context(), daisyfrontend.Options{
				Network: network, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
				Codec:       func(c net.Conn) daisyfrontend.Codec { return lineCodec{c} },
				Environment: &daisysession.Environment{Index: func() *daisyspec.Index { return test.index }},
				Log:         &log.Logger{Handler: logs, Level: log.InfoLevel},
			})
			assert.NilError(t, err)
			addr, err := netip.ParseAddrPort(network.listener.Addr().String())
			assert.NilError(t, err)
			conn, err := network.Dial(t.Context(), addr)
			assert.NilError(t, err)
			_, err = fmt.Fprint(conn, test.first)
			assert.NilError(t, err)
			closer, ok := conn.(*net.TCPConn)
			assert.Assert(t, ok)
			assert.NilError(t, closer.CloseWrite())
			_, _ = bufio.NewReader(conn).ReadString('\n') // Until the server has answered or closed the connection.
			assert.NilError(t, conn.Close())
			assert.NilError(t, server.Close())
			assert.Equal(t, len(logs.Entries), 1)
			assert.Equal(t, logs.Entries[0].Message, test.message)
			if test.code != "" {
				assert.Equal(t, logs.Entries[0].Fields["Code"], test.code)
			}
			for name, value := range logs.Entries[0].Fields {
				text := fmt.Sprint(value)
				assert.Assert(t, !strings.Contains(text, "k1") && !strings.Contains(text, "k2"), "log field %s contains a key", name)
			}
		})
	}
}
