package daisyconsensus_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// unknownValue is a value that no host can decode.
type unknownValue struct{}

func (unknownValue) Kind() daisyfleet.Kind { return "Unknown" }
func (unknownValue) Check() error          { return nil }

// Guards against a change in the log that its writer encodes and no host reads: it ended
// each leader in turn, and each host at its next start.
func TestUnreadableChangesAreNotProposed(t *testing.T) {
	id := daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "s"}
	tests := []struct {
		name  string
		id    daisyfleet.ID
		value daisyfleet.Value
	}{
		{"NoAddress", id, daisyfleet.Server{Service: "s"}},
		{"OtherKind", id, daisyfleet.Evacuation{}},
		{"UnknownKind", daisyfleet.ID{Kind: "Unknown", Name: "u"}, unknownValue{}},
		{"ReadAsAnother", daisyfleet.ID{Kind: daisyfleet.KindProfile, Name: "p"}, daisyfleet.Profile{Database: "d"}},
		{"TooLarge", daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}, daisyfleet.Document{Content: string(make([]byte, 16<<20))}},
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		leader := c.nodes[c.leader()]
		var revision uint64
		for _, test := range tests {
			bad := daisyfleet.Change{Reason: test.name, Operations: []daisyfleet.Operation{{ID: test.id, Value: test.value}}}
			before := c.views[c.leader()].Revision()
			decisions, err := leader.ProposeAll(t.Context(), []daisyfleet.Change{bad, change(test.name, revision)})
			assert.NilError(t, err)
			assert.Check(t, decisions[0].Err != nil, test.name)
			assert.NilError(t, decisions[1].Err)
			assert.Check(t, decisions[1].Outcome.Accepted, decisions[1].Outcome.Message)
			revision = decisions[1].Outcome.Revision
			assert.Equal(t, revision, before+1, "%s is in the log", test.name)
		}
	})
}

// Guards against a leader whose state differs from that of other hosts in what is not
// encoded of a change.
func TestLeaderAppliesWhatOthersRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close(t)
		id := daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "s"}
		started := time.Unix(7, 1)
		value := daisyfleet.Server{Service: "s", Address: nodeAddr(0), Started: started}
		leader := c.leader()
		out, err := c.nodes[leader].Propose(t.Context(), daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, Value: value}}})
		assert.NilError(t, err)
		assert.Check(t, out.Accepted, out.Message)
		got, ok := c.views[leader].Server("s")
		assert.Check(t, ok && got.Started.Equal(started.Truncate(time.Millisecond)), "%v", got.Started)
	})
}
