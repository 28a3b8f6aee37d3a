package daisybalance_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
)

const (
	regions    = 3
	remoteTrip = 25 * time.Millisecond
	objective  = 600 * time.Millisecond
	runTime    = 22 * time.Millisecond
	capacity   = 180.0 // Statements that a server runs in a second.
	tick       = 10 * time.Millisecond
	// queueMax is the wait above which a gateway refuses.
	queueMax = objective * 3 / 2
)

// server is one backend server, as a queue that its capacity drains.
type server struct {
	backlog float64 // Statements waiting.
	failing float64 // Fraction of the statements that it fails.
	silent  bool    // Its gateway states no load.
	slow    time.Duration
}

func (s *server) wait() time.Duration {
	return time.Duration(s.backlog / capacity * float64(time.Second))
}

// host is one host with its views and shares.
type host struct {
	region   int
	views    [regions]daisybalance.View
	balancer daisybalance.Balancer
}

// answer is an answer on its way to a host.
type answer struct {
	at     time.Time
	host   *host
	server int
	took   time.Duration // Without the round trip; 0 for a refusal.
	failed bool
}

type answers []answer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation is a fleet of hosts that read from one service with a server in each
// region.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	hosts   []*host
	servers [regions]server
	demand  [regions]float64 // Reads a second.
	onWay   answers
	away    [regions]float64 // Of the last second, the part of each region's reads that left it.
	waits   [regions]time.Duration
}

func newSimulation(hosts int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for i := range hosts {
		s.hosts = append(s.hosts, &host{region: i % regions})
	}
	return s
}

// run lets time pass and calls each after every second.
func (s *simulation) run(d time.Duration, each func(second int)) {
	for second := range int(d / time.Second) {
		var sent, left [regions]float64
		for end := s.now.Add(time.Second); s.now.Before(end); s.now = s.now.Add(tick) {
			for i := range s.servers {
				s.servers[i].backlog = max(0, s.servers[i].backlog-capacity*tick.Seconds())
			}
			s.receive()
			for _, h := range s.hosts {
				perHost := s.demand[h.region] / float64(len(s.hosts)) * regions
				if s.random.Float64() >= perHost*tick.Seconds() {
					continue
				}
				sent[h.region]++
				if s.read(h) != h.region {
					left[h.region]++
				}
			}
		}
		for i := range regions {
			s.away[i], s.waits[i] = left[i]/max(1, sent[i]), s.servers[i].wait()
		}
		if each != nil {
			each(second)
		}
	}
}

// read sends one read of the host and returns the server that it went to.
func (s *simulation) read(h *host) int {
	all := h.balancer.Update(s.now, daisybalance.Costs{}, daisybalance.NewClass(objective), h.candidates(s.now))
	i := h.balancer.Pick(s.now, s.random, all)
	v := &s.servers[i]
	trip := time.Duration(0)
	if i != h.region {
		trip = remoteTrip
	}
	wait := v.wait()
	a := answer{host: h, server: i, at: s.now.Add(trip)}
	if wait <= queueMax {
		v.backlog++
		a.took = wait + runTime + v.slow
		a.at = a.at.Add(a.took)
		a.failed = s.random.Float64() < v.failing
	}
	heap.Push(&s.onWay, a)
	return i
}

// receive delivers the answers that are due. A load is stated half a round trip before
// it arrives.
func (s *simulation) receive() {
	for len(s.onWay) > 0 && !s.onWay[0].at.After(s.now) {
		a := heap.Pop(&s.onWay).(answer)
		v, server := &a.host.views[a.server], &s.servers[a.server]
		if !server.silent {
			v.State(s.now, "class", 0, daisyrequest.Load{Wait: server.wait(), Run: runTime + server.slow})
		}
		switch {
		case a.took == 0: // Refused.
		case a.failed:
			v.Judge(s.now, 0)
		default:
			v.Judge(s.now, 1)
			v.Answered(s.now, "class", 0, a.took)
		}
	}
}

var serverNames = [regions]string{"m0", "m1", "m2"}

func (h *host) candidates(now time.Time) []daisybalance.Candidate {
	var all []daisybalance.Candidate
	for i := range h.views {
		c := daisybalance.Candidate{Name: serverNames[i], Distance: daisybalance.OtherRegion, Primary: i == 0, Success: h.views[i].Success(now)}
		trip := remoteTrip
		if i == h.region {
			c.Distance, trip = daisybalance.SameDomain, 0
		}
		c.Expected = h.views[i].Expect(now, "class", 0, trip, 0)
		all = append(all, c)
	}
	return all
}
