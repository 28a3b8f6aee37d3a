package daisysession

import (
	"context"
	"time"
)

const (
	// firstPause is the pause after the first attempt at a statement that was not
	// run.
	firstPause = 25 * time.Millisecond
	// maxPause bounds the pause, which doubles with each attempt: servers and
	// gateways that cannot serve a statement now are spared most attempts.
	maxPause = 200 * time.Millisecond
)

// retrier paces the attempts at one statement.
type retrier struct {
	env     *Environment
	pause   time.Duration // Before the next attempt.
	changed <-chan struct{}
	client  context.Context
}

// begin is called before each attempt.
func (r *retrier) begin(s *Session) {
	r.env, r.changed, r.client = s.env, s.env.Router.Changed(), s.clientContext()
}

// wait pauses before the next attempt, which it begins early if the host's view of
// the fleet has changed since the last one began. It returns false if the pause
// would end after until, if the client has left, or if the host has lost control, so that
// nothing will change.
func (r *retrier) wait(until time.Time) bool {
	r.pause = min(max(2*r.pause, firstPause), maxPause)
	if time.Until(until) < r.pause || r.env.controlLost() {
		return false
	}
	select {
	case <-r.changed:
	case <-time.After(r.pause):
	case <-r.client.Done():
	}
	return r.client.Err() == nil
}
