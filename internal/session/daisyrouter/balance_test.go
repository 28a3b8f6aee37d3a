package daisyrouter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

const (
	local   = "local"   // A replica in the failure domain of the host.
	remote  = "remote"  // A replica in another region.
	primary = "primary" // The primary, in the failure domain of the host.
)

var (
	page        = daisyspec.Profile{Name: "page", Service: serviceName, Latency: 500 * time.Millisecond}
	minPosition = daisystatement.Position{Term: 1, Number: 10}
	later       = daisystatement.Position{Term: 1, Number: 11}
)

// newRouter returns a router of a service with three servers, after each has answered.
func newRouter(t *testing.T, leaving ...string) *daisyrouter.Router {
	v := daisyfleet.NewView()
	var operations []daisyfleet.Operation
	for i, name := range []string{remote, primary, local} {
		s := daisyfleet.Server{Service: serviceName, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)), FailureDomain: "north-1"}
		if name == remote {
			s.FailureDomain = "south-1"
		}
		for _, l := range leaving {
			s.Leaving = s.Leaving || l == name
		}
		operations = append(operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: name}, Value: s})
	}
	operations = append(operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: serviceName}, Value: daisyfleet.Leadership{Epoch: 1, Server: primary, Term: 1}})
	assert.NilError(t, v.Update(func(s *daisyfleet.State) error {
		if out := s.Apply(1, daisyfleet.Change{Operations: operations}); !out.Accepted {
			return errors.New(out.Message)
		}
		return nil
	}))
	r := daisyrouter.New(daisyrouter.Options{
		View: v, Lease: validLease{}, Rand: rand.New(rand.NewPCG(1, 2)),
		Location: daisyrouter.Location{FailureDomain: "north-1", Region: "north"}, Regions: map[string]string{"north-1": "north", "south-1": "south"},
	})
	r.Refresh()
	return r
}

// localRequest is a request of the profile at the server near.
var localRequest = daisyrequest.Request{Service: serviceName, Server: local, Class: page.Name}

// Guards against reads that go to a server in spite of what speaks against it.
func TestChoose(t *testing.T) {
	lag := func(position daisystatement.Position, servers ...string) func(*daisyrouter.Router) {
		return func(r *daisyrouter.Router) {
			for _, s := range servers {
				r.Lagged(s, position)
			}
		}
	}
	fail := func(servers ...string) func(*daisyrouter.Router) {
		return func(r *daisyrouter.Router) {
			for _, s := range servers {
				r.Started(s, "w")
				r.Ended(serviceName, s, time.Now(), false)
			}
		}
	}
	tests := []struct {
		name    string
		inject  func(r *daisyrouter.Router)
		exclude []string
		leaving string
		want    string
	}{
		{"Nothing", func(*daisyrouter.Router) {}, nil, "", local},
		{"Leaving", func(*daisyrouter.Router) {}, nil, local, primary},
		{"LocalLags", lag(minPosition, local), nil, "", primary},
		{"AllReplicasLag", lag(minPosition, local, remote), nil, "", primary},
		{"LocalLacksLaterPosition", lag(later, local), nil, "", local},
		{"LocalFailed", fail(local, primary), nil, "", remote},
		{"AllFailed", fail(local, primary, remote), nil, "", local},
		{"LocalRefused", func(r *daisyrouter.Router) { r.Started(local, "w"); r.Refused(local) }, nil, "", primary},
		{"Tried", func(*daisyrouter.Router) {}, []string{local, primary}, "", remote},
		{"AllTried", func(*daisyrouter.Router) {}, []string{local, primary, remote}, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(t, test.leaving)
				test.inject(r)
				for range 20 {
					got, ok := r.Choose(daisyrouter.Query{Profile: page, MinPosition: minPosition, Exclude: test.exclude})
					assert.Equal(t, got, test.want)
					assert.Equal(t, ok, test.want != "")
				}
				// What is explained is what is decided.
				for _, s := range r.Explain(daisyrouter.Query{Profile: page, MinPosition: minPosition, Exclude: test.exclude}, false) {
					assert.Equal(t, s.Chance == 1, s.Name == test.want, "%+v", s)
					assert.Equal(t, s.Reason == "", s.Name == test.want, "%+v", s)
				}
			})
		})
	}
}

