package daisyforwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
	"github.com/daisyglade/daisyglade/internal/session/daisysession"
)

// place is a host or a server: its region, and whether it can be reached.
type place struct {
	region string
	lost   bool
}

// homeFleet is a client's entry host, the first of the hosts, in a fleet over several
// regions. It records where the texts of statements go.
type homeFleet struct {
	servers, hosts []place
	primary        int // -1 if there is none.
	home           daisyspec.Home

	view    *daisyfleet.View
	index   *daisyspec.Index
	mu      sync.Mutex
	reached map[string][]string // By text, the regions of the servers and of other hosts that got it.
}

func serverAt(i int) string { return fmt.Sprint("m", i) }

func addressAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i))
}

func (f *homeFleet) record(text, region string) {
	if text == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[text] = append(f.reached[text], region)
}

// Dial implements daisypool.Dialer.
func (f *homeFleet) Dial(_ context.Context, t daisypool.Target) (daisypool.Link, error) {
	for i, s := range f.servers {
		if serverAt(i) == t.Server && !s.lost {
			return &homeConn{connection: connection{server: &server{}}, fleet: f, region: s.region}, nil
		}
	}
	return nil, errors.New("unreachable")
}

// Reach implements daisypool.Dialer.
func (f *homeFleet) Reach(context.Context, netip.AddrPort) error { return nil }

// homeConn is a connection to a server that records the texts it gets.
type homeConn struct {
	connection
	fleet  *homeFleet
	region string
}

func (c *homeConn) Send(s []daisystatement.Statement) error {
	for _, st := range s {
		c.fleet.record(st.Text, c.region)
	}
	return c.connection.Send(s)
}

// dial opens a link to another host, which records the texts it gets. The host runs
// nothing, as one that is lost after it got a call: the requests of the client's host go
// to its own gateway.
func (f *homeFleet) dial(_ context.Context, addr netip.AddrPort) (daisyforwarder.Conn, error) {
	for i, h := range f.hosts {
		if addressAt(i) == addr && !h.lost {
			return &listener{fleet: f, region: h.region, closed: make(chan struct{})}, nil
		}
	}
	return nil, errors.New("refused")
}

type listener struct {
	fleet  *homeFleet
	region string
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Send(_ context.Context, m []byte) error {
	if at := strings.Index(string(m), "secret"); at >= 0 {
		l.fleet.record(string(m[at:at+len("secret00")]), l.region)
		l.Close()
	}
	return nil
}

func (l *listener) Receive(ctx context.Context) ([]byte, error) {
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, io.EOF
}

func (l *listener) Protocol() int { return 1 }
func (l *listener) Close()        { l.once.Do(func() { close(l.closed) }) }

// buildView makes the state that all hosts hold. It is called in the test's bubble, since
// the view's channels belong to it.
func (f *homeFleet) buildView(t *rapid.T) {
	f.view = daisyfleet.NewView()
	index := uint64(0)
	put := func(k daisyfleet.Kind, name string, v daisyfleet.Value) {
		assert.NilError(t, f.view.Update(func(s *daisyfleet.State) error {
			index++
			s.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: k, Name: name}, Value: v}}})
			return nil
		}))
	}
	for i, s := range f.servers {
		put(daisyfleet.KindServer, serverAt(i), daisyfleet.Server{Service: "s", Address: addressAt(100 + i), FailureDomain: s.region + "1", Leaving: s.lost && i%2 == 0})
	}
	for i, h := range f.hosts {
		put(daisyfleet.KindHost, fmt.Sprint("h", i), daisyfleet.Host{Address: addressAt(i), FailureDomain: h.region + "1", Up: !h.lost || i%2 == 0})
	}
	if f.primary >= 0 {
		put(daisyfleet.KindLeadership, "s", daisyfleet.Leadership{Epoch: 1, Server: serverAt(f.primary), Term: 1})
	}
}

// run does some statements of a client and returns the answers by text.
func (f *homeFleet) run(t *rapid.T, database string) map[string]daisystatement.Answer {
	f.buildView(t)
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	regions := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	pool := daisypool.New(f)
	gateway := daisygateway.New(pool, quiet)
	forwarder := daisyforwarder.New(daisyforwarder.Options{Host: "h0", Local: gateway, Topology: daisyplacement.Topology{Regions: regions}, Dial: f.dial, Log: quiet})
	router := daisyrouter.New(daisyrouter.Options{
		View: f.view, Lease: always{}, Forwarder: forwarder, Reach: pool.Reach, GatewayRank: forwarder.Rank, Regions: regions,
		Index: func() *daisyspec.Index { return f.index },
	})
	f.view.Read(forwarder.Refresh)
	router.Refresh()
	for i := range f.servers {
		if forwarder.Rank(serverAt(i)) >= 0 {
			pool.Set(daisypool.Target{Server: serverAt(i)}, daisypool.Share{KeepOpen: 4, MaxOpen: 4})
		}
	}
	admission := daisyadmission.New(func() {})
	admission.SetLimits([]daisyquota.WorkspaceLimit{{Workspace: "w", Rate: 1000, Burst: 1000}})
	time.Sleep(time.Second) // Token buckets start empty.
	env := &daisysession.Environment{Index: func() *daisyspec.Index { return f.index }, Router: router, Forwarder: forwarder, Admission: admission, Log: quiet}
	s, failure := env.Open(database, "key")
	assert.Assert(t, failure == nil)
	router.RecordPeerPosition("s", 1, time.Now(), daisystatement.Position{Term: 1, Number: 1})
	answers := make(map[string]daisystatement.Answer)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { router.Run(ctx) })
	for i, k := range []daisystatement.Kind{daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindBegin, daisystatement.KindRead, daisystatement.KindCommit} {
		text := fmt.Sprintf("secret%02d", i)
		answers[text] = s.Do(daisystatement.Statement{ID: text, Kind: k, Text: text, ReadOnly: true}, time.Now())
	}
	s.Close()
	cancel()
	wait.Wait()
	time.Sleep(time.Minute) // Attempts that lost the race end.
	assert.NilError(t, forwarder.Close())
	assert.NilError(t, pool.Close())
	return answers
}

