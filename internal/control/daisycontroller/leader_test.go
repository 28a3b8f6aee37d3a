package daisycontroller_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
)

var addr = netip.MustParseAddrPort("10.0.0.1:1")

// bench is a leader with a state and a clock of its own.
type bench struct {
	t      *testing.T
	now    time.Time
	state  daisyfleet.State
	leader *daisycontroller.Leader
	index  uint64
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1_000_000, 0)}
	b.leader = daisycontroller.NewLeader(b.now)
	b.put("db", daisyfleet.Database{Connections: 10, Members: 3})
	return b
}

func (b *bench) put(name string, v daisyfleet.Value) {
	id := daisyfleet.ID{Kind: v.Kind(), Name: name}
	o, _ := b.state.Get(id)
	b.apply(daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, ExpectedRevision: o.Revision, Value: v}}})
}

func (b *bench) apply(c daisyfleet.Change) {
	b.index++
	out := b.state.Apply(b.index, c)
	assert.Check(b.t, out.Accepted, out.Message)
}

// beat sends a heartbeat and returns the lease.
func (b *bench) beat(host string, incarnation uint64, domain string, reports func(*daisyheartbeat.Heartbeat)) time.Duration {
	beat := daisyheartbeat.Heartbeat{Host: host, Incarnation: incarnation, Address: addr, FailureDomain: domain, Region: "r"}
	if reports != nil {
		reports(&beat)
	}
	return b.leader.Heartbeat(b.now, &b.state, beat)
}

// decide applies what is due and returns the reasons.
func (b *bench) decide() []string {
	var reasons []string
	for _, c := range b.leader.Due(b.now, &b.state) {
		b.apply(c)
		reasons = append(reasons, c.Reason)
	}
	b.leader.Decided()
	return reasons
}

func (b *bench) tenure() daisyfleet.Ownership {
	o, _ := b.state.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "db"})
	t, _ := o.Value.(daisyfleet.Ownership)
	return t
}

func announce(members ...string) func(*daisyheartbeat.Heartbeat) {
	return func(beat *daisyheartbeat.Heartbeat) {
		for _, m := range members {
			beat.Announcements = append(beat.Announcements, daisyheartbeat.Announcement{
				Member: m, Value: daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1"},
			})
		}
	}
}

// serving returns a bench on which three hosts are up and one holds the
// database with m1 as its primary.
func serving(t *testing.T) *bench {
	b := newBench(t)
	b.all(announce("m1", "m2", "m3"))
	b.decide()
	b.decide()
	b.beat(b.tenure().Holder, 1, b.domainOf(b.tenure().Holder), func(beat *daisyheartbeat.Heartbeat) {
		beat.Takeovers = []daisyheartbeat.TakeoverReport{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: b.tenure().Term}, Primary: "m1"}}
	})
	b.decide()
	assert.Equal(t, b.tenure().Primary, "m1")
	return b
}

func (b *bench) domainOf(host string) string { return "f" + host[1:] }

// all lets the hosts h1 to h3 send heartbeats.
func (b *bench) all(reports func(*daisyheartbeat.Heartbeat)) {
	for i := range 3 {
		host := fmt.Sprint("h", i+1)
		b.beat(host, 1, b.domainOf(host), reports)
	}
}

func TestHostStaysUpAfterRestart(t *testing.T) {
	b := newBench(t)
	b.beat("h1", 1, "f1", nil)
	b.decide()
	b.now = b.now.Add(time.Minute)
	b.decide()
	b.beat("h1", 2, "f1", nil)
	b.decide()
	assert.Equal(t, b.beat("h1", 2, "f1", nil), daisycontroller.LeaseDuration)
	assert.Equal(t, len(b.decide()), 0)
}

func TestHolderIsReplacedOnlyAfterItsLease(t *testing.T) {
	b := serving(t)
	before := b.tenure()
	last := b.now
	b.all(announce("m1", "m2", "m3"))
	for b.tenure() == before {
		b.now = b.now.Add(10 * time.Millisecond)
		for i := range 3 {
			if host := fmt.Sprint("h", i+1); host != before.Holder {
				b.beat(host, 1, b.domainOf(host), announce("m1", "m2", "m3"))
			}
		}
		b.decide()
	}
	assert.Check(t, b.now.Sub(last) > daisycontroller.LeaseDuration)
	assert.Check(t, b.now.Sub(last) <= daisycontroller.LeaseDuration+2*daisycontroller.DriftMargin)
	assert.Check(t, b.tenure().Holder != before.Holder)
	assert.Equal(t, b.tenure().Term, before.Term+1)
}

