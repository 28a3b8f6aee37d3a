package daisysandbox

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/host/daisyops"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// OperatorClient sends an operator's requests to the operations interfaces of the hosts.
type OperatorClient struct {
	URLs  []string
	Token string
	HTTP  *http.Client
}

var errRefused = errors.New("change was refused")

// Change submits a change and returns an error unless it is accepted.
func (c *OperatorClient) Change(ctx context.Context, change daisyfleet.Change) error {
	outcome, err := c.Submit(ctx, change)
	if err == nil && !outcome.Accepted {
		err = fmt.Errorf("%w: %s", errRefused, outcome.Message)
	}
	return err
}

// Submit sends the change to one host after the other until one returns its outcome. The
// change must have an ID, so that repeating it has no further effect.
func (c *OperatorClient) Submit(ctx context.Context, change daisyfleet.Change) (o daisyfleet.Outcome, err error) {
	body, err := json.Marshal(daisycodec.FromChange(change))
	if err != nil {
		return o, err
	}
	for i := 0; ; i++ {
		text, err := send(ctx, c.HTTP, http.MethodPost, c.URLs[i%len(c.URLs)]+"/v1/changes", c.Token, body)
		if err == nil {
			var wire daisywire.Outcome
			err = json.Unmarshal(text, &wire)
			return daisycodec.ToOutcome(wire), err
		}
		select {
		case <-time.After(setupRetryInterval):
		case <-ctx.Done():
			return o, errors.Join(err, ctx.Err())
		}
	}
}

// Status returns the status of the host with the given index.
func (c *OperatorClient) Status(ctx context.Context, host int) (s daisyops.Status, err error) {
	defer daisyerror.Annotate(&err, "status of %s", c.URLs[host])
	text, err := send(ctx, c.HTTP, http.MethodGet, c.URLs[host]+"/v1/status", c.Token, nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}
