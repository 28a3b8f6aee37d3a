package daisysession_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// positionGateway is a remote gateway that adds positions to reads.
type positionGateway struct {
	*daisygateway.Gateway
	position daisystatement.Position // Zero if it knows none.
	asked    []daisyrequest.Freshness
}

func (g *positionGateway) Run(req daisyrequest.Request) (daisystatement.Answer, daisyrequest.PinnedConn, error) {
	if req.Freshness.MaxAge > 0 {
		g.asked = append(g.asked, req.Freshness)
		if !g.position.IsZero() {
			req.Statement.MinPosition, req.Freshness = daisystatement.Max(req.Statement.MinPosition, g.position), daisyrequest.Freshness{}
		}
	}
	return g.Gateway.Run(req)
}

// Guards against reads that go to the primary since a host of a large fleet, which
// sees a read of a service every few seconds, knows no position: the gateway of a
// replica adds one. If it knows none either, the primary serves the read.
func TestReplicaServesReadsOfSparseHosts(t *testing.T) {
	tests := []struct {
		name              string
		database          string
		transaction       bool
		position          daisystatement.Position
		primary, replicas int // Reads that they serve.
	}{
		{"Bounded", "loose", false, daisystatement.Position{Term: 1, Number: 10}, 0, 3},
		{"Session", "own", false, daisystatement.Position{Term: 1, Number: 10}, 0, 3},
		{"Transaction", "loose", true, daisystatement.Position{Term: 1, Number: 10}, 0, 3},
		{"ReplicaTooOld", "loose", false, daisystatement.Position{Term: 1, Number: 10}, 3, 0},
		{"Unknown", "loose", false, daisystatement.Position{}, 3, 0},
		{"UnknownInTransaction", "loose", true, daisystatement.Position{}, 3, 0},
		{"Strict", "strict", false, daisystatement.Position{Term: 1, Number: 10}, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				if test.name == "ReplicaTooOld" {
					f.servers["m2"].position.Number = 9
				}
				gateway := &positionGateway{Gateway: f.gateway, position: test.position}
				f.env.Forwarder = gateway
				s := f.session(test.database)
				for range 3 {
					if test.transaction {
						do(s, daisystatement.Statement{ID: "b", Kind: daisystatement.KindBegin, ReadOnly: true})
					}
					assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeNone)
					if test.transaction {
						assert.Equal(t, code(do(s, statement(daisystatement.KindCommit, "c"))), daisystatement.CodeNone)
					}
					time.Sleep(4 * time.Second)
				}
				assert.Equal(t, len(f.servers["m1"].ran(daisystatement.KindRead)), test.primary)
				assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), test.replicas)
				for _, freshness := range gateway.asked {
					assert.Equal(t, freshness, daisyrequest.Freshness{Epoch: 1, MaxAge: 1500 * time.Millisecond})
				}
			})
		})
	}
}

// A session reads its own write through a gateway whose position is older than it.
func TestSessionReadsItsWriteThroughOldPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.env.Forwarder = &positionGateway{Gateway: f.gateway, position: daisystatement.Position{Term: 1, Number: 1}}
		s := f.session("own")
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "w"))), daisystatement.CodeNone)
		time.Sleep(4 * time.Second)
		assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "r"))), daisystatement.CodeNone)
		assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), 0)
	})
}
