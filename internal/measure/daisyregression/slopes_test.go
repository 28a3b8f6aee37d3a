package daisyregression_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisywal"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

var slopesFile = flag.String("slopes", "", "file to which the table of measured costs and fitted lines is written")

// The size of the target fleet, and the number of objects per database.
const (
	targetHosts           = 410
	targetDatabases       = 920
	membersPerDatabase    = 3
	workspacesPerDatabase = 2
	keysPerDatabase       = 4
	totalProfiles         = 40
	targetObjects         = targetHosts + targetDatabases*(2+membersPerDatabase+workspacesPerDatabase+keysPerDatabase) + totalProfiles
)

// fractions are the fractions of the target size at which costs are measured.
var fractions = []float64{0.25, 0.5, 0.75, 1}

var addr = netip.MustParseAddrPort("10.1.2.3:7401")

// fleetState returns the state of a fleet of the given fraction of the target size.
func fleetState(fraction float64) (s *daisyfleet.State, hosts, databases int) {
	s = &daisyfleet.State{}
	hosts, databases = int(fraction*targetHosts), int(fraction*targetDatabases)
	index := uint64(0)
	add := func(name string, v daisyfleet.Value) {
		index++
		s.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: v.Kind(), Name: name}, Value: v}}})
	}
	for i := range hosts {
		add(host(i), daisyfleet.Host{Incarnation: 7, Address: addr, FailureDomain: domain(i), Region: "wales", Up: true})
	}
	for i := range totalProfiles {
		add(fmt.Sprint("profile", i), daisyfleet.Profile{Database: "database0", Acknowledge: daisyfleet.AcknowledgeMajority, Session: daisyfleet.SessionKey, Cost: 1, Wait: time.Second, Objective: 0.999})
	}
	for i := range databases {
		name := fmt.Sprint("database", i)
		add(name, daisyfleet.Database{Connections: 30, Members: membersPerDatabase})
		for m := range membersPerDatabase {
			add(daisyfleet.MemberName(name, fmt.Sprint("m", m)), daisyfleet.Member{Database: name, Address: addr, FailureDomain: domain(m)})
		}
		for w := range workspacesPerDatabase {
			workspace := fmt.Sprintf("workspace%d-%d", i, w)
			add(workspace, daisyfleet.Workspace{Home: name, Rate: 100, Burst: 50})
			for k := range keysPerDatabase / workspacesPerDatabase {
				add(fmt.Sprintf("%s-%d", workspace, k), daisyfleet.Key{Workspace: workspace, Hash: [32]byte{byte(k)}})
			}
		}
		add(name, daisyfleet.Ownership{Term: 3, Holder: host(i % hosts), Incarnation: 7, Primary: "m0"})
	}
	return s, hosts, databases
}

func host(i int) string { return fmt.Sprint("host", i) }

func domain(i int) string { return fmt.Sprint("domain", i%6) }

// row is one row of the table.
type row struct {
	quantity, size, unit string // What is measured, what the size counts and the cost's unit.
	sizes, costs         []float64
	target               float64 // The size for which the cost is extrapolated.
}

func (r *row) add(size, cost float64) {
	r.sizes = append(r.sizes, size)
	r.costs = append(r.costs, cost)
}

