package daisyforwarder

import "sync/atomic"

// Counts are totals of a forwarder since it was created. Calls of the local
// gateway do not count.
type Counts struct {
	Calls       uint64 // Statement requests sent to other hosts.
	TimedOut    uint64 // Calls whose reply had not arrived by their deadline.
	LateReplies uint64 // Replies that arrived after their call had timed out.
	LinksFailed uint64 // Links that could not be opened.
	LinksLost   uint64 // Links that were lost after they had been open.
}

// counters are the running Counts.
type counters struct {
	calls, timedOut, lateReplies, linksFailed, linksLost atomic.Uint64
}

// Counts returns the totals so far.
func (f *Forwarder) Counts() Counts {
	c := &f.counters
	return Counts{
		Calls: c.calls.Load(), TimedOut: c.timedOut.Load(), LateReplies: c.lateReplies.Load(),
		LinksFailed: c.linksFailed.Load(), LinksLost: c.linksLost.Load(),
	}
}
