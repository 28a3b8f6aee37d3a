package daisylease_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisylease"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// revisionLink is a control leader whose replies require a revision of the state.
type revisionLink struct {
	*link
	revision uint64
}

func (l revisionLink) Send(_ context.Context, message []byte) error {
	m, err := daisycodec.DecodeClientMessage(message)
	if err != nil {
		return err
	}
	l.replies <- daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{ID: m.Heartbeat.ID, Leader: l.addr, Lease: 3 * time.Second, Revision: l.revision})
	return nil
}

// A lease is not extended while the host lacks a part of the state that it is for.
func TestLeaseNeedsRevision(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	tests := []struct {
		name     string
		revision uint64
		valid    bool
	}{
		{"Held", 2, true},
		{"NotStated", 0, true},
		{"Missing", 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view := daisyfleet.NewView()
				assert.NilError(t, view.Update(func(s *daisyfleet.State) error { s.Skip(2); return nil }))
				client := daisylease.New(daisylease.Options{
					Hosts: []netip.AddrPort{addr}, View: view, Eager: true,
					Dial: func(context.Context, netip.AddrPort) (daisylease.Link, error) {
						return revisionLink{&link{addr: addr, replies: make(chan []byte, 64), ended: make(chan struct{})}, test.revision}, nil
					},
					Report: func() daisyheartbeat.Heartbeat { return daisyheartbeat.Heartbeat{Host: "h1", Address: addr} },
					Log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
				})
				client.Start()
				time.Sleep(time.Second)
				assert.Equal(t, client.Valid(), test.valid)
				assert.NilError(t, client.Close())
			})
		})
	}
}
