package daisylimiter_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
)

// tolerance allows for rounding errors in sums of tokens.
const tolerance = 1e-6

// maxWrongfulShare is the share of requests within the rate that may be refused.
const maxWrongfulShare = 0.001

// testHost is a simulated host with its limiter.
type testHost struct {
	limiter *daisylimiter.Limiter
	view    *daisyfleet.View
	lease   *lease
	down    bool // Does not answer grant requests.
}

type lease struct {
	mu    sync.Mutex
	valid bool
}

func (l *lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid
}

func (l *lease) set(valid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.valid = valid
}

// fleet is a set of hosts whose grant requests have a latency and fail if the owner
// is down.
type fleet struct {
	t       *testing.T
	latency time.Duration
	limit   daisybucket.Limit
	hosts   []*testHost
	index   uint64
	term    uint64

	mu   sync.Mutex
	uses []use // Tokens taken from limiters.
}

type use struct {
	at time.Time
	n  float64
}

func address(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)) }

func newFleet(t *testing.T, hosts int, latency time.Duration, l daisybucket.Limit) *fleet {
	f := &fleet{t: t, latency: latency, limit: l}
	for i := range hosts {
		h := &testHost{view: daisyfleet.NewView(), lease: &lease{valid: true}}
		h.limiter = daisylimiter.New(daisylimiter.Options{
			Host: fmt.Sprint("h", i), Incarnation: 1, View: h.view, Lease: h.lease, Granter: f,
		})
		f.hosts = append(f.hosts, h)
	}
	f.put("w", daisyfleet.Workspace{Home: "db", Rate: l.Rate, Burst: l.Burst})
	for i := range hosts {
		f.put(fmt.Sprint("h", i), daisyfleet.Host{Incarnation: 1, Address: address(i), Up: true})
	}
	f.assign(0)
	return f
}

func (f *fleet) put(name string, v daisyfleet.Value) {
	f.index++
	id := daisyfleet.ID{Kind: v.Kind(), Name: name}
	for _, h := range f.hosts {
		_ = h.view.Update(func(state *daisyfleet.State) error {
			o, _ := state.Get(id)
			state.Apply(f.index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
			return nil
		})
	}
}

// assign makes a host the holder of the home database.
func (f *fleet) assign(i int) {
	f.term++
	f.put("db", daisyfleet.Ownership{Term: f.term, Holder: fmt.Sprint("h", i), Incarnation: 1, Primary: "m"})
}

// RequestGrant implements daisylimiter.Granter.
func (f *fleet) RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, r daisybucket.GrantRequest) (daisylimiter.GrantReply, error) {
	h := f.hosts[addr.Port()-1]
	time.Sleep(f.latency)
	f.mu.Lock()
	down := h.down
	f.mu.Unlock()
	if down {
		<-ctx.Done()
		return daisylimiter.GrantReply{}, errors.New("no answer")
	}
	reply := h.limiter.Grant(workspace, r)
	time.Sleep(f.latency)
	return reply, ctx.Err()
}

func (f *fleet) recordUse(n float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uses = append(f.uses, use{at: time.Now(), n: n})
}

// overdraft returns the largest excess of the uses over burst + rate × window, over
// all windows.
func (f *fleet) overdraft() float64 {
	level, worst := 0.0, 0.0
	var last time.Time
	for _, u := range f.uses {
		level = math.Max(0, level-f.limit.Rate*u.at.Sub(last).Seconds()) + u.n
		last = u.at
		worst = math.Max(worst, level-f.limit.Burst)
	}
	return worst
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		assert.Check(f.t, h.limiter.Close())
	}
}

// policy takes a token on a host. It returns false if the request is refused.
type policy func(ctx context.Context, host int) bool

