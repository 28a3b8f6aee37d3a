package daisyforwarder

import "time"

// baselineAge is how long the shortest transit time of a link is remembered at
// least. Within twice that, clocks drift by a few milliseconds.
const baselineAge = 10 * time.Second

// transit estimates how long the messages of a link are held up on their way, in
// queues of the network and of both hosts: by how much longer a message took than
// the fastest of the last seconds. The clocks of the two hosts need not agree. It is
// not safe for concurrent use.
type transit struct {
	opened          time.Time
	began           time.Time // Of the present period.
	least, previous time.Duration
	known, older    bool // Whether least and previous are set.
}

// delay returns by how much a message was held up that was sent at the given time on
// the sender's clock since the link was opened, and received at now.
func (t *transit) delay(sent time.Duration, now time.Time) time.Duration {
	if t.opened.IsZero() {
		t.opened, t.began = now, now
	}
	if age := now.Sub(t.began); age > baselineAge {
		t.previous, t.older = t.least, t.known && age <= 2*baselineAge
		t.began, t.known = now, false
	}
	took := now.Sub(t.opened) - sent
	if !t.known || took < t.least {
		t.least, t.known = took, true
	}
	fastest := t.least
	if t.older {
		fastest = min(fastest, t.previous)
	}
	return took - fastest
}
