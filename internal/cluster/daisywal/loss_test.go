package daisywal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	testFolder = "data"
	testPath   = testFolder + "/" + fileName
)

func testEntry(index uint64, bytes int) daisylog.Entry {
	change := daisyfleet.Change{ID: fmt.Sprint(index), Reason: strings.Repeat("r", bytes)}
	return daisylog.Entry{Index: index, Term: 1, Change: &change}
}

// key identifies a state.
func key(s daisylog.PersistedState) string {
	return string(daisycodec.EncodeRecord(daisycodec.Record{Replica: s.Replica, HardState: &s.HardState, Snapshot: &s.Snapshot, Entries: s.Entries}))
}

// Guards against a host that ends at each start because a loss of power tore the last
// write of its control log.
func TestTornWriteIsDropped(t *testing.T) {
	tests := []struct {
		name   string
		before int // Bytes of the text in the record before.
		bytes  int // Of the text in the record.
		step   int // Between the places at which the record is cut.
	}{
		{"Small", 300, 100, 1},
		{"Announcement", 300, 2500, 1},
		{"SplitHeader", 292, 2500, 1}, // The header lies in two sectors.
		{"DesiredState", 300, 70_000, 997},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDisk(1, nil)
			assert.NilError(t, create(d, testFolder, daisylog.Bootstrap(daisylog.Peer{Replica: 7, Name: "c1"})))
			l, _, err := open(d, testFolder)
			assert.NilError(t, err)
			assert.NilError(t, l.Append(&daisylog.HardState{Term: 2, Vote: 7}, []daisylog.Entry{testEntry(2, tt.before)}))
			before, err := d.readFile(testPath)
			assert.NilError(t, err)
			assert.NilError(t, l.Append(nil, []daisylog.Entry{testEntry(3, tt.bytes)}))
			content, err := d.readFile(testPath)
			assert.NilError(t, err)
			record := content[len(before):]

			tried, refused := make(map[string]int), make(map[string]int)
			check := func(shape string, torn []byte) {
				tried[shape]++
				if err := checkTorn(before, torn, bytes.Equal(torn, record)); err != nil {
					refused[shape]++
					if refused[shape] == 1 {
						t.Errorf("%s: %v", shape, err)
					}
				}
			}
			zeros := func() []byte { return make([]byte, len(record)) }
			check("AllZero", zeros())
			for i := 0; i < len(record); i += tt.step {
				check("Beginning", record[:i])
				torn := zeros()
				copy(torn, record[:i])
				check("BeginningThenZeros", torn)
				torn = zeros()
				copy(torn[i:], record[i:])
				check("ZerosThenEnd", torn)
			}
			for _, size := range []int{512, 4096} {
				parts := sectors(len(before), len(content), size)
				for _, present := range subsets(len(parts), 512) {
					torn := zeros()
					for i, part := range parts {
						if present[i] {
							copy(torn[part[0]-len(before):], content[part[0]:part[1]])
						}
					}
					check(fmt.Sprintf("Sectors%d", size), torn)
				}
			}
			t.Logf("tried: %v; refused: %v", tried, refused)
		})
	}
}

// checkTorn checks that a log that ends with the torn record opens with the state
// before it, can be appended to and opens again.
func checkTorn(before, torn []byte, complete bool) error {
	d := newDiskOf(append(slices.Clone(before), torn...))
	l, s, err := open(d, testFolder)
	if err != nil {
		return err
	}
	want := 1
	if complete {
		want = 2
	}
	if len(s.Entries) != want {
		return fmt.Errorf("%d entries are read, want %d", len(s.Entries), want)
	}
	if err := l.Append(nil, []daisylog.Entry{testEntry(uint64(want)+2, 700)}); err != nil {
		return err
	}
	if _, s, err = open(d, testFolder); err != nil {
		return fmt.Errorf("after an append: %w", err)
	}
	if len(s.Entries) != want+1 {
		return fmt.Errorf("%d entries are read after an append, want %d", len(s.Entries), want+1)
	}
	return nil
}

// subsets returns all subsets of n things if there are at most most of them, or
// otherwise as many by a fixed seed.
func subsets(n, most int) [][]bool {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	all := n < 62 && 1<<n <= most
	count := most
	if all {
		count = 1 << n
	}
	var subsets [][]bool
	for i := range count {
		subset := make([]bool, n)
		for j := range subset {
			if all {
				subset[j] = i>>j&1 == 1
			} else {
				subset[j] = random.IntN(2) == 0
			}
		}
		subsets = append(subsets, subset)
	}
	return subsets
}

