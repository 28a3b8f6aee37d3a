package daisymember

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
)

// Prober checks whether backend servers answer in the PostgreSQL protocol. It
// does not log in and takes none of their connections for statements.
type Prober struct {
	Network daisynet.Network
}

// Probe returns nil if the server answers a request for TLS, whether it accepts
// or refuses.
func (p Prober) Probe(ctx context.Context, addr netip.AddrPort) (err error) {
	defer daisyerror.Annotate(&err, "probe %s", addr)
	conn, err := p.Network.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(request); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return err
	}
	if answer[0] != 'N' && answer[0] != 'S' {
		return errors.New("server does not speak the PostgreSQL protocol")
	}
	return nil
}
