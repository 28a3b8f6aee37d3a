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

	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/control/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/control/daisyplacement"
	"github.com/daisyglade/daisyglade/internal/control/daisywal"
	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

var slopesFile = flag.String("slopes", "", "file to write the table of slopes to")

// The target, and what a database brings with it.
const (
	targetHosts      = 410
	targetDatabases  = 920
	membersEach      = 3
	workspacesEach   = 2
	keysEach         = 4
	profilesOverall  = 40
	objectsPerTarget = targetHosts + targetDatabases*(2+membersEach+workspacesEach+keysEach) + profilesOverall
)

// parts are the shares of the target at which costs are measured.
var parts = []float64{0.25, 0.5, 0.75, 1}

var addr = netip.MustParseAddrPort("10.1.2.3:7401")

// fleetState returns the state of a fleet of the share of the target's size.
func fleetState(part float64) (s *daisyfleet.State, hosts, databases int) {
	s = &daisyfleet.State{}
	hosts, databases = int(part*targetHosts), int(part*targetDatabases)
	index := uint64(0)
	put := func(name string, v daisyfleet.Value) {
		index++
		s.Apply(index, daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: v.Kind(), Name: name}, Value: v}}})
	}
	for i := range hosts {
		put(host(i), daisyfleet.Host{Incarnation: 7, Address: addr, FailureDomain: domain(i), Region: "wales", Up: true})
	}
	for i := range profilesOverall {
		put(fmt.Sprint("profile", i), daisyfleet.Profile{Database: "database0", Acknowledge: daisyfleet.AcknowledgeMajority, Session: daisyfleet.SessionKey, Cost: 1, Wait: time.Second, Objective: 0.999})
	}
	for i := range databases {
		name := fmt.Sprint("database", i)
		put(name, daisyfleet.Database{Connections: 30, Members: membersEach})
		for m := range membersEach {
			put(daisyfleet.MemberName(name, fmt.Sprint("m", m)), daisyfleet.Member{Database: name, Address: addr, FailureDomain: domain(m)})
		}
		for w := range workspacesEach {
			workspace := fmt.Sprintf("workspace%d-%d", i, w)
			put(workspace, daisyfleet.Workspace{Home: name, Rate: 100, Burst: 50})
			for k := range keysEach / workspacesEach {
				put(fmt.Sprintf("%s-%d", workspace, k), daisyfleet.Key{Workspace: workspace, Hash: [32]byte{byte(k)}})
			}
		}
		put(name, daisyfleet.Ownership{Term: 3, Holder: host(i % hosts), Incarnation: 7, Primary: "m0"})
	}
	return s, hosts, databases
}

func host(i int) string { return fmt.Sprint("host", i) }

func domain(i int) string { return fmt.Sprint("domain", i%6) }

// row is one line of the table.
type row struct {
	what, size, unit string
	sizes, costs     []float64
	target           float64
}

func (r *row) note(size, cost float64) {
	r.sizes = append(r.sizes, size)
	r.costs = append(r.costs, cost)
}

