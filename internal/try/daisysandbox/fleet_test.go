package daisysandbox_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/host/daisyhost"
	"github.com/daisyglade/daisyglade/internal/standin/daisystandin"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// Network nodes other than the hosts: all clients, and the members of the database group.
const clientNode, groupNode = "caller", "group"

// controlHosts is the number of hosts that replicate the control log.
const controlHosts = 3

// initialGroupTerm is the term of the group's members before the fleet is bootstrapped,
// since the platform's groups already have terms of their own.
const initialGroupTerm = 57

// fleet is a fleet on an in-memory network, whose hosts can be killed and isolated.
type fleet struct {
	workload
	t         *testing.T
	network   *memoryNetwork
	plan      *daisysandbox.Plan
	group     *daisystandin.Group
	mu        sync.Mutex
	hosts     []*daisyhost.Host // Nil while a host is down.
	logger    *log.Logger
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	lostDisks int // Control hosts' data folders that the test has removed.
}

func hostName(i int) string { return fmt.Sprintf("h%d", i+1) }

// newFleet starts a fleet with low latencies and returns once it is in service.
func newFleet(t *testing.T, hosts int) *fleet {
	return newFleetWithLatency(t, hosts, func(string, string) time.Duration { return 500 * time.Microsecond })
}

// newFleetWithLatency starts a fleet with the given one-way latencies between nodes.
func newFleetWithLatency(t *testing.T, hosts int, latency func(from, to string) time.Duration) *fleet {
	f := &fleet{t: t, network: newMemoryNetwork(latency)}
	f.workload = workload{hostCount: hosts, connect: f.dial}
	f.logger = &log.Logger{Handler: text.New(t.Output()), Level: log.InfoLevel}
	plan, err := daisysandbox.NewPlan(f.network.at(groupNode), t.TempDir(), hosts)
	assert.NilError(t, err)
	f.plan = plan
	f.group, err = plan.OpenGroup()
	assert.NilError(t, err)
	for _, m := range f.group.Members() {
		assert.NilError(t, m.RaiseTerm(initialGroupTerm))
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wait.Go(func() { plan.Announce(ctx, f.group) })
	f.hosts = make([]*daisyhost.Host, hosts)
	for i := range hosts {
		f.start(i)
	}
	assert.NilError(t, plan.Populate(ctx))
	f.awaitService()
	return f
}

func (f *fleet) start(i int) {
	h, err := daisyhost.Open(f.plan.Settings[i], f.network.at(hostName(i)), f.logger)
	assert.NilError(f.t, err)
	f.setHost(i, h)
}

func (f *fleet) setHost(i int, h *daisyhost.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[i] = h
}

func (f *fleet) running() []*daisyhost.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*daisyhost.Host
	for _, h := range f.hosts {
		if h != nil {
			all = append(all, h)
		}
	}
	return all
}

// kill ends a host as SIGKILL does. It isolates the host first, so that the host can't
// release anything to the fleet while it closes.
func (f *fleet) kill(i int) {
	f.network.isolate(hostName(i), f.otherNodes(hostName(i))...)
	f.network.kill(hostName(i))
	h := f.hosts[i]
	f.setHost(i, nil)
	assert.NilError(f.t, h.Close())
	f.network.heal()
}

// otherNodes returns the names of all nodes but one.
func (f *fleet) otherNodes(excluded string) []string {
	nodes := []string{clientNode, groupNode}
	for i := range f.hosts {
		nodes = append(nodes, hostName(i))
	}
	var others []string
	for _, n := range nodes {
		if n != excluded {
			others = append(others, n)
		}
	}
	return others
}

// holder returns the index of the host that holds the database according to the latest
// ownership that a running host knows, or -1.
func (f *fleet) holder() int {
	o := f.ownership()
	for i := range f.hosts {
		if hostName(i) == o.Holder {
			return i
		}
	}
	return -1
}

// ownership returns the ownership of the database with the highest term that a running
// host knows.
func (f *fleet) ownership() (latest daisyfleet.Ownership) {
	for _, h := range f.hosts {
		if h == nil {
			continue
		}
		if o, ok := h.View().Ownership(daisysandbox.Database); ok && o.Term > latest.Term {
			latest = o
		}
	}
	return latest
}

func (f *fleet) awaitService() {
	for range 2000 {
		if o := f.ownership(); o.Primary != "" && f.allReady() && f.allVote() && f.voters() == min(len(f.hosts), controlHosts) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("fleet is not in service: leader %d, %d voters, ownership %+v", f.leader(), f.voters(), f.ownership())
}

// allVote reports whether each running control host has a vote. The number of voters
// doesn't show this, since a replica whose disk is lost counts until it is replaced.
func (f *fleet) allVote() bool {
	for _, h := range f.hosts[:min(len(f.hosts), controlHosts)] {
		if h != nil && !h.IsVoter() {
			return false
		}
	}
	return true
}

// voters returns how many replicas of the control log vote, as the leader knows.
func (f *fleet) voters() int {
	if i := f.leader(); i >= 0 {
		return f.hosts[i].Voters()
	}
	return 0
}

func (f *fleet) allReady() bool {
	for _, h := range f.hosts {
		if h != nil && !h.Ready() {
			return false
		}
	}
	return true
}

func (f *fleet) close() {
	f.network.heal()
	for _, h := range f.hosts {
		if h != nil {
			assert.Check(f.t, h.Close())
		}
	}
	f.cancel()
	f.wait.Wait()
	assert.Check(f.t, f.group.Close())
	time.Sleep(connCloseDelay)
}

// connCloseDelay is how long the client library may take to close an abandoned connection.
const connCloseDelay = 20 * time.Second

// dial opens a session through a host.
func (f *fleet) dial(ctx context.Context, host int, profile string) (*pgx.Conn, error) {
	return f.dialConnString(ctx, f.plan.ConnString(host, profile))
}

// dialConnString opens a session over the in-memory network.
func (f *fleet) dialConnString(ctx context.Context, connString string) (*pgx.Conn, error) {
	// TLS is off because a goroutine that waits for the mutex of a handshake on a
	// blocked path would stop the virtual clock of the test.
	connString = strings.Replace(connString, "sslmode=require", "sslmode=disable", 1)
	config, err := pgx.ParseConfig(connString)
	if err != nil {
		return nil, err
	}
	network := f.network.at(clientNode)
	config.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, netip.MustParseAddrPort(address))
	}
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	config.ConnectTimeout = time.Second
	return pgx.ConnectConfig(ctx, config)
}

// primaryRows returns the bookings that the current primary holds.
func (f *fleet) primaryRows() map[string]string {
	return f.group.Primary().Rows("bookings")
}
