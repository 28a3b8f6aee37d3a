package daisysandbox_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// maxServiceGap is the longest time without an acknowledged write that the availability
// target allows.
const maxServiceGap = 12 * time.Second

func TestFaultsUnderLoad(t *testing.T) {
	tests := []struct {
		name   string
		inject func(f *fleet)
	}{
		{"Nothing", func(*fleet) {}},
		{"PrimaryStops", func(f *fleet) { f.group.Stop(f.group.Primary()) }},
		{"HolderIsKilled", func(f *fleet) { f.kill(f.holder()) }},
		{"HolderIsCutOff", func(f *fleet) {
			h := hostName(f.holder())
			f.network.isolate(h, f.otherNodes(h)...)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				hist := newHistory(t)
				f.load(hist, 6, 2*time.Second, 15*time.Second, func() { test.inject(f) })
				gap := hist.longestGap(time.Now())
				f.network.heal()
				time.Sleep(3 * time.Second)
				hist.check(f.primaryRows())
				t.Logf("acknowledged %d, not run %d, unknown %d, longest gap %s",
					hist.count(acknowledged), hist.count(notRun), hist.count(unknown), gap)
				assert.Check(t, gap < maxServiceGap)
				assert.Check(t, hist.count(acknowledged) > 100)
			})
		})
	}
}
