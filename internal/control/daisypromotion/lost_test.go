package daisypromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisypromotion"
)

// newSyncWorld returns a world of servers in the failure domains z1, z2 and z3, in which n
// replicas must hold a write before it is acknowledged. The primary is m1.
func newSyncWorld(t *testing.T, n int) *world {
	w := newZonedWorld(t)
	w.setSync(n)
	return w
}

func (w *world) setSync(n int) {
	w.leader.SetDesired(w.now, &w.state, daisypromotion.Desired{SyncReplicas: map[string]int{service: n}})
}

// losePrimary makes m1 crash.
func (w *world) losePrimary() {
	w.servers[0].down = true
	w.setPrimaryUnreachable(true)
}

// Guards against the promotion of a former primary whose log is longer by entries of an
// earlier term, which were never acknowledged, before a replica with acknowledged ones of a
// later term (review/9).
func TestLaterTermIsAheadOfLongerLog(t *testing.T) {
	tests := []struct {
		name   string
		inject func(w *world)
		want   []string // The servers that are promoted, in order.
	}{
		{"PrimaryLost", func(w *world) { w.losePrimary() }, []string{"m2"}},
		{"Evacuated", func(w *world) { // The next to lead is m3, once it has the log of m2.
			w.evacuate("z2", true)
			w.losePrimary()
		}, []string{"m2", "m3"}},
		{"PreviousPrimaryAnswers", func(w *world) { // Neither replica has its last entry; m2 gets it later.
			w.servers[0].logTerm, w.servers[0].number = 2, 13
			w.servers[0].leaving = true
			w.advance(time.Second)
			assert.Equal(w.t, len(w.promoted), 0)
			w.servers[1].number = 13
		}, []string{"m2"}},
	}
	for _, n := range []int{0, 1} {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				w := newSyncWorld(t, n)
				w.servers[1].logTerm, w.servers[1].number = 2, 12
				w.servers[2].logTerm, w.servers[2].number = 1, 14
				test.inject(w)
				w.advance(3 * time.Second)
				if len(test.want) > 1 { // It follows the new primary.
					w.servers[2].logTerm, w.servers[2].number = 3, 12
					w.servers[1].logTerm = 3
					w.advance(4 * time.Second)
				}
				assert.DeepEqual(t, w.promoted, test.want)
			})
		}
	}
}

// Guards against the promotion of a server that lacks acknowledged writes before one that has
// them but leaves, is evacuated or was refused for a moment (review/7, review/leaving).
func TestAcknowledgedWritesOutrankStaying(t *testing.T) {
	tests := []struct {
		name   string
		sync   int
		inject func(w *world)
		within time.Duration
		want   []string // The servers that are promoted, in order.
	}{
		{"Leaving", 1, func(w *world) {
			w.servers[2].leaving = true
			w.losePrimary()
		}, 2 * time.Second, []string{"m3"}},
		{"LeavingWithoutSync", 0, func(w *world) {
			w.servers[2].leaving = true
			w.losePrimary()
		}, 2 * time.Second, []string{"m3"}},
		{"LeavingAndEvacuated", 1, func(w *world) {
			w.servers[2].leaving = true
			w.evacuate("z3", true)
			w.losePrimary()
		}, 2 * time.Second, []string{"m3"}},
		{"RefusedForAWhile", 1, func(w *world) {
			w.servers[2].refuses = true
			w.losePrimary()
			w.advance(3 * time.Second)
			w.servers[2].refuses = false
		}, 2 * time.Second, []string{"m3"}},
		{"LeavingIsCutOff", 1, func(w *world) {
			w.servers[2].leaving = true
			w.losePrimary()
			w.servers[2].cut = true
			w.advance(3 * time.Second)
			w.servers[2].cut = false
		}, 2 * time.Second, []string{"m3"}},
		{"PrimaryReturns", 1, func(w *world) { // As a replica with its log.
			w.losePrimary()
			w.servers[2].down = true
			w.advance(3 * time.Second)
			w.setPrimaryUnreachable(false)
			w.servers[0].down, w.servers[0].number = false, 12
		}, 3 * time.Second, []string{"m1"}},
		// Nothing is to be waited for:
		{"BothReplicasHaveEachWrite", 2, func(w *world) {
			w.losePrimary()
			w.servers[1].down = true
		}, 2 * time.Second, []string{"m3"}},
		{"CaughtUpWithPreviousPrimary", 1, func(w *world) {
			w.servers[1].number, w.servers[0].number, w.servers[0].leaving = 12, 12, true
			w.servers[2].cut = true
		}, 2500 * time.Millisecond, []string{"m2"}},
		{"LeavingPrimaryIsCutOff", 1, func(w *world) { // From the control leader, but not from its replicas.
			w.servers[0].leaving, w.servers[0].number = true, 13
			w.advance(step)
			w.servers[0].cut = true
		}, 2500 * time.Millisecond, []string{"m3"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSyncWorld(t, test.sync)
			w.servers[2].number = 12
			test.inject(w)
			w.advance(test.within)
			assert.DeepEqual(t, w.promoted, test.want)
		})
	}
}

