package daisysandbox_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

func TestFleetServesStatements(t *testing.T) {
	logger := &log.Logger{Handler: text.New(t.Output()), Level: log.DebugLevel}
	ctx := context.Background()
	f, err := daisysandbox.Open(ctx, daisynet.TCP{}, t.TempDir(), 3, logger)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	for host := range f.Hosts {
		conn, err := pgx.Connect(ctx, f.ConnString(host, daisysandbox.ProfileWrite))
		assert.NilError(t, err)
		key := "b" + strconv.Itoa(host)
		tag, err := conn.Exec(ctx, "INSERT INTO bookings VALUES ($1, $2)", key, "note")
		assert.NilError(t, err)
		assert.Equal(t, tag.String(), "INSERT 0 1")
		var note string
		assert.NilError(t, conn.QueryRow(ctx, "SELECT value FROM bookings WHERE key = $1", key).Scan(&note))
		assert.Equal(t, note, "note")
		assert.NilError(t, conn.Close(ctx))
	}
}