// Guards against confirmed changes that are lost, or a log that is refused for good,
// if power is lost at any step and again at any later one.
func TestConfirmedIsKeptOverLossesOfPower(t *testing.T) {
	playPairs(t, losesPower, losesPower)
}

// Guards against confirmed changes that are lost with a name that was not synced: a
// process ends at any step, the next one goes on, and power is lost.
func TestConfirmedIsKeptAfterProcessEnds(t *testing.T) {
	playPairs(t, ends, ends)
	playPairs(t, ends, losesPower)
	playPairs(t, losesPower, ends)
}

// Guards against confirmed changes that are lost if an operation of the disk fails at
// any step, the log is opened again, by the same process or the next one, and power is
// lost.
func TestConfirmedIsKeptAfterFaultOfDisk(t *testing.T) {
	playPairs(t, fails, fails)
	playPairs(t, fails, ends)
	playPairs(t, fails, losesPower)
	playPairs(t, ends, fails)
	playPairs(t, losesPower, fails)
}

// playPairs plays the events at each pair of steps, and a loss of power at the end.
func playPairs(t *testing.T, first, second event) {
	t.Helper()
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	refused, plays := 0, 0
	for i := 1; ; i++ {
		steps := 0
		for j := i + 1; j == i+1 || j <= steps+1; j++ {
			for seed := range seeds {
				p := &play{disk: newDisk(seed, map[int]event{i: first, j: second})}
				plays++
				if err := p.run(); err != nil {
					refused++
					if refused == 1 {
						t.Errorf("%v and %v at steps %d and %d, seed %d: %v", first, second, i, j, seed, err)
					}
				}
				steps = max(steps, p.disk.steps)
			}
		}
		if steps < i {
			t.Logf("%v and %v: %d of %d plays failed", first, second, refused, plays)
			return
		}
	}
}

// play is a host that uses a log on a disk with faults.
type play struct {
	disk      *disk
	log       *Log
	state     daisylog.PersistedState // What the host holds.
	confirmed string                  // Key of the last state that was saved or read; empty if none was.
	attempted string                  // Key of the state that a failed operation was to save, or empty.
}

// run opens a log, saves states until all are and checks what is read each time.
func (p *play) run() error {
	if err := p.open(); err != nil {
		return err
	}
	for i := range 6 {
		if err := p.save(i); err != nil {
			return err
		}
	}
	// All events have passed, and everything is confirmed.
	p.disk.events = nil
	for range 2 {
		p.disk.ended = losesPower
		if err := p.open(); err != nil {
			return fmt.Errorf("at the end: %w", err)
		}
		if err := p.save(0); err != nil {
			return fmt.Errorf("at the end: %w", err)
		}
	}
	return nil
}

// save appends to the log or replaces it. If that fails it opens the log again.
func (p *play) save(i int) error {
	var err error
	next := p.state
	next.HardState.Term++
	last := next.Snapshot.Index + uint64(len(next.Entries))
	if i == 2 && len(next.Entries) > 1 {
		next.Snapshot.Index++
		next.Entries = next.Entries[1:]
		err = p.log.Replace(next.HardState, next.Snapshot, next.Entries)
	} else {
		entry := testEntry(last+1, 700)
		next.Entries = append(slices.Clone(next.Entries), entry)
		err = p.log.Append(&next.HardState, []daisylog.Entry{entry})
	}
	if err != nil {
		p.attempted = key(next)
		return p.open()
	}
	p.state, p.confirmed = next, key(next)
	return nil
}

// open opens the log, after a start of the process if it has ended, until no event
// prevents that.
func (p *play) open() error {
	for {
		if p.disk.ended != nothing {
			p.log = nil
		}
		p.disk.restart()
		l, s, err := open(p.disk, testFolder)
		switch {
		case errors.Is(err, errFault) || errors.Is(err, errEnded):
			continue
		case errors.Is(err, ErrNotFound) && p.confirmed == "":
			initial := daisylog.Bootstrap(daisylog.Peer{Replica: 7, Name: "c1"})
			p.attempted = key(initial)
			switch err := create(p.disk, testFolder, initial); {
			case err == nil:
				p.confirmed = key(initial)
			case !errors.Is(err, errFault) && !errors.Is(err, errEnded):
				return err
			}
			continue
		case err != nil:
			return err
		}
		if k := key(s); k != p.confirmed && k != p.attempted {
			return fmt.Errorf("a state of term %d with %d entries from %d on is read, which is not the last one that was confirmed",
				s.HardState.Term, len(s.Entries), s.Snapshot.Index)
		}
		p.log, p.state, p.confirmed, p.attempted = l, s, key(s), ""
		return nil
	}
}
