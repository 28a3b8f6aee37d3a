package daisypromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// newZonedWorld returns a world whose servers m1, m2 and m3 are in the failure domains
// z1, z2 and z3. The primary is m1.
func newZonedWorld(t *testing.T) *world {
	w := newWorld(t)
	for i, domain := range []string{"z1", "z2", "z3"} {
		w.servers[i].domain = domain
	}
	w.advance(2 * time.Second)
	assert.Equal(t, w.leadership().Server, "m1")
	return w
}

// evacuate stores the order to evacuate a failure domain, or removes it.
func (w *world) evacuate(domain string, evacuated bool) {
	w.t.Helper()
	id := daisyfleet.ID{Kind: daisyfleet.KindEvacuation, Name: domain}
	o, _ := w.state.Get(id)
	op := daisyfleet.Operation{ID: id, ExpectedRevision: o.Revision}
	if evacuated {
		op.Value = daisyfleet.Evacuation{Ordered: w.now}
	}
	w.index++
	out := w.state.Apply(w.index, daisyfleet.Change{Operations: []daisyfleet.Operation{op}})
	assert.Assert(w.t, out.Accepted, out.Message)
}

// awaitSuccession advances until the service has no primary.
func (w *world) awaitSuccession() {
	w.t.Helper()
	for end := w.now.Add(5 * time.Second); w.leadership().Server != ""; w.advance(step) {
		assert.Assert(w.t, w.now.Before(end), "no succession began")
	}
}

// Guards against primaries that stay in, or move to, an evacuated failure domain while
// another server is fit, and against successions without end where none is.
func TestEvacuation(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(w *world)
		primary string
		epoch   uint64
		within  time.Duration
	}{
		{"PrimarysDomain", func(w *world) { w.evacuate("z1", true) }, "m2", 2, 2 * time.Second},
		{"ReplicasDomain", func(w *world) { w.evacuate("z2", true) }, "m1", 1, 2 * time.Second},
		{"TwoDomains", func(w *world) {
			w.evacuate("z1", true)
			w.evacuate("z2", true)
		}, "m3", 2, 4 * time.Second},
		{"AllDomains", func(w *world) {
			for _, domain := range []string{"z1", "z2", "z3"} {
				w.evacuate(domain, true)
			}
		}, "m1", 1, 5 * time.Second},
		{"NoOtherServerAnswers", func(w *world) {
			w.evacuate("z1", true)
			w.servers[1].down, w.servers[2].down = true, true
		}, "m1", 1, 5 * time.Second},
		{"OthersAreLeaving", func(w *world) {
			w.evacuate("z1", true)
			w.servers[1].leaving, w.servers[2].leaving = true, true
			w.advance(step)
		}, "m1", 1, 2 * time.Second},
		{"PrimaryLeavesAndOthersAreEvacuated", func(w *world) {
			w.evacuate("z2", true)
			w.evacuate("z3", true)
			w.servers[0].leaving = true
		}, "m1", 1, 3 * time.Second},
		{"PrimaryLostWhileAnotherDomainIsEvacuated", func(w *world) {
			w.evacuate("z2", true)
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
		}, "m3", 2, 4 * time.Second},
		{"PrimaryLostAndAllOthersEvacuated", func(w *world) {
			w.evacuate("z2", true)
			w.evacuate("z3", true)
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
		}, "m2", 2, 8 * time.Second},
		{"OrderedDuringSuccession", func(w *world) {
			w.servers[0].down = true
			w.setPrimaryUnreachable(true)
			w.awaitSuccession()
			w.evacuate("z2", true)
		}, "m3", 2, 4 * time.Second},
		{"WithdrawnDuringSuccession", func(w *world) {
			w.evacuate("z1", true)
			w.awaitSuccession()
			w.evacuate("z1", false)
		}, "m2", 2, 3 * time.Second},
		{"LeaderLostAfterOrder", func(w *world) {
			w.evacuate("z1", true)
			w.lead()
		}, "m2", 2, 4 * time.Second},
		{"LeaderLostDuringSuccession", func(w *world) {
			w.evacuate("z1", true)
			w.awaitSuccession()
			w.lead()
		}, "m2", 2, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newZonedWorld(t)
			test.inject(w)
			w.advance(test.within)
			assert.Equal(t, w.leadership().Server, test.primary)
			assert.Equal(t, w.leadership().Epoch, test.epoch)
		})
	}
}

// Guards against a primary that is left in an evacuated failure domain because no other
// server was fit when the order was given.
func TestEvacuatedPrimaryIsReplacedOnceAnotherIsFit(t *testing.T) {
	w := newZonedWorld(t)
	w.evacuate("z1", true)
	w.servers[1].down, w.servers[2].down = true, true
	w.advance(5 * time.Second)
	assert.Equal(t, w.leadership().Server, "m1")
	w.servers[2].down = false
	w.advance(3 * time.Second)
	assert.Equal(t, w.leadership().Server, "m3")
}

// Guards against the loss of acknowledged writes: when the primary is lost, only a
// replica in an evacuated failure domain may have the last of them. It leads until the
// others have caught up.
func TestReplicaAheadLeadsThoughEvacuated(t *testing.T) {
	w := newZonedWorld(t)
	w.evacuate("z2", true)
	w.servers[0].down, w.servers[1].number = true, 20
	w.setPrimaryUnreachable(true)
	for len(w.promoted) == 0 {
		w.advance(step)
	}
	w.servers[2].number = 20 // It follows the new primary.
	w.advance(4 * time.Second)
	assert.DeepEqual(t, w.promoted, []string{"m2", "m3"})
	assert.Equal(t, w.leadership().Server, "m3")
}