// Guards against reads that stay at a server that answers them too late for their
// objective, and against reads that leave it all at once.
func TestChooseByLoad(t *testing.T) {
	tests := []struct {
		name   string
		inject func(r *daisyrouter.Router)
		leaves bool
	}{
		{"TensOfMilliseconds", func(r *daisyrouter.Router) {
			r.RecordLoad(localRequest, daisyrequest.Load{Wait: 60 * time.Millisecond, Run: 20 * time.Millisecond})
		}, false},
		{"LongWait", func(r *daisyrouter.Router) {
			r.RecordLoad(localRequest, daisyrequest.Load{Wait: 500 * time.Millisecond, Run: 20 * time.Millisecond})
		}, true},
		{"OtherService", func(r *daisyrouter.Router) {
			r.RecordLoad(daisyrequest.Request{Server: "m9", Class: page.Name}, daisyrequest.Load{Wait: time.Second})
		}, false},
		{"ManyInFlight", func(r *daisyrouter.Router) {
			for range 60 {
				r.Started(local, "w")
			}
		}, true},
		{"AnswersLate", func(r *daisyrouter.Router) {
			r.Judge(localRequest, time.Now().Add(-800*time.Millisecond), daisystatement.Answer{}, nil)
		}, true},
		{"FailsRequests", func(r *daisyrouter.Router) {
			for range 3 {
				r.Judge(localRequest, time.Now(), daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeFailed, "broken"), nil)
			}
		}, true},
		{"RefusesForLoad", func(r *daisyrouter.Router) {
			for range 3 {
				r.Judge(localRequest, time.Now(), daisystatement.Answer{}, daisyrequest.NewOverloadError(time.Second, false))
			}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(t)
				_, _ = r.Choose(daisyrouter.Query{Profile: page})
				time.Sleep(time.Second)
				test.inject(r)
				chosen := make(map[string]int)
				for range 100 {
					time.Sleep(5 * time.Millisecond)
					got, _ := r.Choose(daisyrouter.Query{Profile: page})
					chosen[got]++
				}
				assert.Equal(t, chosen[local] < 100, test.leaves, fmt.Sprint(chosen))
				assert.Assert(t, chosen[local] > 20, fmt.Sprint(chosen))
			})
		})
	}
}

// Guards against an explanation that changes what it explains, and against one that
// lacks the figures or the reason of a server.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(t, remote)
		q := daisyrouter.Query{Profile: page}
		_, _ = r.Choose(q)
		r.RecordLoad(localRequest, daisyrequest.Load{Wait: 500 * time.Millisecond, Run: 20 * time.Millisecond})
		time.Sleep(200 * time.Millisecond)
		before := r.Explain(q, false)
		assert.DeepEqual(t, before, r.Explain(q, false))
		assert.DeepEqual(t, before, []daisyroute.Server{
			{
				Name: local, Distance: "same domain", Chance: 1, Share: 1, Cost: 407500 * time.Microsecond, Expected: 520 * time.Millisecond,
				Wait: 500 * time.Millisecond, Run: 20 * time.Millisecond, Known: true, Age: 200 * time.Millisecond, Answered: 1,
			},
			{
				Name: primary, Primary: true, Distance: "same domain", Cost: 18 * time.Millisecond, Expected: 30 * time.Millisecond,
				Wait: 5 * time.Millisecond, Run: 25 * time.Millisecond, Answered: 1, Reason: "its share has yet to grow to 78%",
			},
			{Name: remote, Distance: "other region", Reason: "it is leaving"},
		})
		for _, s := range r.Explain(q, true) {
			assert.Equal(t, s.Chance == 1, s.Name == primary)
			assert.Equal(t, s.Reason == "", s.Name == primary)
		}
	})
}