func (r *row) text() string {
	l := daisyregression.Fit(r.sizes, r.costs)
	var measured []string
	for i := range r.sizes {
		measured = append(measured, fmt.Sprintf("%.0f: %.4g", r.sizes[i], r.costs[i]))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.4g |\n", r.what, r.unit, r.size, strings.Join(measured, "; "), l, l.At(r.target))
}

// timed returns the time that one call takes, from enough calls to measure.
func timed(f func()) float64 {
	const atLeast = 150 * time.Millisecond
	f()
	for n := 1; ; n *= 2 {
		began := time.Now()
		for range n {
			f()
		}
		if took := time.Since(began); took > atLeast {
			return float64(took.Nanoseconds()) / float64(n) / 1000
		}
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func idleBeat(i int) daisyheartbeat.Heartbeat {
	return daisyheartbeat.Heartbeat{
		ID: 1_000_000, Host: host(i), Incarnation: rand.Uint64() | 1<<63, Address: addr, FailureDomain: domain(i),
		Region: "wales", Revision: 20_000,
	}
}

// TestSlopes measures the control plane's costs at several sizes with the real
// codec and the real decisions, and prints them with their fits.
func TestSlopes(t *testing.T) {
	if *slopesFile == "" {
		t.Skip("measures; give -slopes FILE")
	}
	rows := []*row{
		stateHeap(), wholeDelta(), beatBytes(), leaderBeat(), leaderDue(), mergeChange(), encodeChange(), appendBytes(), snapshot(), takeTokens(), placement(), lostDomain(), diskAppend(t),
	}
	var b strings.Builder
	b.WriteString("| what | unit | size | measured | fit | at the target |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		b.WriteString(r.text())
	}
	t.Log("\n" + b.String())
	assert.NilError(t, os.WriteFile(*slopesFile, []byte(b.String()), 0o600))
}

func objects(part float64) float64 { return part * objectsPerTarget }

func stateHeap() *row {
	r := &row{what: "State held by every host", unit: "bytes of heap", size: "objects", target: objectsPerTarget}
	for _, p := range parts {
		before := heap()
		s, _, _ := fleetState(p)
		r.note(objects(p), heap()-before)
		runtime.KeepAlive(s)
	}
	return r
}

func wholeDelta() *row {
	r := &row{what: "Whole state sent to a host that restarts", unit: "bytes", size: "objects", target: objectsPerTarget}
	for _, p := range parts {
		s, _, _ := fleetState(p)
		d := s.Delta(0)
		r.note(objects(p), float64(len(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{ID: 1, Delta: &d}))))
	}
	return r
}

func beatBytes() *row {
	r := &row{what: "Heartbeat and reply without news", unit: "bytes", size: "backend servers announced in it", target: 0}
	for _, n := range []int{0, 4, 8, 16} {
		b := idleBeat(300)
		for i := range n {
			b.Announcements = append(b.Announcements, daisyheartbeat.Announcement{Member: "m1", Age: time.Second, Value: daisyfleet.Member{
				Database: fmt.Sprint("database", 700+i), Address: addr, FailureDomain: domain(i),
			}})
		}
		reply := daisyheartbeat.Reply{ID: b.ID, Lease: daisycontroller.LeaseDuration, Leader: addr}
		r.note(float64(n), float64(len(daisycodec.EncodeHeartbeat(b))+len(daisycodec.EncodeHeartbeatReply(reply))))
	}
	return r
}

func leaderBeat() *row {
	r := &row{what: "Leader answers a heartbeat (decode, decide, encode)", unit: "µs", size: "hosts", target: targetHosts}
	for _, p := range parts {
		s, hosts, _ := fleetState(p)
		l := daisycontroller.NewLeader(time.Now())
		i := 0
		r.note(float64(hosts), timed(func() {
			i++
			b := idleBeat(i % hosts)
			u, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(b))
			if err != nil {
				panic(err)
			}
			reply := daisyheartbeat.Reply{ID: b.ID, Leader: addr, Lease: l.Heartbeat(time.Now(), s, *u.Heartbeat), Probes: l.Probes(time.Now(), s, b.Host)}
			daisycodec.EncodeHeartbeatReply(reply)
		}))
	}
	return r
}

func leaderDue() *row {
	r := &row{what: "Leader looks for what is due (10 times a second)", unit: "µs", size: "databases", target: targetDatabases}
	for _, p := range parts {
		s, hosts, databases := fleetState(p)
		now := time.Now()
		l := daisycontroller.NewLeader(now)
		for i := range hosts {
			b := idleBeat(i)
			b.Incarnation = 7
			l.Heartbeat(now, s, b)
		}
		r.note(float64(databases), timed(func() {
			if due := l.Due(now, s); len(due) > 0 {
				panic("changes are due: " + due[0].Reason)
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
	r := &row{what: "Host merges one change (decode, merge)", unit: "µs", size: "objects", target: objectsPerTarget}
	for _, p := range parts {
		s, _, _ := fleetState(p)
		var follower daisyfleet.State
		if err := follower.Merge(s.Delta(0)); err != nil {
			panic(err)
		}
		n := uint64(0)
		r.note(objects(p), timed(func() {
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
	r := &row{what: "Leader pushes one change to every host", unit: "µs", size: "hosts", target: targetHosts}
	for _, p := range parts {
		s, hosts, _ := fleetState(p)
		s, d := oneChange(s, 1)
		from := d.From
		r.note(float64(hosts), timed(func() {
			for range hosts {
				d := s.Delta(from)
				daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &d})
			}
		}))
	}
	return r
}

func appendBytes() *row {
	r := &row{what: "Message that replicates changes to a follower", unit: "bytes", size: "changes", target: 1}
	s, _, _ := fleetState(0.25)
	for _, n := range []int{1, 4, 16, 64} {
		m := daisylog.Message{Kind: daisylog.KindAppend, From: 1 << 63, To: 1 << 62, Term: 9, Index: 20_000, LogTerm: 9, Commit: 20_000, Round: 1 << 30, Address: addr}
		for i := range n {
			o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindOwnership, Name: "database1"})
			c := daisyfleet.Change{Reason: "holder host1 of database1 is gone; term 4 goes to host2", Operations: []daisyfleet.Operation{{ID: o.ID, ExpectedRevision: o.Revision, Value: o.Value}}}
			m.Entries = append(m.Entries, daisylog.Entry{Index: 20_001 + uint64(i), Term: 9, Change: &c})
		}
		r.note(float64(n), float64(len(daisycodec.EncodeLogMessage(m))))
	}
	return r
}

func snapshot() *row {
	r := &row{what: "Control host takes a snapshot (encode)", unit: "µs", size: "objects", target: objectsPerTarget}
	for _, p := range parts {
		s, _, _ := fleetState(p)
		r.note(objects(p), timed(func() {
			img := daisylog.Snapshot{Index: s.Revision(), Term: 1, State: s.Snapshot()}
			daisycodec.EncodeRecord(daisycodec.Record{Replica: 1, Snapshot: &img})
		}))
	}
	return r
}

func takeTokens() *row {
	r := &row{what: "Owner grants tokens to a purse", unit: "µs", size: "hosts that draw from the bucket", target: 6}
	for _, hosts := range []int{1, 4, 8, 16} {
		now := time.Now()
		b := daisybucket.NewBucket(daisybucket.Limit{Rate: 1e9, Burst: 1e9}, now)
		n := 0
		r.note(float64(hosts), timed(func() {
			n++
			now = now.Add(100 * time.Microsecond)
			b.Grant(now, daisybucket.GrantRequest{Host: host(n % hosts), Want: 10, Used: 10})
		}))
	}
	return r
}

func placement() *row {
	r := &row{what: "Leader places one database on a host", unit: "µs", size: "hosts", target: targetHosts}
	for _, p := range parts {
		s, hosts, _ := fleetState(p)
		candidates := daisycontroller.AvailableHosts(s, nil)
		r.note(float64(hosts), timed(func() { daisyplacement.Holder("database1", "domain1", candidates) }))
	}
	return r
}

// lostDomain lets the hosts of one failure domain of six fall silent and times
// the leader's decisions until every database has a holder again.
func lostDomain() *row {
	r := &row{what: "Leader decides on a lost failure domain (hosts down, databases moved)", unit: "µs", size: "databases", target: targetDatabases}
	for _, p := range parts {
		s, hosts, databases := fleetState(p)
		began := time.Now()
		l := daisycontroller.NewLeader(began)
		later := began.Add(daisycontroller.LeaseDuration + 2*daisycontroller.DriftMargin)
		for i := range hosts {
			b := idleBeat(i)
			b.Incarnation = 7
			l.Heartbeat(began, s, b)
			if domain(i) != domain(0) {
				l.Heartbeat(later, s, b)
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
		r.note(float64(databases), float64(time.Since(start).Microseconds()))
		if decided < databases/6 {
			panic("too little was decided")
		}
	}
	return r
}

// diskAppend times the synced write of changes that are proposed together.
func diskAppend(t *testing.T) *row {
	r := &row{what: "Control host saves changes proposed together (with sync)", unit: "µs", size: "changes", target: targetDatabases / 6}
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
		r.note(float64(n), timed(func() { assert.NilError(t, l.Append(nil, entries)) }))
	}
	assert.NilError(t, l.Close())
	return r
}

// TestPlacementMovesLittle loses each host in turn and counts the databases
// that get another holder although theirs is there.
func TestPlacementMovesLittle(t *testing.T) {
	const hosts, databases = 60, 900
	place := func(without int) map[string]string {
		var candidates []daisyplacement.Host
		for i := range hosts {
			if i != without {
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
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	moved := 0
	for lost := range hosts {
		for name, h := range place(lost) {
			if before[name] != host(lost) && before[name] != h {
				moved++
			}
		}
	}
	t.Logf("placing anew moves %.1f databases more than the lost host had; the most loaded host has %d of a mean of %d",
		float64(moved)/hosts, most, databases/hosts)
	assert.Check(t, most <= 2*databases/hosts)
}
