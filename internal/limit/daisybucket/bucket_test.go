package daisybucket_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// tolerance allows for rounding errors in sums of tokens.
const tolerance = 1e-6

// taken records that n tokens were taken at a time.
type taken struct {
	at time.Duration
	n  float64
}

// overdraft returns the largest excess of the uses over burst + rate × window, over
// all windows. It computes it by a leaky bucket that never refuses.
func overdraft(uses []taken, l daisybucket.Limit) float64 {
	level, last, worst := 0.0, time.Duration(0), 0.0
	for _, u := range uses {
		level = math.Max(0, level-l.Rate*(u.at-last).Seconds()) + u.n
		last = u.at
		worst = math.Max(worst, level-l.Burst)
	}
	return worst
}

// message is a request or reply in transit between a local bucket and the owner.
type message struct {
	due     time.Duration
	from    int
	sent    time.Duration
	request daisybucket.GrantRequest
	tokens  float64
	reply   bool
}

// simulation is an owner and local buckets, with messages that are delayed and lost.
type simulation struct {
	limit            daisybucket.Limit
	random           *rand.Rand
	start            time.Time
	now              time.Duration
	owner            *daisybucket.Bucket
	locals           []*daisybucket.LocalBucket
	messages         []message
	uses             []taken
	requesting       []bool
	fullAfterFailure bool // Injected fault: a new owner starts with a full bucket.
}

func newSimulation(seed uint64, l daisybucket.Limit, locals int) *simulation {
	s := &simulation{limit: l, random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1_000_000, 0), requesting: make([]bool, locals)}
	s.owner = daisybucket.NewBucket(l, s.start)
	for range locals {
		s.locals = append(s.locals, &daisybucket.LocalBucket{})
	}
	return s
}

func (s *simulation) clock() time.Time { return s.start.Add(s.now) }

// fail replaces the owner, as after the failure of its host.
func (s *simulation) fail() {
	s.owner = daisybucket.NewBucket(s.limit, s.clock())
	if s.fullAfterFailure {
		s.owner.SetLimit(daisybucket.Limit{Rate: 1e9, Burst: 1e9}, s.clock())
		s.owner.Take(s.clock().Add(time.Millisecond), 0)
		s.owner.SetLimit(s.limit, s.clock())
	}
}

// demand takes n tokens on the host if it has them. Host 0 is the owner; another host
// without enough tokens sends a grant request.
func (s *simulation) demand(host int, n float64) {
	if host == 0 {
		if s.owner.Take(s.clock(), n) == 0 {
			s.uses = append(s.uses, taken{at: s.now, n: n})
		}
		return
	}
	local := s.locals[host-1]
	local.AddDemand(s.clock(), n)
	if local.Take(s.clock(), n) {
		s.uses = append(s.uses, taken{at: s.now, n: n})
	} else if !s.requesting[host-1] {
		s.request(host-1, n)
	}
}

func (s *simulation) request(i int, queued float64) {
	s.requesting[i] = true
	r := s.locals[i].Request(s.clock(), fmt.Sprint("h", i), queued)
	s.messages = append(s.messages, message{due: s.now + s.delay(), from: i, sent: s.now, request: r})
}

func (s *simulation) delay() time.Duration {
	return time.Duration(s.random.IntN(40)) * time.Millisecond
}

// step advances the simulation by a millisecond.
func (s *simulation) step(lossRate float64) {
	s.now += time.Millisecond
	messages := s.messages
	s.messages = nil
	for _, m := range messages {
		switch {
		case m.due > s.now:
			s.messages = append(s.messages, m)
		case s.random.Float64() < lossRate:
			s.requesting[m.from] = false
		case m.reply:
			s.requesting[m.from] = false
			s.locals[m.from].AddGrant(s.start.Add(m.sent), m.tokens)
		default:
			m.tokens, _ = s.owner.Grant(s.clock(), m.request)
			m.reply, m.due = true, s.now+s.delay()
			s.messages = append(s.messages, m)
		}
	}
}

// TestNoWindowIsExceeded checks that no window exceeds the limit while demand moves
// between hosts, messages are lost and delayed, and owners fail.
func TestNoWindowIsExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := daisybucket.Limit{Rate: rapid.Float64Range(1, 500).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 300).Draw(rt, "burst")}
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), l, rapid.IntRange(0, 5).Draw(rt, "purses"))
		run(s, rapid.Float64Range(0, 0.5).Draw(rt, "lose"), rapid.IntRange(0, 3).Draw(rt, "failures"))
		assert.Check(rt, overdraft(s.uses, l) <= tolerance, "overdraft %f", overdraft(s.uses, l))
	})
}

func run(s *simulation, lossRate float64, failures int) {
	const length = 3000
	failAt := make(map[int]bool)
	for range failures {
		failAt[s.random.IntN(length)] = true
	}
	host := 0
	for ms := range length {
		if s.random.IntN(100) == 0 {
			host = s.random.IntN(len(s.locals) + 1)
		}
		if failAt[ms] {
			s.fail()
		}
		for range s.random.IntN(3) {
			s.demand(host, 1)
		}
		s.step(lossRate)
	}
}

// TestCheckCatchesFullBucketAfterFailure checks that overdraft detects a new owner
// that starts with a full bucket.
func TestCheckCatchesFullBucketAfterFailure(t *testing.T) {
	l := daisybucket.Limit{Rate: 50, Burst: 100}
	for seed := range uint64(50) {
		s := newSimulation(seed, l, 3)
		s.fullAfterFailure = true
		run(s, 0, 3)
		if overdraft(s.uses, l) > tolerance {
			return
		}
	}
	t.Error("no run shows an overdraft for a full bucket after a failure")
}

func TestTakeReturnsRetryDelay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := daisybucket.NewBucket(daisybucket.Limit{Rate: 10, Burst: 20}, now)
	later := now.Add(time.Hour)
	for range 20 {
		assert.Equal(t, b.Take(later, 1), time.Duration(0))
	}
	assert.Equal(t, b.Take(later, 1), 100*time.Millisecond)
	assert.Equal(t, b.Take(later.Add(100*time.Millisecond), 1), time.Duration(0))
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	bucket := daisybucket.NewBucket(daisybucket.Limit{Rate: 1e6, Burst: 1e6}, now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		bucket.Take(now.Add(time.Duration(i)*time.Microsecond), 1)
	}
}
