package daisycontroller_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

var addr = netip.MustParseAddrPort("10.0.0.1:1")

// fixture holds a leader with its own state and clock.
type fixture struct {
	t      *testing.T
	now    time.Time
	state  daisyfleet.State
	leader *daisycontroller.Leader
	index  uint64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	f.leader = daisycontroller.NewLeader(f.now)
	f.put("db", daisyfleet.Database{Connections: 10, Members: 3})
	return f
}

func (f *fixture) put(name string, v daisyfleet.Value) {
	id := daisyfleet.ID{Kind: v.Kind(), Name: name}
	o, _ := f.state.Get(id)
	f.apply(daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
}

func (f *fixture) apply(c daisyfleet.Change) {
	f.index++
	out := f.state.Apply(f.index, c)
	assert.Check(f.t, out.Accepted, out.Message)
}

// heartbeat sends a heartbeat and returns the duration of the lease.
func (f *fixture) heartbeat(host string, incarnation uint64, domain string, reports func(*daisyheartbeat.Heartbeat)) time.Duration {
	heartbeat := daisyheartbeat.Heartbeat{Host: host, Incarnation: incarnation, Address: addr, FailureDomain: domain, Region: "r"}
	if reports != nil {
		reports(&heartbeat)
	}
	return f.leader.Heartbeat(f.now, &f.state, heartbeat)
}

// decide applies the changes that are due and returns their reasons.
func (f *fixture) decide() []string {
	var reasons []string
	for _, c := range f.leader.Due(f.now, &f.state) {
		f.apply(c)
		reasons = append(reasons, c.Reason)
	}
	f.leader.Decided()
	return reasons
}

func (f *fixture) ownership() daisyfleet.Ownership {
	o, _ := f.state.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "db"})
	ownership, _ := o.Value.(daisyfleet.Ownership)
	return ownership
}

func announce(members ...string) func(*daisyheartbeat.Heartbeat) {
	return func(heartbeat *daisyheartbeat.Heartbeat) {
		for _, m := range members {
			heartbeat.Announcements = append(heartbeat.Announcements, daisyheartbeat.Announcement{
				Member: m, Value: daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1"},
			})
		}
	}
}

// newServingFixture returns a fixture in which three hosts are up and one holds the
// database with m1 as its primary.
func newServingFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.heartbeatAll(announce("m1", "m2", "m3"))
	f.decide()
	f.decide()
	f.heartbeat(f.ownership().Holder, 1, f.domainOf(f.ownership().Holder), func(heartbeat *daisyheartbeat.Heartbeat) {
		heartbeat.Takeovers = []daisyheartbeat.TakeoverReport{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: f.ownership().Term}, Primary: "m1"}}
	})
	f.decide()
	assert.Equal(t, f.ownership().Primary, "m1")
	return f
}

func (f *fixture) domainOf(host string) string { return "f" + host[1:] }

// heartbeatAll sends a heartbeat from each of the hosts h1 to h3.
func (f *fixture) heartbeatAll(reports func(*daisyheartbeat.Heartbeat)) {
	for i := range 3 {
		host := fmt.Sprint("h", i+1)
		f.heartbeat(host, 1, f.domainOf(host), reports)
	}
}

func TestHostStaysUpAfterRestart(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("h1", 1, "f1", nil)
	f.decide()
	f.now = f.now.Add(time.Minute)
	f.decide()
	f.heartbeat("h1", 2, "f1", nil)
	f.decide()
	assert.Equal(t, f.heartbeat("h1", 2, "f1", nil), daisycontroller.LeaseDuration)
	assert.Equal(t, len(f.decide()), 0)
}

func TestHolderIsReplacedAfterItsLease(t *testing.T) {
	f := newServingFixture(t)
	before := f.ownership()
	lastHeartbeat := f.now
	f.heartbeatAll(announce("m1", "m2", "m3"))
	for f.ownership() == before {
		f.now = f.now.Add(10 * time.Millisecond)
		for i := range 3 {
			if host := fmt.Sprint("h", i+1); host != before.Holder {
				f.heartbeat(host, 1, f.domainOf(host), announce("m1", "m2", "m3"))
			}
		}
		f.decide()
	}
	assert.Check(t, f.now.Sub(lastHeartbeat) > daisycontroller.LeaseDuration)
	assert.Check(t, f.now.Sub(lastHeartbeat) <= daisycontroller.LeaseDuration+2*daisycontroller.DriftMargin)
	assert.Check(t, f.ownership().Holder != before.Holder)
	assert.Equal(t, f.ownership().Term, before.Term+1)
}

