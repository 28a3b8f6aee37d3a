package daisygateway_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// class is a class of requests of the records customer.
type class struct {
	name      string
	share     float64 // Of all requests.
	run       time.Duration
	objective time.Duration
	limit     time.Duration
}

// The classes by priority.
var recordsClasses = []class{
	{"filing", 109. / 807, 4500 * time.Microsecond, 400 * time.Millisecond, 6 * time.Second},
	{"browsing", 189. / 807, 22 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second},
	{"certification", 509. / 807, 14 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second},
}

const (
	burstSlots = 4
	// usualRate fills 40% of the slots: a request takes 14.6 ms on average.
	usualRate       = 0.4 * burstSlots / 0.0146
	burstWorkspaces = 87
	hotWorkspace    = "w0"
	hotShare        = 0.15 // Of the requests in usual times.
	hotFactor       = 6
	burstFactor     = 2.1 // For certification checks.
	// replyTime is the time on the links to a gateway and back.
	replyTime = 5 * time.Millisecond
)

// burst is a server with three gateways under the load of the records customer, while one
// class has a burst and one workspace sends hotFactor times its usual load.
type burst struct {
	gateways map[string]*daisygateway.Gateway // By host.
	pools    []*daisypool.Pool
	placed   daisyplacement.Gateways
	wait     sync.WaitGroup

	mu        sync.Mutex
	requested map[string]int // By class, and by workspace.
	served    map[string]int
	inTime    map[string]int
	last      map[string]time.Time // When a request of the class was last served.
	longest   map[string]time.Duration
}

func newBurst() *burst {
	b := &burst{
		gateways: make(map[string]*daisygateway.Gateway), placed: daisyplacement.Gateways{Spread: true},
		requested: make(map[string]int), served: make(map[string]int), inTime: make(map[string]int),
		last: make(map[string]time.Time), longest: make(map[string]time.Duration),
	}
	server := &backend{slots: make(chan struct{}, burstSlots)}
	for i := range 3 {
		b.placed.Ranked = append(b.placed.Ranked, daisyplacement.Gateway{Host: fmt.Sprint("h", i), Address: netip.AddrPort{}})
	}
	for _, g := range b.placed.Ranked {
		pool := daisypool.New(server)
		n := b.placed.Connections(56, g.Host)
		pool.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: n, MaxOpen: n})
		b.pools = append(b.pools, pool)
		b.gateways[g.Host] = daisygateway.New(pool, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		b.gateways[g.Host].SetSharedSlots(serverName, burstSlots)
	}
	return b
}

// send sends a request, and again up to twice when it is told to.
func (b *burst) send(c class, priority int, workspace string, run time.Duration) {
	b.wait.Go(func() {
		began := time.Now()
		gateway := b.gateways[b.placed.Order(serverName, workspace)[0].Host]
		var err error
		for range 3 {
			_, _, err = gateway.Run(daisyrequest.Request{
				Server: serverName, Workspace: workspace, Weight: 1, Priority: priority, Class: c.name,
				Statement:    daisystatement.Statement{ID: "1", Kind: daisystatement.KindRead, Text: run.String()},
				SendDeadline: began.Add(c.limit / 2), Deadline: began.Add(c.limit), Objective: began.Add(c.objective),
			})
			var overload *daisyrequest.OverloadError
			if !errors.As(err, &overload) || time.Since(began)+overload.RetryAfter > c.limit/2 {
				break
			}
			time.Sleep(overload.RetryAfter)
		}
		b.record(c, workspace, began, err == nil)
	})
}

func (b *burst) record(c class, workspace string, began time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range []string{c.name, workspace} {
		b.requested[key]++
		if !ok {
			continue
		}
		b.served[key]++
		if time.Since(began)+replyTime <= c.objective {
			b.inTime[key]++
		}
	}
	if ok {
		if !b.last[c.name].IsZero() {
			b.longest[c.name] = max(b.longest[c.name], time.Since(b.last[c.name]))
		}
		b.last[c.name] = time.Now()
	}
}

// run sends the requests of the given time.
func (b *burst) run(span time.Duration) {
	arrive := func(c class, priority int, workspace func() string, rate float64) {
		random := rand.New(rand.NewPCG(uint64(priority), uint64(rate)))
		b.wait.Go(func() {
			for end := time.Now().Add(span); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				b.send(c, priority, workspace(), time.Duration((0.5+random.Float64())*float64(c.run)))
			}
		})
	}
	for priority, c := range recordsClasses {
		rate := usualRate * c.share
		if priority == len(recordsClasses)-1 {
			rate *= burstFactor
		}
		others := rand.New(rand.NewPCG(uint64(priority), 3))
		arrive(c, priority, func() string { return fmt.Sprint("w", 1+others.IntN(burstWorkspaces-1)) }, rate*(1-hotShare))
		arrive(c, priority, func() string { return hotWorkspace }, rate*hotShare*hotFactor)
	}
	b.wait.Wait()
}

func (b *burst) close(t *testing.T) {
	for _, p := range b.pools {
		assert.NilError(t, p.Close())
	}
}

// Guards against the burst of the records customer with a hot workspace, in which filings
// were late or refused and workspaces within their rates paid for the hot one.
func TestBurstWithHotWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst()
		b.run(15 * time.Second)
		b.close(t)
		for _, c := range recordsClasses {
			t.Logf("%s: %d requests, %d served, %d in time, at most %v without one", c.name, b.requested[c.name], b.served[c.name], b.inTime[c.name], b.longest[c.name])
			assert.Assert(t, b.longest[c.name] < 2*time.Second)
		}
		t.Logf("hot workspace: %d requests, %d served, %d in time", b.requested[hotWorkspace], b.served[hotWorkspace], b.inTime[hotWorkspace])
		assert.Assert(t, b.inTime["filing"] >= b.requested["filing"]*95/100)
		for i := 1; i < burstWorkspaces; i++ {
			name := fmt.Sprint("w", i)
			assert.Assert(t, b.served[name] >= b.requested[name]*90/100, "%s: %d of %d served", name, b.served[name], b.requested[name])
		}
	})
}