// Guards against acknowledged writes that are lost when the leaving server that leads since it
// alone had them hands over, and against a handover that never comes.
func TestLeavingPrimaryHandsOverOnceOthersCaughtUp(t *testing.T) {
	w := newSyncWorld(t, 1)
	w.servers[2].number, w.servers[2].leaving = 12, true
	w.losePrimary()
	w.advance(6 * time.Second)
	assert.DeepEqual(t, w.promoted, []string{"m3"}) // It leads all the while: m2 receives nothing.
	assert.Equal(t, w.leadership().Server, "m3")
	w.servers[1].number = 12
	w.advance(2 * time.Second)
	assert.DeepEqual(t, w.promoted, []string{"m3", "m2"})
	assert.Equal(t, w.leadership().Server, "m2")
}

// forgetAfter is longer than a server stays listed that announces nothing.
const forgetAfter = 12 * time.Second

// Guards against the promotion of a server that lacks acknowledged writes once the replica that
// has them is forgotten: since it is silent, has ended, has lost its log or is not counted
// because the number of synchronous replicas was raised since (review/expired).
func TestAbsentReplicasCount(t *testing.T) {
	tests := []struct {
		name   string
		inject func(w *world)
		waits  bool           // No server may be promoted before the next step.
		then   func(w *world) // May be nil.
		want   []string       // The servers that are promoted, in order.
	}{
		{"SilentSinceTheLoss", func(w *world) {
			w.servers[2].down = true
			w.losePrimary()
			w.advance(forgetAfter)
		}, true, func(w *world) { w.servers[2].down = false }, []string{"m3"}},
		{"SilentBeforeTheLoss", func(w *world) { // The other one receives nothing.
			w.servers[2].down = true
			w.advance(forgetAfter)
			w.losePrimary()
		}, true, func(w *world) { w.servers[2].down = false }, []string{"m3"}},
		{"SilentAndCaughtUp", func(w *world) {
			w.servers[2].down, w.servers[1].number = true, 12
			w.advance(forgetAfter)
			w.losePrimary()
		}, false, nil, []string{"m2"}},
		{"EndedAndSucceeded", func(w *world) { // The log goes to the successor at its address.
			w.servers[2].leaving = true
			w.advance(time.Second)
			w.leader.Leave(w.now, "m3")
			w.servers[2].down = true
			w.losePrimary()
		}, true, func(w *world) {
			w.servers[2].id, w.servers[2].down, w.servers[2].leaving, w.servers[2].started = "m4", false, false, 990
		}, []string{"m4"}},
		{"EndedAndCaughtUp", func(w *world) {
			w.servers[1].number = 12
			w.leader.Leave(w.now, "m3")
			w.servers[2].down = true
			w.advance(2 * time.Second)
			w.losePrimary()
		}, false, nil, []string{"m2"}},
		{"LostLog", func(w *world) {
			w.servers[2].number, w.servers[2].logTerm, w.servers[2].started = 0, 0, 950
			w.losePrimary()
		}, true, func(w *world) {
			w.servers[0].down = false
			w.setPrimaryUnreachable(false)
		}, []string{"m1"}},
		{"NewServerHasNoLog", func(w *world) {
			w.servers = append(w.servers, &server{id: "m4", role: daisypromotion.RoleReplica, started: 950})
			w.advance(time.Second)
			w.losePrimary()
		}, false, nil, []string{"m3"}},
		{"Raised", func(w *world) {
			w.servers[2].down = true
			w.setSync(2)
			w.losePrimary()
		}, true, func(w *world) { w.servers[2].down = false }, []string{"m3"}},
		{"RaisedAndCaughtUp", func(w *world) {
			w.servers[1].number = 12
			w.setSync(2)
			w.advance(2 * time.Second)
			w.servers[2].down = true
			w.losePrimary()
		}, false, nil, []string{"m2"}},
		{"LoweredByOperator", func(w *world) { // Who would rather have service than the last writes.
			w.servers[2].down = true
			w.losePrimary()
			w.advance(3 * time.Second)
		}, true, func(w *world) { w.setSync(0) }, []string{"m2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSyncWorld(t, 1)
			w.servers[0].number, w.servers[2].number = 12, 12
			test.inject(w)
			w.advance(2 * time.Second)
			if test.waits {
				assert.Equal(t, len(w.promoted), 0)
			}
			if test.then != nil {
				test.then(w)
				w.advance(3 * time.Second)
			}
			assert.DeepEqual(t, w.promoted, test.want)
		})
	}
}