func (r *row) format() string {
	l := daisyregression.Fit(r.sizes, r.costs)
	var measured []string
	for i := range r.sizes {
		measured = append(measured, fmt.Sprintf("%.0f: %.4g", r.sizes[i], r.costs[i]))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.4g |\n", r.quantity, r.unit, r.size, strings.Join(measured, "; "), l, l.At(r.target))
}

// microsPerCall returns the mean time of a call in microseconds. It doubles the
// number of calls until they take more than minTime.
func microsPerCall(f func()) float64 {
	const minTime = 150 * time.Millisecond
	f()
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took > minTime {
			return float64(took.Nanoseconds()) / float64(n) / 1000
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func idleHeartbeat(i int) daisyheartbeat.Heartbeat {
	return daisyheartbeat.Heartbeat{
		ID: 1_000_000, Host: host(i), Incarnation: rand.Uint64() | 1<<63, Address: addr, FailureDomain: domain(i),
		Region: "wales", Revision: 20_000,
	}
}

// TestSlopes measures the costs of the control plane at several sizes with the
// production codec and decision code, and prints them with the fitted lines.
func TestSlopes(t *testing.T) {
	if *slopesFile == "" {
		t.Skip("measurement only; run with -slopes FILE")
	}
	rows := []*row{
		stateHeap(), fullDelta(), heartbeatBytes(), leaderHeartbeat(), leaderDue(), mergeChange(), encodeChange(), appendBytes(), takeSnapshot(), grantTokens(), placement(), failureDomainLoss(), walAppend(t),
	}
	var b strings.Builder
	b.WriteString("| quantity | unit | size | measured | fit | at the target |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		b.WriteString(r.format())
	}
	t.Log("\n" + b.String())
	assert.NilError(t, os.WriteFile(*slopesFile, []byte(b.String()), 0o600))
}

func objects(fraction float64) float64 { return fraction * targetObjects }

func stateHeap() *row {
	r := &row{quantity: "State held by every host", unit: "bytes of heap", size: "objects", target: targetObjects}
	for _, fraction := range fractions {
		before := heapBytes()
		s, _, _ := fleetState(fraction)
		r.add(objects(fraction), heapBytes()-before)
		runtime.KeepAlive(s)
	}
	return r
}

func fullDelta() *row {
	r := &row{quantity: "Full state sent to a restarting host", unit: "bytes", size: "objects", target: targetObjects}
	for _, fraction := range fractions {
		s, _, _ := fleetState(fraction)
		d := s.Delta(0)
		r.add(objects(fraction), float64(len(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{ID: 1, Delta: &d}))))
	}
	return r
}

func heartbeatBytes() *row {
	r := &row{quantity: "Heartbeat and reply without changes", unit: "bytes", size: "backend servers announced in it", target: 0}
	for _, n := range []int{0, 4, 8, 16} {
		h := idleHeartbeat(300)
		for i := range n {
			h.Announcements = append(h.Announcements, daisyheartbeat.Announcement{Member: "m1", Age: time.Second, Value: daisyfleet.Member{
				Database: fmt.Sprint("database", 700+i), Address: addr, FailureDomain: domain(i),
			}})
		}
		reply := daisyheartbeat.Reply{ID: h.ID, Lease: daisycontroller.LeaseDuration, Leader: addr}
		r.add(float64(n), float64(len(daisycodec.EncodeHeartbeat(h))+len(daisycodec.EncodeHeartbeatReply(reply))))
	}
	return r
}

func leaderHeartbeat() *row {
	r := &row{quantity: "Leader answers a heartbeat (decode, decide, encode)", unit: "µs", size: "hosts", target: targetHosts}
	for _, fraction := range fractions {
		s, hosts, _ := fleetState(fraction)
		l := daisycontroller.NewLeader(time.Now())
		i := 0
		r.add(float64(hosts), microsPerCall(func() {
			i++
			h := idleHeartbeat(i % hosts)
			m, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(h))
			if err != nil {
				panic(err)
			}
			reply := daisyheartbeat.Reply{ID: h.ID, Leader: addr, Lease: l.Heartbeat(time.Now(), s, *m.Heartbeat), Probes: l.Probes(time.Now(), s, h.Host)}
			daisycodec.EncodeHeartbeatReply(reply)
		}))
	}
	return r
}

func leaderDue() *row {
	r := &row{quantity: "Leader determines the due changes (10 times a second)", unit: "µs", size: "databases", target: targetDatabases}
	for _, fraction := range fractions {
		s, hosts, databases := fleetState(fraction)
		now := time.Now()
		l := daisycontroller.NewLeader(now)
		for i := range hosts {
			h := idleHeartbeat(i)
			h.Incarnation = 7
			l.Heartbeat(now, s, h)
		}
		r.add(float64(databases), microsPerCall(func() {
			if due := l.Due(now, s); len(due) > 0 {
				panic("unexpected changes are due: " + due[0].Reason)
			}
		}))
	}
	return r
}

func oneChange(s *daisyfleet.State, n uint64) (*daisyfleet.State, daisyfleet.Delta) {
	id := daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "database1"}
	o, _ := s.Get(id)
	from := s.Revision()
	s.Apply(from+1, daisyfleet.Change{ID: fmt.Sprint("change", n), Operations: []daisyfleet.Operation{{
		ID: id, ExpectedRevision: o.Revision, Value: daisyfleet.Ownership{Term: n, Holder: "host1", Incarnation: 7, Primary: "m1"},
	}}})
	return s, s.Delta(from)
}