func TestNewProcessWaitsForLeaseOfOldProcess(t *testing.T) {
	f := newServingFixture(t)
	holder := f.ownership().Holder
	f.now = f.now.Add(daisycontroller.LeaseDuration / 2)
	assert.Equal(t, f.heartbeat(holder, 2, f.domainOf(holder), nil), time.Duration(0))
	f.decide()
	assert.Equal(t, f.ownership().Incarnation, uint64(1))
	assert.Equal(t, f.heartbeat(holder, 2, f.domainOf(holder), nil), time.Duration(0))
}

func TestHostProposedDownGetsNoLease(t *testing.T) {
	f := newServingFixture(t)
	holder := f.ownership().Holder
	f.now = f.now.Add(daisycontroller.LeaseDuration + 2*daisycontroller.DriftMargin)
	assert.Check(t, len(f.leader.Due(f.now, &f.state)) > 0) // Proposed; the outcome is not known yet.
	assert.Equal(t, f.heartbeat(holder, 1, f.domainOf(holder), nil), time.Duration(0))
}

func TestNewLeaderWaitsForLeasesOfOldLeader(t *testing.T) {
	f := newServingFixture(t)
	f.leader = daisycontroller.NewLeader(f.now)
	f.now = f.now.Add(daisycontroller.LeaseDuration)
	assert.Equal(t, len(f.decide()), 0)
}

func TestUnreachablePrimary(t *testing.T) {
	tests := []struct {
		name    string
		answers []bool // Whether the primary answers each host; the holder first.
		term    uint64 // The term afterwards.
		revoked bool
	}{
		{"HolderAlone", []bool{false}, 1, false},
		{"TwoDomains", []bool{false, false}, 2, false},
		{"OnlyHolderCutOff", []bool{false, true}, 1, true},
		{"AllAnswer", []bool{true, true}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newServingFixture(t)
			before := f.ownership()
			hosts := []string{before.Holder}
			for i := range 3 {
				if host := fmt.Sprint("h", i+1); host != before.Holder {
					hosts = append(hosts, host)
				}
			}
			for i, answers := range test.answers {
				f.heartbeat(hosts[i], 1, f.domainOf(hosts[i]), func(heartbeat *daisyheartbeat.Heartbeat) {
					heartbeat.Observations = []daisyheartbeat.Observation{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: 1}, Member: "m1", Answers: answers}}
				})
			}
			f.decide()
			assert.Equal(t, f.ownership().Term, test.term)
			assert.Equal(t, f.ownership().Revoked, test.revoked)
			if test.term > 1 {
				assert.Equal(t, f.ownership().Avoid, "m1")
				assert.Equal(t, f.ownership().Holder, before.Holder)
			}
		})
	}
}

func TestObservationsOfOldTermAreIgnored(t *testing.T) {
	f := newServingFixture(t)
	for i := range 3 {
		host := fmt.Sprint("h", i+1)
		f.heartbeat(host, 1, f.domainOf(host), func(heartbeat *daisyheartbeat.Heartbeat) {
			heartbeat.Observations = []daisyheartbeat.Observation{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: 0}, Member: "m1"}}
		})
	}
	assert.Equal(t, len(f.decide()), 0)
}

func TestBackendServersExpireAndLeave(t *testing.T) {
	f := newServingFixture(t)
	for range 25 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.heartbeatAll(announce("m1", "m2"))
		f.decide()
	}
	_, found := f.state.Get(daisyfleet.ID{Kind: daisyfleet.KindMember, Name: "db/m3"})
	assert.Check(t, !found)
	f.now = f.now.Add(500 * time.Millisecond)
	f.heartbeatAll(func(heartbeat *daisyheartbeat.Heartbeat) {
		leaving := daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1", Leaving: true}
		heartbeat.Announcements = []daisyheartbeat.Announcement{{Member: "m1", Value: leaving}, {Member: "m2", Value: daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1"}}}
	})
	f.decide()
	f.decide()
	assert.Equal(t, f.ownership().Term, uint64(2))
	assert.Equal(t, f.ownership().Avoid, "m1")
}

// TestTermFollowsHigherTermOfMembers checks that a group whose members are already
// at a higher term is assigned the term above it.
func TestTermFollowsHigherTermOfMembers(t *testing.T) {
	f := newFixture(t)
	f.heartbeatAll(announce("m1", "m2", "m3"))
	f.decide()
	f.decide()
	holder := f.ownership().Holder
	f.heartbeat(holder, 1, f.domainOf(holder), func(heartbeat *daisyheartbeat.Heartbeat) {
		heartbeat.HigherTerms = []daisyheartbeat.OwnershipTerm{{Database: "db", Term: 57}}
	})
	f.decide()
	assert.Equal(t, f.ownership().Term, uint64(58))
	assert.Equal(t, f.ownership().Holder, holder)
}
