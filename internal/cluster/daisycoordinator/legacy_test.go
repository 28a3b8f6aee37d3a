package daisycoordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

// Guards against an evacuation that cuts hosts of earlier protocols off from control:
// their decoders refuse every message with an object that they do not know.
func TestLegacyHostsAreNotSentEvacuations(t *testing.T) {
	tests := []struct {
		name   string
		legacy bool
		want   int // Objects sent: the desired state, and the order if the host knows such.
	}{
		{"Legacy", true, 1},
		{"Latest", false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view, link := daisyfleet.NewView(), &recordingLink{}
			r := &replication{coordinator: &Coordinator{view: view}, link: link, legacy: test.legacy}
			assert.NilError(t, view.Update(func(s *daisyfleet.State) error {
				s.Apply(1, daisyfleet.Change{Operations: []daisyfleet.Operation{
					{ID: daisyfleet.ID{Kind: daisyfleet.KindEvacuation, Name: "north"}, Value: daisyfleet.Evacuation{}},
				}})
				return nil
			}))
			putDocument(t, view, 1)
			assert.NilError(t, r.answer(t.Context(), 0, daisyheartbeat.Reply{ID: 1}))
			assert.Equal(t, len(link.deltas[0].Objects), test.want)
			assert.Equal(t, link.replies[0].Revision, view.Revision())
		})
	}
}
