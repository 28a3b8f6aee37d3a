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

// tolerance is for the rounding of sums of tokens.
const tolerance = 1e-6

// taken is a use of tokens at a time.
type taken struct {
	at time.Duration
	n  float64
}

// overdraft returns by how much the uses exceed burst + rate × window in the
// worst of all windows. It is a leaky bucket that never refuses.
func overdraft(uses []taken, l daisybucket.Limit) float64 {
	level, last, worst := 0.0, time.Duration(0), 0.0
	for _, u := range uses {
		level = math.Max(0, level-l.Rate*(u.at-last).Seconds()) + u.n
		last = u.at
		worst = math.Max(worst, level-l.Burst)
	}
	return worst
}

// post is a request or an answer on its way between a purse and the owner.
type post struct {
	due    time.Duration
	from   int
	sent   time.Duration
	ask    daisybucket.GrantRequest
	tokens float64
	reply  bool
}

// shop is an owner and purses with messages that are delayed and lost.
type shop struct {
	limit  daisybucket.Limit
	random *rand.Rand
	start  time.Time
	now    time.Duration
	owner  *daisybucket.Bucket
	purses []*daisybucket.LocalBucket
	posts  []post
	uses   []taken
	asking []bool
	keep   bool // Break: a new owner continues with a full bucket.
}

func newShop(seed uint64, l daisybucket.Limit, purses int) *shop {
	s := &shop{limit: l, random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1_000_000, 0), asking: make([]bool, purses)}
	s.owner = daisybucket.NewBucket(l, s.start)
	for range purses {
		s.purses = append(s.purses, &daisybucket.LocalBucket{})
	}
	return s
}

func (s *shop) clock() time.Time { return s.start.Add(s.now) }

// fail replaces the owner, as after the loss of its host.
func (s *shop) fail() {
	s.owner = daisybucket.NewBucket(s.limit, s.clock())
	if s.keep {
		s.owner.SetLimit(daisybucket.Limit{Rate: 1e9, Burst: 1e9}, s.clock())
		s.owner.Take(s.clock().Add(time.Millisecond), 0)
		s.owner.SetLimit(s.limit, s.clock())
	}
}

// demand wants n tokens at the place; place 0 is the owner.
func (s *shop) demand(place int, n float64) {
	if place == 0 {
		if s.owner.Take(s.clock(), n) == 0 {
			s.uses = append(s.uses, taken{at: s.now, n: n})
		}
		return
	}
	p := s.purses[place-1]
	p.AddDemand(s.clock(), n)
	if p.Take(s.clock(), n) {
		s.uses = append(s.uses, taken{at: s.now, n: n})
	} else if !s.asking[place-1] {
		s.ask(place-1, n)
	}
}

func (s *shop) ask(i int, queued float64) {
	s.asking[i] = true
	a := s.purses[i].Request(s.clock(), fmt.Sprint("h", i), queued)
	s.posts = append(s.posts, post{due: s.now + s.delay(), from: i, sent: s.now, ask: a})
}

func (s *shop) delay() time.Duration { return time.Duration(s.random.IntN(40)) * time.Millisecond }

// step lets a millisecond pass.
func (s *shop) step(lose float64) {
	s.now += time.Millisecond
	posts := s.posts
	s.posts = nil
	for _, p := range posts {
		switch {
		case p.due > s.now:
			s.posts = append(s.posts, p)
		case s.random.Float64() < lose:
			s.asking[p.from] = false
		case p.reply:
			s.asking[p.from] = false
			s.purses[p.from].AddGrant(s.start.Add(p.sent), p.tokens)
		default:
			p.tokens, _ = s.owner.Grant(s.clock(), p.ask)
			p.reply, p.due = true, s.now+s.delay()
			s.posts = append(s.posts, p)
		}
	}
}

// TestNoWindowIsExceeded lets demand hop between hosts, messages be lost and
// late, and owners fail, and checks every window.
func TestNoWindowIsExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := daisybucket.Limit{Rate: rapid.Float64Range(1, 500).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 300).Draw(rt, "burst")}
		s := newShop(rapid.Uint64().Draw(rt, "seed"), l, rapid.IntRange(0, 5).Draw(rt, "purses"))
		run(s, rapid.Float64Range(0, 0.5).Draw(rt, "lose"), rapid.IntRange(0, 3).Draw(rt, "failures"))
		assert.Check(rt, overdraft(s.uses, l) <= tolerance, "overdraft %f", overdraft(s.uses, l))
	})
}

func run(s *shop, lose float64, failures int) {
	const length = 3000
	failAt := make(map[int]bool)
	for range failures {
		failAt[s.random.IntN(length)] = true
	}
	place := 0
	for ms := range length {
		if s.random.IntN(100) == 0 {
			place = s.random.IntN(len(s.purses) + 1)
		}
		if failAt[ms] {
			s.fail()
		}
		for range s.random.IntN(3) {
			s.demand(place, 1)
		}
		s.step(lose)
	}
}

// TestCheckCatchesFullBucketAfterFailure breaks the rule for new owners.
func TestCheckCatchesFullBucketAfterFailure(t *testing.T) {
	l := daisybucket.Limit{Rate: 50, Burst: 100}
	for seed := range uint64(50) {
		s := newShop(seed, l, 3)
		s.keep = true
		run(s, 0, 3)
		if overdraft(s.uses, l) > tolerance {
			return
		}
	}
	t.Error("no run shows the break")
}

func TestTakeTellsWhenToComeBack(t *testing.T) {
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
