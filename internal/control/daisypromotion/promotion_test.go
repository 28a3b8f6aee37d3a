package daisypromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against a server that takes over after another one's leadership was confirmed:
// hosts acknowledge writes there until they know, and those are rolled back.
func TestNoPromotionOutlivesItsSuccession(t *testing.T) {
	tests := []struct {
		name   string
		inject func(w *world) // Runs once the promotion of m3 was ordered. Meanwhile, m2 catches up.
		within time.Duration
		want   string
	}{
		{"Nothing", func(*world) {}, 2 * time.Second, "m3"},
		{"LeaderLost", func(w *world) { w.lead() }, 3 * time.Second, "m3"},
		{"LeadersLost", func(w *world) {
			for range 4 {
				w.lead()
				w.advance(4 * step)
			}
		}, 4 * time.Second, "m3"},
		{"PlatformSlow", func(w *world) {
			w.advance(500 * time.Millisecond)
			w.callDelay = 0
		}, 4 * time.Second, "m3"},
		{"PlatformLost", func(w *world) { // It carries the first call out after 4 s.
			w.callDelay, w.unreachable = 0, true
			w.advance(3 * time.Second)
			w.unreachable = false
		}, 2 * time.Second, "m3"},
		{"CandidateCutOff", func(w *world) {
			w.servers[2].cut = true
			w.advance(2500 * time.Millisecond)
			w.servers[2].cut = false
		}, 4 * time.Second, "m2"},
		{"CandidateLost", func(w *world) { w.servers[2].down = true }, 6 * time.Second, "m2"},
		{"CandidateAndLeaderLost", func(w *world) {
			w.servers[2].down = true
			w.lead()
		}, 6 * time.Second, "m2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			w.advance(2 * time.Second)
			w.promotionTime = time.Second
			w.callDelay = map[string]time.Duration{"PlatformSlow": 700 * time.Millisecond, "PlatformLost": 4 * time.Second}[test.name]
			w.servers[1].number = 9
			w.servers[0].leaving = true
			for range 40 {
				if len(w.promoted) > 0 {
					break
				}
				w.advance(step)
			}
			assert.DeepEqual(t, w.promoted, []string{"m3"})
			w.servers[1].number = 10
			test.inject(w)
			w.advance(test.within)
			assert.Equal(t, w.leadership().Server, test.want)
			w.advance(3 * time.Second)
			assert.Check(t, cmp.Len(w.late, 0), "took over late: %v; promoted: %v", w.late, w.promoted)
			assert.Equal(t, w.leadership().Server, test.want)
		})
	}
}