func TestNewProcessWaitsForTheLeaseOfTheOld(t *testing.T) {
	b := serving(t)
	holder := b.tenure().Holder
	b.now = b.now.Add(daisycontroller.LeaseDuration / 2)
	assert.Equal(t, b.beat(holder, 2, b.domainOf(holder), nil), time.Duration(0))
	b.decide()
	assert.Equal(t, b.tenure().Incarnation, uint64(1))
	assert.Equal(t, b.beat(holder, 2, b.domainOf(holder), nil), time.Duration(0))
}

func TestCondemnedHostGetsNoLease(t *testing.T) {
	b := serving(t)
	holder := b.tenure().Holder
	b.now = b.now.Add(daisycontroller.LeaseDuration + 2*daisycontroller.DriftMargin)
	assert.Check(t, len(b.leader.Due(b.now, &b.state)) > 0) // Proposed, not decided.
	assert.Equal(t, b.beat(holder, 1, b.domainOf(holder), nil), time.Duration(0))
}

func TestNewLeaderWaitsForLeasesOfTheOld(t *testing.T) {
	b := serving(t)
	b.leader = daisycontroller.NewLeader(b.now)
	b.now = b.now.Add(daisycontroller.LeaseDuration)
	assert.Equal(t, len(b.decide()), 0)
}

func TestPrimaryInDoubt(t *testing.T) {
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
			b := serving(t)
			before := b.tenure()
			hosts := []string{before.Holder}
			for i := range 3 {
				if host := fmt.Sprint("h", i+1); host != before.Holder {
					hosts = append(hosts, host)
				}
			}
			for i, answers := range test.answers {
				b.beat(hosts[i], 1, b.domainOf(hosts[i]), func(beat *daisyheartbeat.Heartbeat) {
					beat.Observations = []daisyheartbeat.Observation{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: 1}, Member: "m1", Answers: answers}}
				})
			}
			b.decide()
			assert.Equal(t, b.tenure().Term, test.term)
			assert.Equal(t, b.tenure().Revoked, test.revoked)
			if test.term > 1 {
				assert.Equal(t, b.tenure().Avoid, "m1")
				assert.Equal(t, b.tenure().Holder, before.Holder)
			}
		})
	}
}

func TestSightsOfAnOldTermDoNotCount(t *testing.T) {
	b := serving(t)
	for i := range 3 {
		host := fmt.Sprint("h", i+1)
		b.beat(host, 1, b.domainOf(host), func(beat *daisyheartbeat.Heartbeat) {
			beat.Observations = []daisyheartbeat.Observation{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "db", Term: 0}, Member: "m1"}}
		})
	}
	assert.Equal(t, len(b.decide()), 0)
}

func TestBackendServersExpireAndLeave(t *testing.T) {
	b := serving(t)
	for range 25 {
		b.now = b.now.Add(500 * time.Millisecond)
		b.all(announce("m1", "m2"))
		b.decide()
	}
	_, found := b.state.Get(daisyfleet.ID{Kind: daisyfleet.KindMember, Name: "db/m3"})
	assert.Check(t, !found)
	b.now = b.now.Add(500 * time.Millisecond)
	b.all(func(beat *daisyheartbeat.Heartbeat) {
		leaving := daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1", Leaving: true}
		beat.Announcements = []daisyheartbeat.Announcement{{Member: "m1", Value: leaving}, {Member: "m2", Value: daisyfleet.Member{Database: "db", Address: addr, FailureDomain: "f1"}}}
	})
	b.decide()
	b.decide()
	assert.Equal(t, b.tenure().Term, uint64(2))
	assert.Equal(t, b.tenure().Avoid, "m1")
}

// TestOutrankedHolderGetsALaterTerm begins before a group that is at a term of
// its own.
func TestOutrankedHolderGetsALaterTerm(t *testing.T) {
	b := newBench(t)
	b.all(announce("m1", "m2", "m3"))
	b.decide()
	b.decide()
	holder := b.tenure().Holder
	b.beat(holder, 1, b.domainOf(holder), func(beat *daisyheartbeat.Heartbeat) {
		beat.HigherTerms = []daisyheartbeat.OwnershipTerm{{Database: "db", Term: 57}}
	})
	b.decide()
	assert.Equal(t, b.tenure().Term, uint64(58))
	assert.Equal(t, b.tenure().Holder, holder)
}