func mergeChange() *row {
	r := &row{quantity: "Host merges one change (decode, merge)", unit: "µs", size: "objects", target: targetObjects}
	for _, fraction := range fractions {
		s, _, _ := fleetState(fraction)
		var follower daisyfleet.State
		if err := follower.Merge(s.Delta(0)); err != nil {
			panic(err)
		}
		n := uint64(0)
		r.add(objects(fraction), microsPerCall(func() {
			n++
			var d daisyfleet.Delta
			s, d = oneChange(s, n)
			decoded, err := daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &d}))
			if err != nil {
				panic(err)
			}
			if err := follower.Merge(*decoded.Reply.Delta); err != nil {
				panic(err)
			}
		}))
	}
	return r
}

func encodeChange() *row {
	r := &row{quantity: "Leader pushes one change to every host", unit: "µs", size: "hosts", target: targetHosts}
	for _, fraction := range fractions {
		s, hosts, _ := fleetState(fraction)
		s, d := oneChange(s, 1)
		from := d.From
		r.add(float64(hosts), microsPerCall(func() {
			for range hosts {
				d := s.Delta(from)
				daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &d})
			}
		}))
	}
	return r
}

func appendBytes() *row {
	r := &row{quantity: "Message that replicates changes to a follower", unit: "bytes", size: "changes", target: 1}
	s, _, _ := fleetState(0.25)
	for _, n := range []int{1, 4, 16, 64} {
		m := daisylog.Message{Kind: daisylog.KindAppend, From: 1 << 63, To: 1 << 62, Term: 9, Index: 20_000, LogTerm: 9, Commit: 20_000, Round: 1 << 30, Address: addr}
		for i := range n {
			o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "database1"})
			c := daisyfleet.Change{Reason: "holder host1 of database1 is gone; term 4 goes to host2", Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: o.Value}}}
			m.Entries = append(m.Entries, daisylog.Entry{Index: 20_001 + uint64(i), Term: 9, Change: &c})
		}
		r.add(float64(n), float64(len(daisycodec.EncodeLogMessage(m))))
	}
	return r
}

func takeSnapshot() *row {
	r := &row{quantity: "Control host takes a snapshot (encode)", unit: "µs", size: "objects", target: targetObjects}
	for _, fraction := range fractions {
		s, _, _ := fleetState(fraction)
		r.add(objects(fraction), microsPerCall(func() {
			snap := daisylog.Snapshot{Index: s.Revision(), Term: 1, State: s.Snapshot()}
			daisycodec.EncodeRecord(daisycodec.Record{Replica: 1, Snapshot: &snap})
		}))
	}
	return r
}

func grantTokens() *row {
	r := &row{quantity: "Owner grants tokens to a local bucket", unit: "µs", size: "hosts that draw from the bucket", target: 6}
	for _, hosts := range []int{1, 4, 8, 16} {
		now := time.Now()
		b := daisybucket.NewBucket(daisybucket.Limit{Rate: 1e9, Burst: 1e9}, now)
		n := 0
		r.add(float64(hosts), microsPerCall(func() {
			n++
			now = now.Add(100 * time.Microsecond)
			b.Grant(now, daisybucket.GrantRequest{Host: host(n % hosts), Want: 10, Used: 10})
		}))
	}
	return r
}

func placement() *row {
	r := &row{quantity: "Leader places one database on a host", unit: "µs", size: "hosts", target: targetHosts}
	for _, fraction := range fractions {
		s, hosts, _ := fleetState(fraction)
		candidates := daisycontroller.AvailableHosts(s, nil)
		r.add(float64(hosts), microsPerCall(func() { daisyplacement.Holder("database1", "domain1", candidates) }))
	}
	return r
}

