package daisysandbox_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fault is a failure that tests inject. inject returns a function that repairs it.
type fault struct {
	name   string
	inject func(f *fleet) (repair func())
}

const (
	repairDelay = 4 * time.Second // From the second fault to the repair of both.
	matrixHosts = 4               // Three of them replicate the control log.
)

// leader returns the index of the host that leads the control log, or -1.
func (f *fleet) leader() int {
	for i, h := range f.hosts {
		if h != nil && h.Leads() {
			return i
		}
	}
	return -1
}

// killHost kills a host and returns a function that restarts it. For a host that is
// already down, both do nothing.
func (f *fleet) killHost(i int, loseDisk bool) func() {
	if i < 0 || f.hosts[i] == nil {
		return func() {}
	}
	f.kill(i)
	if loseDisk {
		f.lostDisks++
		assert.Check(f.t, os.RemoveAll(f.plan.Settings[i].DataFolder))
	}
	return func() { f.start(i) }
}

// isolateHost isolates a host and returns a function that unblocks all paths.
func (f *fleet) isolateHost(i int) func() {
	if i >= 0 {
		f.network.isolate(hostName(i), f.otherNodes(hostName(i))...)
	}
	return f.network.heal
}

// replica returns the index of a member that is not the primary, or -1.
func (f *fleet) replica() int {
	for i, m := range f.group.Members() {
		if m != f.group.Primary() {
			return i
		}
	}
	return -1
}

var faults = []fault{
	{"PrimaryStops", func(f *fleet) func() {
		m := f.group.Primary()
		if m == nil {
			return func() {}
		}
		f.group.Stop(m)
		return func() { assert.Check(f.t, f.group.Start(m)) }
	}},
	{"HolderKilled", func(f *fleet) func() { return f.killHost(f.holder(), false) }},
	{"HolderCutOff", func(f *fleet) func() { return f.isolateHost(f.holder()) }},
	{"HolderLosesGroup", func(f *fleet) func() {
		f.network.isolate(hostName(f.holder()), groupNode)
		return f.network.heal
	}},
	{"LeaderKilled", func(f *fleet) func() { return f.killHost(f.leader(), false) }},
	{"LeaderLosesDisk", func(f *fleet) func() { return f.killHost(f.leader(), true) }},
	{"LeaderCutOff", func(f *fleet) func() { return f.isolateHost(f.leader()) }},
	{"LeaderHearsNothing", func(f *fleet) func() {
		if i := f.leader(); i >= 0 {
			for _, n := range f.otherNodes(hostName(i)) {
				f.network.block(n, hostName(i))
			}
		}
		return f.network.heal
	}},
	{"ReplicaStalls", func(f *fleet) func() {
		m := f.group.Members()[f.replica()]
		m.StallReplication(true)
		return func() { m.StallReplication(false) }
	}},
}

// offsets are the delays from the first fault to the second. They fall into the detection
// of the first fault, the promotion, the takeover and the service after it.
var offsets = []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1050 * time.Millisecond, 2150 * time.Millisecond}

// TestFaultMatrix injects every pair of faults, the second at each step of the recovery
// from the first. No acknowledged write may be lost, no write refused as not run may be
// stored, every session must read its own writes, and service must resume.
func TestFaultMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	for _, first := range faults {
		for _, second := range faults {
			for _, offset := range offsets {
				t.Run(fmt.Sprintf("%s/%s/%s", first.name, second.name, offset), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { injectTwoFaults(t, first, second, offset) })
				})
			}
		}
	}
}

func injectTwoFaults(t *testing.T, first, second fault, offset time.Duration) {
	f := newFleet(t, matrixHosts)
	defer f.close()
	hist := newHistory(t)
	counter := newCounter(f)
	f.load(hist, 3, time.Second, 6*time.Second, func() {
		counter.start(2)
		repairFirst := first.inject(f)
		time.Sleep(offset)
		repairSecond := second.inject(f)
		time.Sleep(repairDelay)
		repairFirst()
		repairSecond()
		f.network.heal()
	})
	gap := hist.longestGap(time.Now())
	hist.check(f.primaryRows())
	counter.stop()
	t.Logf("acknowledged %d, not run %d, unknown %d, longest gap %s", hist.count(acknowledged), hist.count(notRun), hist.count(unknown), gap)
	if f.lostDisks > (controlHosts-1)/2 {
		// Without a majority of the control disks the committed decisions can't be
		// determined, so the fleet must stop instead of starting over.
		assert.Check(t, f.leader() < 0)
		return
	}
	assert.Check(t, gap < maxServiceGap)
	assert.Check(t, time.Since(hist.lastAck()) < 2*time.Second, "service has not resumed")
	counter.check()
}

// TestSecondDiskLostRightAfterRepair removes the disks of the control hosts one by one,
// each as soon as the host before has rejoined with a new disk and a vote.
func TestSecondDiskLostRightAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, matrixHosts)
		defer f.close()
		hist := newHistory(t)
		f.load(hist, 3, time.Second, 3*time.Second, func() {
			for i := range controlHosts {
				restart := f.killHost(i, true)
				time.Sleep(2 * time.Second)
				restart()
				f.awaitService()
			}
		})
		hist.check(f.primaryRows())
		assert.Check(t, time.Since(hist.lastAck()) < 2*time.Second, "service has not resumed")
	})
}

func (h *history) lastAck() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.acks) == 0 {
		return time.Time{}
	}
	return h.acks[len(h.acks)-1]
}
