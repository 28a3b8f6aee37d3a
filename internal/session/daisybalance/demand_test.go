package daisybalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// spread returns the least and the greatest of the values.
func spread(values []float64) (least, greatest float64) {
	least, greatest = values[0], values[0]
	for _, v := range values {
		least, greatest = min(least, v), max(greatest, v)
	}
	return least, greatest
}

// Guards against hosts that decide on the same delayed views and therefore move to
// another region and back together. With few reads a second of a host, its views are a
// second old.
func TestStepInDemand(t *testing.T) {
	const (
		hosts  = 100
		settle = 12 // Seconds.
		band   = 0.3
	)
	tests := []struct {
		name   string
		hosts  int
		demand float64 // Of one region, whose server can run 180 a second.
		moved  float64 // What its server cannot run.
	}{
		{"ManyReads", hosts, 240, 0.25},
		{"Burst", hosts, 380, 0.53},
		{"FewReads", 6 * hosts, 300, 0.4},
		{"FewReadsBurst", 6 * hosts, 380, 0.53},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(test.hosts)
			s.demand = [regions]float64{60, 60, 60}
			s.run(5*time.Second, func(int) { assert.Equal(t, s.away[1], 0.0) })
			s.demand[1] = test.demand
			var shares []float64
			mean := 0.0
			s.run(60*time.Second, func(second int) {
				if second >= settle {
					shares = append(shares, s.away[1])
					mean += s.away[1] / (60 - settle)
					assert.Check(t, s.waits[1] < 3*objective/2, "%v in second %d", s.waits[1], second)
				}
			})
			least, greatest := spread(shares)
			t.Logf("moved %.2f, between %.2f and %.2f", mean, least, greatest)
			assert.Check(t, mean > test.moved-0.05 && mean < test.moved+0.05, "%.2f", mean)
			assert.Check(t, greatest-least < band, "between %.2f and %.2f", least, greatest)
			s.demand[1] = 60
			s.run(settle*time.Second, nil)
			assert.Check(t, s.away[1] < 0.1, "%.2f did not return", s.away[1])
		})
	}
}

// Guards against hosts that move all reads, none, or all at the same time between
// gateways that state no load: late answers tell of a queue only after it.
func TestNoLoadStated(t *testing.T) {
	for _, silent := range [][regions]bool{{false, true, false}, {true, true, true}} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			s := newSimulation(100)
			for i := range s.servers {
				s.servers[i].silent = silent[i]
			}
			s.demand = [regions]float64{60, 300, 60}
			s.run(12*time.Second, nil)
			var shares []float64
			s.run(40*time.Second, func(int) { shares = append(shares, s.away[1]) })
			least, greatest := spread(shares)
			t.Logf("between %.2f and %.2f", least, greatest)
			assert.Check(t, least > 0.2 && greatest < 0.6, "between %.2f and %.2f", least, greatest)
		})
	}
}

// Guards against a flight to the servers of other regions that overloads them, while
// all servers of one are slow, and against movement where all are slow alike.
func TestSlowServers(t *testing.T) {
	tests := []struct {
		name            string
		slow            [regions]time.Duration
		least, greatest float64
	}{
		{"OneRegion", [regions]time.Duration{0, 400 * time.Millisecond, 0}, 0.15, 0.6},
		{"All", [regions]time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}, 0, 0.06},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(100)
			for i := range s.servers {
				s.servers[i].slow = test.slow[i]
			}
			s.demand = [regions]float64{100, 100, 100}
			s.run(5*time.Second, nil)
			away := 0.0
			s.run(20*time.Second, func(int) {
				away += s.away[1] / 20
				assert.Check(t, s.waits[0] < 50*time.Millisecond && s.waits[2] < 50*time.Millisecond)
			})
			t.Logf("%.3f left the region", away)
			assert.Check(t, away >= test.least && away <= test.greatest, "%.3f", away)
		})
	}
}

// Guards against a server that fails a part of its requests and gets as many as before,
// or that is left for good.
func TestUnevenServers(t *testing.T) {
	tests := []struct {
		name            string
		failing         float64
		least, greatest float64 // What goes elsewhere.
	}{
		{"Some", 0.3, 0.15, 0.45},
		{"All", 1, 0.85, 0.999},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(100)
			s.demand = [regions]float64{60, 60, 60}
			s.servers[1].failing = test.failing
			s.run(20*time.Second, nil)
			away := 0.0
			s.run(30*time.Second, func(int) { away += s.away[1] / 30 })
			t.Logf("%.3f went elsewhere", away)
			assert.Check(t, away >= test.least && away <= test.greatest, "%.3f", away)
			s.servers[1].failing = 0
			s.run(30*time.Second, nil)
			assert.Check(t, s.away[1] < 0.1, "%.2f did not return", s.away[1])
		})
	}
}

// Guards against a server that goes up and down and gets its whole share each time that
// it answers again.
func TestServerUpAndDown(t *testing.T) {
	s := newSimulation(100)
	s.demand = [regions]float64{60, 60, 60}
	away := 0.0
	s.run(60*time.Second, func(second int) {
		s.servers[1].failing = float64(second / 3 % 2)
		away += s.away[1] / 60
	})
	t.Logf("%.2f went elsewhere", away)
	assert.Check(t, away > 0.4 && away < 0.9, "%.2f", away)
}
