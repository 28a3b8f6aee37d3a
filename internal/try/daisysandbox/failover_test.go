package daisysandbox_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// gapLimit is the longest gap in service that the target allows.
const gapLimit = 12 * time.Second

func TestFaultsUnderLoad(t *testing.T) {
	tests := []struct {
		name   string
		strike func(f *fleet)
	}{
		{"Nothing", func(*fleet) {}},
		{"PrimaryStops", func(f *fleet) { f.group.Stop(f.group.Primary()) }},
		{"HolderIsKilled", func(f *fleet) { f.kill(f.holder()) }},
		{"HolderIsCutOff", func(f *fleet) {
			h := hostName(f.holder())
			f.network.isolate(h, f.places(h)...)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				w := newWitness(t)
				f.load(w, 6, 2*time.Second, 15*time.Second, func() { test.strike(f) })
				gap := w.gap(time.Now())
				f.network.heal()
				time.Sleep(3 * time.Second)
				w.check(f.primaryRows())
				t.Logf("acknowledged %d, not run %d, unknown %d, longest gap %s",
					w.count(acknowledged), w.count(notRun), w.count(unknown), gap)
				assert.Check(t, gap < gapLimit)
				assert.Check(t, w.count(acknowledged) > 100)
			})
		})
	}
}
