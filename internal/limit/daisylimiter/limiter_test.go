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

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
)

// tolerance is for the rounding of sums of tokens.
const tolerance = 1e-6

// wrongfulAim is the share of requests within the rate that may be refused.
const wrongfulAim = 0.001

// site is a host with its limiter.
type site struct {
	limiter *daisylimiter.Limiter
	view    *daisyfleet.View
	right   *right
	down    bool
}

type right struct {
	mu    sync.Mutex
	valid bool
}

func (r *right) Valid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.valid
}

func (r *right) set(valid bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.valid = valid
}

// region is a set of hosts whose asks take a while and may be lost.
type region struct {
	t       *testing.T
	latency time.Duration
	limit   daisybucket.Limit
	sites   []*site
	index   uint64
	term    uint64

	mu   sync.Mutex
	uses []use
}

type use struct {
	at time.Time
	n  float64
}

func address(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)) }

func newRegion(t *testing.T, hosts int, latency time.Duration, l daisybucket.Limit) *region {
	r := &region{t: t, latency: latency, limit: l}
	for i := range hosts {
		s := &site{view: daisyfleet.NewView(), right: &right{valid: true}}
		s.limiter = daisylimiter.New(daisylimiter.Options{
			Host: fmt.Sprint("h", i), Incarnation: 1, View: s.view, Lease: s.right, Granter: r,
		})
		r.sites = append(r.sites, s)
	}
	r.put("w", daisyfleet.Workspace{Home: "db", Rate: l.Rate, Burst: l.Burst})
	for i := range hosts {
		r.put(fmt.Sprint("h", i), daisyfleet.Host{Incarnation: 1, Address: address(i), Up: true})
	}
	r.assign(0)
	return r
}

func (r *region) put(name string, v daisyfleet.Value) {
	r.index++
	id := daisyfleet.ID{Kind: v.Kind(), Name: name}
	for _, s := range r.sites {
		_ = s.view.Update(func(state *daisyfleet.State) error {
			o, _ := state.Get(id)
			state.Apply(r.index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
			return nil
		})
	}
}

// assign gives the home database to a host.
func (r *region) assign(i int) {
	r.term++
	r.put("db", daisyfleet.Ownership{Term: r.term, Holder: fmt.Sprint("h", i), Incarnation: 1, Primary: "m"})
}

// RequestGrant implements daisylimiter.Asker.
func (r *region) RequestGrant(ctx context.Context, addr netip.AddrPort, workspace string, a daisybucket.GrantRequest) (daisylimiter.GrantReply, error) {
	s := r.sites[addr.Port()-1]
	time.Sleep(r.latency)
	r.mu.Lock()
	down := s.down
	r.mu.Unlock()
	if down {
		<-ctx.Done()
		return daisylimiter.GrantReply{}, errors.New("no answer")
	}
	answer := s.limiter.Grant(workspace, a)
	time.Sleep(r.latency)
	return answer, ctx.Err()
}

func (r *region) note(n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uses = append(r.uses, use{at: time.Now(), n: n})
}

// overdraft returns by how much the uses exceed burst + rate × window in the
// worst of all windows.
func (r *region) overdraft() float64 {
	level, worst := 0.0, 0.0
	var last time.Time
	for _, u := range r.uses {
		level = math.Max(0, level-r.limit.Rate*u.at.Sub(last).Seconds()) + u.n
		last = u.at
		worst = math.Max(worst, level-r.limit.Burst)
	}
	return worst
}

func (r *region) close() {
	for _, s := range r.sites {
		assert.Check(r.t, s.limiter.Close())
	}
}

// policy takes a token at a host; it returns false if the request is refused.
type policy func(ctx context.Context, host int) bool

// drive sends requests at the rate to a host that changes every hop, and
// returns how many were sent and refused.
func (r *region) drive(take policy, rate float64, hop, length time.Duration, seed uint64) (sent, refused int) {
	random := rand.New(rand.NewPCG(seed, 5))
	var wait sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	place, moved := 0, began
	for time.Since(began) < length {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(moved) > hop {
			place, moved = random.IntN(len(r.sites)), time.Now()
		}
		sent++
		host := place
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

// owned is the policy of this package.
func (r *region) owned(ctx context.Context, host int) bool {
	if r.sites[host].limiter.Take(ctx, "w", 1) != 0 {
		return false
	}
	r.note(1)
	return true
}

// static returns the baseline in which every host has an equal share.
func (r *region) static() policy {
	share := daisybucket.Limit{Rate: r.limit.Rate / float64(len(r.sites)), Burst: r.limit.Burst / float64(len(r.sites))}
	return shares(share, len(r.sites))
}

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
		load    float64 // Of the rate.
		hop     time.Duration
	}{
		{"PegwenMorning", 6, 12 * time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 50}, 0.9, time.Second},
		{"DulangMorning", 9, 8 * time.Millisecond, daisybucket.Limit{Rate: 200, Burst: 100}, 0.9, time.Second},
		{"FastHops", 9, 12 * time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 50}, 0.8, 100 * time.Millisecond},
		{"SmallWorkspace", 6, 12 * time.Millisecond, daisybucket.Limit{Rate: 5, Burst: 10}, 0.7, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t, test.hosts, test.latency, test.limit)
				defer r.close()
				time.Sleep(2 * time.Second)
				rate := test.load * test.limit.Rate
				length := time.Duration(20_000 / rate * float64(time.Second))
				sent, refused := r.drive(r.owned, rate, test.hop, length, 1)
				assert.Check(t, r.overdraft() <= tolerance, "overdraft %f", r.overdraft())
				_, staticRefused := r.drive(r.static(), rate, test.hop, length, 1)
				_, ideal := r.drive(shares(r.limit, 1).only(0), rate, test.hop, length, 1)
				t.Logf("sent %d, refused: owned bucket %d (%.3f%%), static shares %d (%.1f%%), one bucket without latency %d",
					sent, refused, 100*float64(refused)/float64(sent), staticRefused, 100*float64(staticRefused)/float64(sent), ideal)
				assert.Check(t, float64(refused-ideal) <= wrongfulAim*float64(sent))
			})
		})
	}
}