type always struct{}

func (always) Valid() bool { return true }

func drawHomeFleet(t *rapid.T) *homeFleet {
	region := rapid.SampledFrom([]string{"a", "b", "c"})
	places := rapid.Custom(func(t *rapid.T) place {
		return place{region: region.Draw(t, "region"), lost: rapid.IntRange(0, 3).Draw(t, "lost") == 0}
	})
	homes := rapid.SliceOfNDistinct(region, 0, 2, rapid.ID)
	f := &homeFleet{
		servers: rapid.SliceOfN(places, 1, 4).Draw(t, "servers"), hosts: rapid.SliceOfN(places, 1, 5).Draw(t, "hosts"),
		home: daisyspec.Home{Profile: homes.Draw(t, "profile"), Workspace: homes.Draw(t, "workspace")}, reached: make(map[string][]string),
	}
	f.primary = rapid.IntRange(-1, len(f.servers)-1).Draw(t, "primary")
	profile := func(name string, fresh daisyspec.Freshness) daisyspec.Profile {
		return daisyspec.Profile{
			Name: name, Database: name, Service: "s", Freshness: fresh, MaxAge: 1500 * time.Millisecond, Timeout: time.Second,
			Latency: 500 * time.Millisecond, Regions: f.home.Profile,
		}
	}
	f.index = daisyspec.NewIndex(&daisyspec.Document{
		Profiles:   []daisyspec.Profile{profile("strict", daisyspec.FreshPrimary), profile("loose", daisyspec.FreshBounded), profile("own", daisyspec.FreshSession)},
		Services:   []daisyspec.Service{{Name: "s"}},
		Workspaces: []daisyspec.Workspace{{Name: "w", Keys: []string{"key"}, Rate: 1000, Burst: 1000, Regions: f.home.Workspace}},
	})
	return f
}

// Guards against a statement that reaches a server, or whose text reaches another host,
// outside the home regions of its profile or workspace: in reads, hedged reads,
// transactions and writes, for any set of servers, gateways and losses.
func TestNoTextLeavesItsHome(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := drawHomeFleet(r)
		database := rapid.SampledFrom([]string{"strict", "loose", "own"}).Draw(r, "database")
		var answers map[string]daisystatement.Answer
		synctest.Test(t, func(*testing.T) { answers = f.run(r, database) })
		for text, regions := range f.reached {
			for _, region := range regions {
				assert.Assert(r, f.home.Allows(region), "%s reached %s; its home is %v", text, region, f.home)
			}
		}
		for text, a := range answers {
			served := a.Failure == nil && (text == "secret00" || text == "secret01")
			assert.Assert(r, !served || len(f.reached[text]) > 0, "%s was answered and has run nowhere", text)
		}
	})
}

// Guards against a gateway that is given up although it is this host, and against one
// elsewhere that is used: the text would leave its home.
func TestGatewayOutsideHome(t *testing.T) {
	tests := []struct {
		name string
		from int // 0 is the gateway itself.
		home []string
		runs bool
	}{
		{"ThisHost", 0, []string{"elsewhere"}, true},
		{"OtherHost", 1, []string{"elsewhere"}, false},
		{"AtHome", 1, []string{"r"}, true},
		{"Unrestricted", 1, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				defer f.close()
				gateway, other := f.first()
				from := []*host{gateway, other}[test.from]
				if test.from > 0 && !test.runs {
					from.pool.Remove(serverName) // It is no gateway itself.
				}
				req := request(daisystatement.KindRead, "text")
				if test.home != nil {
					req.Home = daisyspec.Home{Profile: test.home}
				}
				_, _, err := from.forwarder.Run(req)
				ran, _ := f.server.seen()
				assert.Equal(t, err == nil, test.runs, "%v", err)
				assert.Equal(t, len(ran) > 0, test.runs)
				assert.Assert(t, test.runs || errors.Is(err, daisyrequest.ErrNotSent))
			})
		})
	}
}
