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
				assert.DeepEqual(t, w.promoted, test.want)
			})
		}
	}
}