// only lets every request go to one place.
func (p policy) only(place int) policy {
	return func(ctx context.Context, _ int) bool { return p(ctx, place) }
}

// TestOwnerFails moves the bucket again and again while demand is above the
// rate, and checks every window.
func TestOwnerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 5, 5*time.Millisecond, daisybucket.Limit{Rate: 100, Burst: 60})
		defer r.close()
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
				r.fail(owner, true)
				time.Sleep(50 * time.Millisecond)
				next := (owner + 1) % len(r.sites)
				r.assign(next)
				r.fail(owner, false)
				owner = next
			}
		})
		for host := range r.sites {
			moves.Go(func() {
				r.drive(func(ctx context.Context, _ int) bool { return r.owned(ctx, host) }, 60, time.Hour, 20*time.Second, uint64(host))
			})
		}
		time.Sleep(21 * time.Second)
		close(done)
		moves.Wait()
		assert.Check(t, r.overdraft() <= tolerance, "overdraft %f", r.overdraft())
		assert.Check(t, len(r.uses) > 1000, "%d uses", len(r.uses))
	})
}

func (r *region) fail(i int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sites[i].down = down
	r.sites[i].right.set(!down)
}

// TestRefusalComesAtOnce checks that a request that cannot be met in its time
// is refused without waiting, with when to come back.
func TestRefusalComesAtOnce(t *testing.T) {
	for host := range 2 {
		t.Run(fmt.Sprint("Host", host), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t, 2, time.Millisecond, daisybucket.Limit{Rate: 1, Burst: 5})
				defer r.close()
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), requestWait)
				defer cancel()
				for r.sites[host].limiter.Take(ctx, "w", 1) == 0 {
				}
				began := time.Now()
				ctx, cancel = context.WithTimeout(context.Background(), requestWait)
				defer cancel()
				retry := r.sites[host].limiter.Take(ctx, "w", 1)
				assert.Check(t, retry > 0 && retry <= 2*time.Second, "come back in %s", retry)
				assert.Check(t, time.Since(began) <= 20*time.Millisecond, "took %s", time.Since(began))
			})
		})
	}
}
