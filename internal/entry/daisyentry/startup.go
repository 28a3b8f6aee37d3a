package daisyentry

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

const (
	// startupTimeout is how long a client may take to log in.
	startupTimeout = 10 * time.Second
	// maxStartupMessages bounds the messages up to and including the startup
	// message.
	maxStartupMessages = 3
	// maxPasswordBytes bounds the password message, which carries the API key.
	maxPasswordBytes = 1024
)

var (
	errLoginRefused  = errors.New("login was refused")
	errCancelRequest = errors.New("connection carried a cancel request")
)

// start negotiates the connection, authenticates the client and sends the
// messages that end the startup.
func (c *session) start() (err error) {
	defer daisyerror.Annotate(&err, "start session")
	if err := c.conn.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return err
	}
	m, err := c.negotiate()
	if err != nil {
		return err
	}
	c.workspace = m.Parameters["user"]
	c.profile = m.Parameters["database"]
	if c.server.options.RequireTLS && !c.secure {
		c.fatal("28000", "TLS is required")
		return errLoginRefused
	}
	if m.Parameters["replication"] != "" && m.Parameters["replication"] != "false" {
		c.fatal(daisystream.CodeUnsupported, "replication connections are not supported")
		return errLoginRefused
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	c.sendGreeting()
	if err := c.backend.Flush(); err != nil {
		return err
	}
	c.ready.Store(true)
	return c.conn.SetDeadline(time.Time{})
}

// negotiate reads the connection's first messages up to the startup message.
func (c *session) negotiate() (*pgproto3.StartupMessage, error) {
	for range maxStartupMessages {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			c.fatal(daisystream.CodeProtocol, "startup packet is not understood")
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				c.server.cancelRequest(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, errCancelRequest
		case *pgproto3.SSLRequest:
			if err := c.startTLS(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
	c.fatal(daisystream.CodeProtocol, "too many negotiation messages")
	return nil, errLoginRefused
}

func (c *session) startTLS() error {
	config := c.server.options.TLS
	if config == nil || c.secure {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secure := tls.Server(c.conn, config)
	if err := secure.HandshakeContext(c.ctx); err != nil {
		return err
	}
	c.secure = true
	c.attach(secure)
	return nil
}

// authenticate checks the API key that the client sends as its password.
func (c *session) authenticate() error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	c.backend.SetMaxBodyLen(maxPasswordBytes)
	message, err := c.backend.Receive()
	if err != nil {
		c.fatal(daisystream.CodeProtocol, "password message is not understood")
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		c.fatal(daisystream.CodeProtocol, "password message expected")
		return errLoginRefused
	}
	if !c.server.options.Lease.Valid() {
		c.fatal(daisystream.CodeNotNow, "not run: the host has no lease")
		return errLoginRefused
	}
	if !c.checkKey(password.Password) {
		c.fatal(daisystream.CodeKey, "the key does not open this workspace")
		return errLoginRefused
	}
	if _, ok := c.server.options.View.Profile(c.profile); !ok {
		c.fatal("3D000", "the profile that the database name picks does not exist")
		return errLoginRefused
	}
	c.frames.limit = c.server.options.MaxRequestBytes
	c.backend.SetMaxBodyLen(c.server.options.MaxRequestBytes)
	return nil
}

// checkKey checks a key of the form identifier.secret.
func (c *session) checkKey(text string) bool {
	id, _, ok := strings.Cut(text, ".")
	if !ok {
		return false
	}
	key, ok := c.server.options.View.Key(id)
	if !ok || key.Workspace != c.workspace {
		return false
	}
	hash := sha256.Sum256([]byte(text))
	if subtle.ConstantTimeCompare(hash[:], key.Hash[:]) != 1 {
		return false
	}
	c.key, c.hash = id, hash
	return true
}

// keyValid reports whether the session's key is still valid for its workspace.
func (c *session) keyValid() bool {
	key, ok := c.server.options.View.Key(c.key)
	return ok && key.Workspace == c.workspace && key.Hash == c.hash
}

// sendGreeting sends what PostgreSQL sends between authentication and the first
// request: parameters, the key for cancel requests, and readiness.
func (c *session) sendGreeting() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	parameters := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "16.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
	for i := range parameters {
		c.backend.Send(&parameters[i])
	}
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: byte(daisystream.StatusIdle)})
}
