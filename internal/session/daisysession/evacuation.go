package daisysession

import (
	"errors"
	"fmt"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// abortDelay is how long a statement of an uncommitted transaction may go on once this
// host knows that the server is evacuated. The transaction must have ended 1 s after
// that; the gateway usually ends it sooner.
const abortDelay = 900 * time.Millisecond

// errEvacuated is returned for a statement to an evacuated server.
var errEvacuated = fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, daisyrequest.ErrEvacuated)

// errAborted is returned for a statement whose transaction was aborted while it ran.
var errAborted = errors.New("the failure domain of the backend server is evacuated")

// refuseUnservable returns the answer to a statement that only servers in evacuated
// failure domains can run, if that is so.
func (s *Session) refuseUnservable(service string, needsPrimary bool, state daisystatement.State) (a daisystatement.Answer, refused bool) {
	if !s.env.Router.Unservable(service, needsPrimary) {
		return a, false
	}
	return refusal(state, daisyrequest.NewEvacuationError())
}

// pinnedResult is the result of a request on a pinned connection.
type pinnedResult struct {
	answer daisystatement.Answer
	err    error
}

// forwardAbortable runs a request that commits nothing on the transaction's connection.
// If the server is evacuated meanwhile, it gives up after abortDelay: the transaction
// loses its connection, which is closed once the request has ended.
func (t *transaction) forwardAbortable(req daisyrequest.Request) (daisystatement.Answer, error) {
	conn, router, s := t.conn, t.session.env.Router, *t.session
	done := make(chan pinnedResult, 1)
	go func() {
		a, err := s.forwardPinned(conn, req)
		done <- pinnedResult{answer: a, err: err}
	}()
	for {
		changed := router.EvacuationsChanged()
		var abort <-chan time.Time
		if since, evacuated := router.EvacuatedSince(req.Server); evacuated {
			abort = time.After(since.Add(abortDelay).Sub(daisyclock.Now()))
		}
		select {
		case r := <-done:
			return r.answer, r.err
		case <-changed:
		case <-abort:
			t.conn = nil
			go func() {
				<-done
				conn.Close()
			}()
			return daisystatement.Answer{}, errAborted
		}
	}
}
