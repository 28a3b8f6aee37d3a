package daisyfleet_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func workspace(rate float64) daisyfleet.Workspace {
	return daisyfleet.Workspace{Home: "d", Rate: rate, Burst: 1}
}

func put(id, name string, against uint64, rate float64) daisyfleet.Change {
	return daisyfleet.Change{ID: id, Operations: []daisyfleet.Operation{{
		ID: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: name}, ExpectedRevision: against, Value: workspace(rate),
	}}}
}

func remove(id, name string, against uint64) daisyfleet.Change {
	c := put(id, name, against, 1)
	c.Operations[0].Value = nil
	return c
}

func TestApply(t *testing.T) {
	tests := []struct {
		name    string
		changes []daisyfleet.Change
		want    []bool
	}{
		{"Create", []daisyfleet.Change{put("a", "w", 0, 1)}, []bool{true}},
		{"CreateTwice", []daisyfleet.Change{put("a", "w", 0, 1), put("b", "w", 0, 2)}, []bool{true, false}},
		{"Replace", []daisyfleet.Change{put("a", "w", 0, 1), put("b", "w", 1, 2)}, []bool{true, true}},
		{"RaceOnEqualRevisions", []daisyfleet.Change{put("a", "w", 0, 1), put("b", "w", 1, 2), put("c", "w", 1, 3)}, []bool{true, true, false}},
		{"SentAgain", []daisyfleet.Change{put("a", "w", 0, 1), put("a", "w", 0, 1)}, []bool{true, true}},
		{"RefusalSentAgain", []daisyfleet.Change{put("a", "w", 7, 1), put("b", "w", 0, 1), put("a", "w", 2, 1)}, []bool{false, true, false}},
		{"Delete", []daisyfleet.Change{put("a", "w", 0, 1), remove("b", "w", 1), put("c", "w", 0, 1)}, []bool{true, true, true}},
		{"Invalid", []daisyfleet.Change{put("a", "w", 0, -1)}, []bool{false}},
		{"AllOrNothing", []daisyfleet.Change{{ID: "a", Operations: append(put("", "v", 0, 1).Operations, put("", "w", 9, 1).Operations...)}, put("b", "v", 0, 1)}, []bool{false, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s daisyfleet.State
			for i, c := range test.changes {
				assert.Equal(t, s.Apply(uint64(i+1), c).Accepted, test.want[i], "change %d", i)
			}
		})
	}
}

// TestFirstOutcomeSurvivesSnapshot checks that a change that is sent again after
// a snapshot was restored gets its first outcome.
func TestFirstOutcomeSurvivesSnapshot(t *testing.T) {
	var s, restored daisyfleet.State
	first := s.Apply(1, put("a", "w", 0, 1))
	s.Apply(2, put("b", "w", 1, 2))
	restored.Restore(s.Snapshot())
	assert.Equal(t, restored.Apply(3, put("a", "w", 0, 1)), first)
}

// TestFollowersConverge applies random changes and lets followers merge deltas
// that are late, repeated, reordered or skipped: the revision of a follower never
// decreases, and one that merges the latest delta holds the leader's objects.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var leader daisyfleet.State
		followers := make([]daisyfleet.State, 3)
		var earlier []daisyfleet.Delta
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			randomChange(rt, &leader, uint64(i+1))
			f := &followers[rapid.IntRange(0, 2).Draw(rt, "follower")]
			before := f.Revision()
			if len(earlier) > 0 && rapid.Bool().Draw(rt, "late") {
				_ = f.Merge(earlier[rapid.IntRange(0, len(earlier)-1).Draw(rt, "old")])
			}
			d := leader.Delta(f.Revision())
			earlier = append(earlier, d)
			if rapid.Bool().Draw(rt, "merge") {
				assert.NilError(rt, f.Merge(d))
				assert.DeepEqual(rt, objects(f), objects(&leader))
			}
			assert.Check(rt, f.Revision() >= before)
		}
	})
}

func randomChange(rt *rapid.T, s *daisyfleet.State, index uint64) {
	name := fmt.Sprint("w", rapid.IntRange(0, 4).Draw(rt, "name"))
	o, _ := s.Get(daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: name})
	c := put(fmt.Sprint(index), name, o.Revision, float64(index))
	if o.Value != nil && rapid.Bool().Draw(rt, "delete") {
		c = remove(fmt.Sprint(index), name, o.Revision)
	}
	s.Apply(index, c)
}

func objects(s *daisyfleet.State) []daisyfleet.Object {
	var all []daisyfleet.Object
	s.EachSorted(daisyfleet.KindWorkspace, func(o daisyfleet.Object) { all = append(all, o) })
	return all
}

// TestDeltaBeforeCompactedRevision checks that a follower that missed more changes
// than are kept gets the full state, including deletions.
func TestDeltaBeforeCompactedRevision(t *testing.T) {
	var leader, follower daisyfleet.State
	leader.Apply(1, put("first", "gone", 0, 1))
	assert.NilError(t, follower.Merge(leader.Delta(0)))
	leader.Apply(2, remove("second", "gone", 1))
	for i := range uint64(20_000) {
		name := fmt.Sprint("w", i%7)
		o, _ := leader.Get(daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: name})
		leader.Apply(3+i, put(fmt.Sprint(i), name, o.Revision, 1))
	}
	assert.NilError(t, follower.Merge(leader.Delta(follower.Revision())))
	assert.DeepEqual(t, objects(&follower), objects(&leader))
}