// failureDomainLoss stops the heartbeats of the hosts in one of six failure domains
// and times the leader's decisions until every database has a holder again.
func failureDomainLoss() *row {
	r := &row{quantity: "Leader decides after the loss of a failure domain (hosts down, databases moved)", unit: "µs", size: "databases", target: targetDatabases}
	for _, fraction := range fractions {
		s, hosts, databases := fleetState(fraction)
		now := time.Now()
		l := daisycontroller.NewLeader(now)
		later := now.Add(daisycontroller.LeaseDuration + 2*daisycontroller.DriftMargin)
		for i := range hosts {
			h := idleHeartbeat(i)
			h.Incarnation = 7
			l.Heartbeat(now, s, h)
			if domain(i) != domain(0) {
				l.Heartbeat(later, s, h)
			}
		}
		start := time.Now()
		decided := 0
		for {
			due := l.Due(later, s)
			if len(due) == 0 {
				break
			}
			for _, c := range due {
				s.Apply(s.Revision()+1, c)
			}
			decided += len(due)
			l.Decided()
		}
		r.add(float64(databases), float64(time.Since(start).Microseconds()))
		if decided < databases/6 {
			panic("fewer changes were decided than the lost hosts held databases")
		}
	}
	return r
}

// walAppend times the synchronous write of changes that are proposed together.
func walAppend(t *testing.T) *row {
	r := &row{quantity: "Control host appends changes proposed together to its write-ahead log (with sync)", unit: "µs", size: "changes", target: targetDatabases / 6}
	folder := t.TempDir()
	assert.NilError(t, daisywal.Create(folder, daisylog.Bootstrap(daisylog.Peer{Replica: 1, Name: "c"})))
	l, _, err := daisywal.Open(folder)
	assert.NilError(t, err)
	for _, n := range []int{1, 50, 100, 150} {
		var entries []daisylog.Entry
		for i := range n {
			c := daisyfleet.Change{Reason: "holder host1 of database1 is gone; term 4 goes to host2", Operations: []daisyfleet.Operation{{
				ID: daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "database1"}, ExpectedRevision: 4, Value: daisyfleet.Ownership{Term: 4, Holder: "host1"},
			}}}
			entries = append(entries, daisylog.Entry{Index: 2 + uint64(i), Term: 1, Change: &c})
		}
		r.add(float64(n), microsPerCall(func() { assert.NilError(t, l.Append(nil, entries)) }))
	}
	assert.NilError(t, l.Close())
	return r
}

// TestPlacementBalance checks that no host holds more than twice the mean number of
// databases. It also removes each host in turn and logs how many databases get
// another holder although theirs is still available.
func TestPlacementBalance(t *testing.T) {
	const hosts, databases = 60, 900
	place := func(removed int) map[string]string {
		var candidates []daisyplacement.Host
		for i := range hosts {
			if i != removed {
				candidates = append(candidates, daisyplacement.Host{Name: host(i), FailureDomain: domain(i), Region: "wales"})
			}
		}
		holders := make(map[string]string)
		for d := range databases {
			name := fmt.Sprint("database", d)
			h, _ := daisyplacement.Holder(name, domain(d), candidates)
			holders[name] = h.Name
			for i := range candidates {
				if candidates[i].Name == h.Name {
					candidates[i].Load++
				}
			}
		}
		return holders
	}
	before := place(-1)
	load := make(map[string]int)
	for _, h := range before {
		load[h]++
	}
	maxLoad := 0
	for _, n := range load {
		maxLoad = max(maxLoad, n)
	}
	moved := 0
	for lost := range hosts {
		for name, h := range place(lost) {
			if before[name] != host(lost) && before[name] != h {
				moved++
			}
		}
	}
	t.Logf("loss of a host moves %.1f databases in addition to its own; the most loaded host has %d databases, the mean is %d",
		float64(moved)/hosts, maxLoad, databases/hosts)
	assert.Check(t, maxLoad <= 2*databases/hosts)
}