// drive sends requests at the rate to one host at a time, which changes at random
// every hop. It returns how many requests were sent and refused.
func (f *fleet) drive(take policy, rate float64, hop, length time.Duration, seed uint64) (sent, refused int) {
	random := rand.New(rand.NewPCG(seed, 5))
	var wait sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	target, moved := 0, began
	for time.Since(began) < length {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(moved) > hop {
			target, moved = random.IntN(len(f.hosts)), time.Now()
		}
		sent++
		host := target
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestWait)
			defer cancel()
			if !take(ctx, host) {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return sent, refused
}

// requestWait is how long a request may wait for tokens.
const requestWait = 500 * time.Millisecond

// owned is the policy under test: the limiter of this package.
func (f *fleet) owned(ctx context.Context, host int) bool {
	if f.hosts[host].limiter.Take(ctx, "w", 1) != 0 {
		return false
	}
	f.recordUse(1)
	return true
}

// static returns the baseline policy: every host has an equal, fixed share of the
// limit.
func (f *fleet) static() policy {
	share := daisybucket.Limit{Rate: f.limit.Rate / float64(len(f.hosts)), Burst: f.limit.Burst / float64(len(f.hosts))}
	return shares(share, len(f.hosts))
}

// shares returns a policy of n independent buckets with the limit.
func shares(l daisybucket.Limit, n int) policy {
	var mu sync.Mutex
	var buckets []*daisybucket.Bucket
	for range n {
		buckets = append(buckets, daisybucket.NewBucket(l, time.Now().Add(-time.Hour)))
	}
	return func(ctx context.Context, host int) bool {
		for {
			mu.Lock()
			now := time.Now()
			wait := buckets[host].Take(now, 1)
			mu.Unlock()
			if deadline, _ := ctx.Deadline(); wait == 0 || now.Add(wait).After(deadline) {
				return wait == 0
			}
			time.Sleep(wait)
		}
	}
}

func TestDemandHopsBetweenHosts(t *testing.T) {
	tests := []struct {
		name    string
		hosts   int
		latency time.Duration
		limit   daisybucket.Limit
		load    float64 // Relative to the rate.
		hop     time.Duration
	}{
		{"MorningPeakSixHosts", 6, 12 * time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 50}, 0.9, time.Second},
		{"MorningPeakNineHosts", 9, 8 * time.Millisecond, daisybucket.Limit{Rate: 200, Burst: 100}, 0.9, time.Second},
		{"FastHops", 9, 12 * time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 50}, 0.8, 100 * time.Millisecond},
		{"SmallWorkspace", 6, 12 * time.Millisecond, daisybucket.Limit{Rate: 5, Burst: 10}, 0.7, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, test.hosts, test.latency, test.limit)
				defer f.close()
				time.Sleep(2 * time.Second)
				rate := test.load * test.limit.Rate
				length := time.Duration(20_000 / rate * float64(time.Second))
				sent, refused := f.drive(f.owned, rate, test.hop, length, 1)
				assert.Check(t, f.overdraft() <= tolerance, "overdraft %f", f.overdraft())
				_, staticRefused := f.drive(f.static(), rate, test.hop, length, 1)
				_, ideal := f.drive(shares(f.limit, 1).only(0), rate, test.hop, length, 1)
				t.Logf("sent %d, refused: owned bucket %d (%.3f%%), static shares %d (%.1f%%), one bucket without latency %d",
					sent, refused, 100*float64(refused)/float64(sent), staticRefused, 100*float64(staticRefused)/float64(sent), ideal)
				assert.Check(t, float64(refused-ideal) <= maxWrongfulShare*float64(sent))
			})
		})
	}
}

// only sends every request to one host.
func (p policy) only(target int) policy {
	return func(ctx context.Context, _ int) bool { return p(ctx, target) }
}

// TestOwnerFails moves the bucket to another owner every 1.7 s while demand is above
// the rate, and checks that no window exceeds the limit.
func TestOwnerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 5*time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 60})
		defer f.close()
		done := make(chan struct{})
		var moves sync.WaitGroup
		moves.Go(func() {
			owner := 0
			for {
				select {
				case <-done:
					return
				case <-time.After(1700 * time.Millisecond):
				}
				f.fail(owner, true)
				time.Sleep(50 * time.Millisecond)
				next := (owner + 1) % len(f.hosts)
				f.assign(next)
				f.fail(owner, false)
				owner = next
			}
		})
		for host := range f.hosts {
			moves.Go(func() {
				f.drive(func(ctx context.Context, _ int) bool { return f.owned(ctx, host) }, 60, time.Hour, 20*time.Second, uint64(host))
			})
		}
		time.Sleep(21 * time.Second)
		close(done)
		moves.Wait()
		assert.Check(t, f.overdraft() <= tolerance, "overdraft %f", f.overdraft())
		assert.Check(t, len(f.uses) > 1000, "%d uses", len(f.uses))
	})
}

func (f *fleet) fail(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[i].down = down
	f.hosts[i].lease.set(!down)
}

// TestRefusalComesAtOnce checks that a request that cannot get tokens before its
// deadline is refused without waiting, with the time to retry.
func TestRefusalComesAtOnce(t *testing.T) {
	for host := range 2 {
		t.Run(fmt.Sprint("Host", host), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, time.Millisecond, daisybucket.Limit{Rate: 1, Burst: 5})
				defer f.close()
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), requestWait)
				defer cancel()
				for f.hosts[host].limiter.Take(ctx, "w", 1) == 0 {
				}
				began := time.Now()
				ctx, cancel = context.WithTimeout(context.Background(), requestWait)
				defer cancel()
				retry := f.hosts[host].limiter.Take(ctx, "w", 1)
				assert.Check(t, retry > 0 && retry <= 2*time.Second, "retry after %s", retry)
				assert.Check(t, time.Since(began) <= 20*time.Millisecond, "took %s", time.Since(began))
			})
		})
	}
}
