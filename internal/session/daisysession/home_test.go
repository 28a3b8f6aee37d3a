package daisysession_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// newHomeFleet returns a fleet whose primary m1 is in the region a and whose replica m2
// is in b, with profiles that have the home region.
func newHomeFleet(t *testing.T, home string) *fleet {
	f := newFleet(t)
	f.router = daisyrouter.New(daisyrouter.Options{
		View: f.view, Lease: f.lease, Forwarder: f.gateway, Reach: f.pool.Reach, GatewayRank: func(string) int { return 0 },
		Regions: map[string]string{"a1": "a", "b1": "b"}, Index: f.index.Load,
	})
	f.env.Router = f.router
	for i, name := range serverNames {
		f.put(daisyfleet.KindServer, name, homeServer(i, false))
	}
	f.setHome(home)
	f.router.Refresh()
	return f
}

func homeServer(i int, leaving bool) daisyfleet.Server {
	return daisyfleet.Server{
		Service: serviceName, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		FailureDomain: []string{"a1", "b1"}[i], Leaving: leaving,
	}
}

func (f *fleet) setHome(home string) {
	f.profiles = nil
	for _, p := range []daisyspec.Profile{{Name: "home strict", Freshness: daisyspec.FreshPrimary}, {Name: "home loose", Freshness: daisyspec.FreshBounded}} {
		p.Database, p.Service, p.Regions = p.Name, serviceName, []string{home}
		p.MaxAge, p.Timeout, p.Latency = 1500*time.Millisecond, 4*time.Second, 2*time.Second
		f.addProfile(p)
	}
}

// Guards against a statement that has no place in its home regions and waits for one
// until its time is over, or is refused without the regions or the promise that it was
// not run.
func TestNoPlaceAtHomeIsRefusedAtOnce(t *testing.T) {
	const atOnce = 100 * time.Millisecond
	tests := []struct {
		name, database, home string
		kind                 daisystatement.Kind
		fail                 func(f *fleet)
	}{
		{"PrimaryAbroad", "home strict", "b", daisystatement.KindWrite, func(*fleet) {}},
		{"PrimaryMovesAway", "home strict", "a", daisystatement.KindWrite, func(f *fleet) {
			f.put(daisyfleet.KindLeadership, serviceName, daisyfleet.Leadership{Epoch: 2, Server: "m2", Term: 2})
		}},
		{"TransactionWithPrimaryAbroad", "home strict", "b", daisystatement.KindBegin, func(*fleet) {}},
		{"OnlyServerDown", "home loose", "b", daisystatement.KindRead, func(f *fleet) { f.servers["m2"].unreachable = true }},
		{"OnlyServerLeaves", "home loose", "b", daisystatement.KindRead, func(f *fleet) { f.put(daisyfleet.KindServer, "m2", homeServer(1, true)) }},
		{"OnlyServerGone", "home loose", "b", daisystatement.KindBegin, func(f *fleet) { f.put(daisyfleet.KindServer, "m2", nil) }},
		{"UnknownRegion", "home loose", "x", daisystatement.KindRead, func(*fleet) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHomeFleet(t, test.home)
				defer f.close()
				f.router.RecordPeerPosition(serviceName, 1, time.Now(), daisystatement.Position{Term: 1, Number: 10})
				test.fail(f)
				f.router.Refresh()
				s := f.session(test.database)
				defer s.Close()
				began := time.Now()
				st := statement(test.kind, "1")
				st.ReadOnly = test.database == "home loose"
				a := do(s, st)
				if test.kind == daisystatement.KindBegin {
					a = do(s, statement(daisystatement.KindRead, "2"))
				}
				assert.Equal(t, code(a), daisystatement.CodeBusy)
				assert.Assert(t, strings.Contains(a.Failure.Text, "home regions (of the profile "+test.home+"); retry in"), a.Failure.Text)
				assert.Assert(t, time.Since(began) < atOnce, time.Since(began))
			})
		})
	}
}

// Guards against a transaction that goes on where its home regions no longer allow it.
func TestTransactionEndsWithItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHomeFleet(t, "a")
		defer f.close()
		s := f.session("home strict")
		defer s.Close()
		do(s, statement(daisystatement.KindBegin, "1"))
		assert.Equal(t, code(do(s, statement(daisystatement.KindWrite, "2"))), daisystatement.CodeNone)
		f.setHome("b")
		assert.Equal(t, code(do(s, statement(daisystatement.KindCommit, "3"))), daisystatement.CodeAborted)
		assert.Equal(t, f.servers["m1"].commits, 0)
	})
}

// Guards against reads that are refused for good at a gateway host that has no position
// of the primary, since the read itself may not ask the primary for one, and against a
// request for the position over a connection of a workspace that may not use the primary.
func TestPositionIsAskedForAbroad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHomeFleet(t, "b")
		index := daisyspec.NewIndex(&daisyspec.Document{
			Profiles: f.profiles,
			Workspaces: []daisyspec.Workspace{
				{Name: "w1", Keys: []string{keyText}, Rate: 1000, Burst: 1000, Regions: []string{"b"}}, {Name: "w2", Rate: 1, Burst: 1},
			},
		})
		f.index.Store(index)
		defer f.close()
		wait := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { defer close(wait); f.router.Run(ctx) }()
		s := f.session("home loose")
		assert.Equal(t, code(do(s, statement(daisystatement.KindRead, "1"))), daisystatement.CodeNone)
		assert.Equal(t, len(f.servers["m1"].ran(daisystatement.KindRead)), 0)
		assert.Equal(t, len(f.servers["m2"].ran(daisystatement.KindRead)), 1)
		s.Close()
		cancel()
		<-wait
	})
}
