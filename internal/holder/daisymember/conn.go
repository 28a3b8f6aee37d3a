package daisymember

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/net/daisymessage"
)

// Conn is a connection for clients' statements.
type Conn struct {
	backend Backend
	addr    netip.AddrPort
	net     net.Conn
	hijack  *pgconn.HijackedConn
	reader  *daisymessage.Reader

	repeated bool // The server sent an answer twice.
}

// Open opens a connection for statements in the term.
func (b Backend) Open(ctx context.Context, addr netip.AddrPort, term uint64) (conn *Conn, err error) {
	defer daisyerror.Annotate(&err, "open connection to %s", addr)
	pg, err := b.connect(ctx, addr, term)
	if err != nil {
		return nil, err
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	if h.Frontend.ReadBufferLen() > 0 {
		_ = h.Conn.Close()
		return nil, ErrForeignAnswer
	}
	return &Conn{backend: b, addr: addr, net: h.Conn, hijack: h, reader: daisymessage.NewReader(h.Conn)}, nil
}

// Write sends encoded frontend messages.
func (c *Conn) Write(b []byte) error {
	_, err := c.net.Write(b)
	return err
}

// Next reads one backend message. Its bytes are valid until the next call.
func (c *Conn) Next() (daisymessage.Message, error) { return c.reader.Next() }

// SetDeadline bounds the reads and writes that follow; the zero time removes
// the bound.
func (c *Conn) SetDeadline(t time.Time) error { return c.net.SetDeadline(t) }

// Reset discards all session state that a transaction may have left. It returns
// an error if that takes longer than the limit.
func (c *Conn) Reset(limit time.Duration) (err error) {
	defer daisyerror.Annotate(&err, "reset connection")
	if err := c.net.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	marker := NewMarker()
	if err := c.Write(marker.Append(appendConstant(nil, &pgproto3.Query{String: discardAll}))); err != nil {
		return err
	}
	answer, err := c.nextAnswer()
	switch {
	case err != nil:
		return err
	case answer.is("E"):
		return pgconn.ErrorResponseToPgError(&answer.err)
	case !answer.is("C") || answer.tag != discardAll || answer.status != daisystream.StatusIdle:
		return ErrForeignAnswer
	}
	if err := c.AwaitMarker(marker, answer); err != nil {
		return err
	}
	if c.repeated {
		return ErrForeignAnswer
	}
	return c.net.SetDeadline(time.Time{})
}

// discardAll is a statement and its command tag.
const discardAll = "DISCARD ALL"

// Drain reads what the server sent since the last answer, none of which can be the
// answer to a request that is still to be sent. It does not stop within an answer.
func (c *Conn) Drain(limit time.Duration) (err error) {
	defer daisyerror.Annotate(&err, "read what no statement waits for")
	if c.Alive() {
		return nil
	}
	if err := c.net.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	for within := false; within || !c.Alive(); {
		m, err := c.Next()
		if err != nil {
			return err
		}
		switch m.Type {
		case daisymessage.TypeNotice, daisymessage.TypeParameterStatus, daisymessage.TypeNotification:
			continue // They may come at any time.
		}
		within, c.repeated = m.Type != daisymessage.TypeReady, true
	}
	return c.net.SetDeadline(time.Time{})
}

// Cancel asks the server to cancel the statement that the connection is
// executing.
func (c *Conn) Cancel(ctx context.Context) (err error) {
	defer daisyerror.Annotate(&err, "cancel statement")
	request := &pgproto3.CancelRequest{ProcessID: c.hijack.PID, SecretKey: c.hijack.SecretKey}
	b, err := request.Encode(nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.backend.Network.Dial(ctx, c.addr)
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	_ = conn.Close()
	return err
}

// Close closes the connection without waiting for the server.
func (c *Conn) Close() { _ = c.net.Close() }

// liveness is implemented by connections that can tell whether they are open.
type liveness interface {
	Alive() bool
}

// Alive reports whether the connection is still open and has no unread data, as
// an idle connection must be. It does not block.
func (c *Conn) Alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if p, ok := c.net.(liveness); ok {
		return p.Alive()
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return alive && err == nil
}
