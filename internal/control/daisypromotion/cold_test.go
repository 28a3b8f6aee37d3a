package daisypromotion_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// coldWorld is a leader with one server, x in the failure domain z.
type coldWorld struct {
	now      time.Time
	state    daisyfleet.State
	index    uint64
	leader   *daisypromotion.Leader
	sequence uint64
}

// lead starts a new control leader.
func (w *coldWorld) lead(limited bool) {
	w.leader = daisypromotion.NewLeader(daisypromotion.Options{LeadingSince: w.now, LeaseDuration: lease})
	w.leader.SetDesired(w.now, &w.state, daisypromotion.Desired{ColdLimited: map[string]bool{service: limited}})
}

func (w *coldWorld) announce(coldLeft time.Duration) {
	w.now = w.now.Add(time.Second)
	w.sequence++
	w.leader.Announce(w.now, daisypromotion.Announcement{
		ID: "x", Service: service, Address: netip.MustParseAddrPort("10.0.0.1:1"), FailureDomain: "z",
		Started: time.Unix(900, 0), Sequence: w.sequence, ColdLeft: coldLeft,
	})
}

// decide applies the changes that are due.
func (w *coldWorld) decide() {
	w.now = w.now.Add(100 * time.Millisecond)
	for _, c := range w.leader.Due(w.now, &w.state) {
		w.index++
		w.state.Apply(w.index, c)
	}
}

// withdraw withdraws an evacuation of the failure domain.
func (w *coldWorld) withdraw(domain string) {
	w.index++
	w.state.Apply(w.index, daisyfleet.Change{Operations: w.leader.ColdAfterEvacuation(domain, &w.state)})
}

func (w *coldWorld) cold() bool {
	o, _ := w.state.Get(daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "x"})
	s, _ := o.Value.(daisyfleet.Server)
	return s.Cold
}

// Guards against a server that gets its whole load while its caches are empty, and against
// one that stays limited: only an announcement that arrived after the withdrawal of an
// evacuation may end what the withdrawal began, whichever leader receives it.
func TestServersAreCold(t *testing.T) {
	tests := []struct {
		name      string
		unlimited bool
		do        func(w *coldWorld)
		want      bool
	}{
		{"Announced", false, func(w *coldWorld) { w.announce(time.Second) }, true},
		{"NoLongerAnnounced", false, func(w *coldWorld) { w.announce(time.Second); w.decide(); w.decide(); w.announce(0) }, false},
		{"NeverAnnounced", false, func(w *coldWorld) { w.announce(0) }, false},
		{"ServiceWithoutLimit", true, func(w *coldWorld) { w.announce(time.Second) }, false},
		{"Withdrawn", false, func(w *coldWorld) { w.announce(0); w.decide(); w.withdraw("z"); w.decide() }, true},
		{"WithdrawnElsewhere", false, func(w *coldWorld) { w.announce(0); w.decide(); w.withdraw("y") }, false},
		{"WithdrawnWithoutLimit", true, func(w *coldWorld) { w.announce(0); w.decide(); w.withdraw("z") }, false},
		{"AnnouncedAfterWithdrawal", false, func(w *coldWorld) { w.announce(0); w.decide(); w.withdraw("z"); w.decide(); w.announce(0) }, false},
		{"NewLeader", false, func(w *coldWorld) { w.announce(0); w.decide(); w.withdraw("z"); w.lead(true); w.decide() }, true},
		{"AnnouncedToNewLeader", false, func(w *coldWorld) {
			w.announce(0)
			w.decide()
			w.withdraw("z")
			w.lead(true)
			w.decide()
			w.announce(0)
		}, false},
		{"AnnouncementsStop", false, func(w *coldWorld) { w.announce(time.Second); w.decide(); w.now = w.now.Add(5 * time.Second) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &coldWorld{now: time.Unix(1000, 0)}
			w.lead(!test.unlimited)
			test.do(w)
			w.decide()
			assert.Equal(t, w.cold(), test.want)
		})
	}
}
