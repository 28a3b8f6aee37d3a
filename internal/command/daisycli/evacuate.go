package daisycli

import (
	"errors"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const (
	// evacuateAttempts is how often a change of an evacuation is tried that was made
	// against an old revision.
	evacuateAttempts = 5
	// evacuatePause is the pause between attempts, in which the host that is asked learns
	// of the change that came first.
	evacuatePause = 200 * time.Millisecond
)

func newEvacuate() *cobra.Command {
	o := &operator{}
	var undo bool
	c := &cobra.Command{
		Use: "evacuate DOMAIN", Short: "Give the backend servers of a failure domain no more work", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			for range evacuateAttempts {
				if err = o.evacuate(c, args[0], undo); !errors.Is(err, errConflict) {
					break
				}
				time.Sleep(evacuatePause)
			}
			return err
		},
	}
	o.flags(c)
	c.Flags().BoolVar(&undo, "undo", false, "withdraw the order")
	return c
}

// evacuate orders the evacuation of the failure domain, or withdraws it. It sends the
// change even if the host that is asked shows that nothing is to be done, since that host
// may have an older state; against an older revision the change is refused.
func (o *operator) evacuate(c *cobra.Command, domain string, undo bool) error {
	var objects []daisywire.Object
	if err := o.call(c.Context(), http.MethodGet, "/v1/objects/"+string(daisyfleet.KindEvacuation), nil, &objects); err != nil {
		return err
	}
	o.against = 0
	for _, object := range objects {
		if object.Name == domain {
			o.against = object.Revision
		}
	}
	object := daisywire.Object{Kind: string(daisyfleet.KindEvacuation), Name: domain, Deleted: undo}
	if !undo {
		object.Evacuation = &daisywire.Evacuation{At: time.Now().UnixNano()}
	}
	return o.change(c, object)
}
