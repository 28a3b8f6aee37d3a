package daisycoordinator

import (
	"context"
	"sync"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// resendDelay is the time after which a delta is sent again to a host that still
// states an earlier revision. Until then the delta may be on its way, perhaps in the
// queue of a slow network link, which copies of it would only make longer.
const resendDelay = 1500 * time.Millisecond

// sender sends messages to one host.
type sender interface {
	Send(ctx context.Context, message []byte) error
}

// encodeDelta returns the message that carries the delta to hosts of
// daisylink.ProtocolLoad or later. It is compressed once for all of them.
func encodeDelta(d *daisyfleet.Delta) []byte {
	return daisycodec.Compress(daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: d}))
}

// replication brings the state of one host up to date over one link. Messages arrive
// in the order in which they are sent, so a delta that was sent once need not be sent
// again.
type replication struct {
	coordinator *Coordinator
	link        sender
	legacy      bool // The host speaks a protocol before daisylink.ProtocolLoad.

	mu     sync.Mutex // Held while messages are sent, so that deltas stay in order.
	sent   uint64     // The revision that the host has once it has received all that was sent; 0 if unknown.
	sentAt time.Time  // When the last delta was sent.
}

// update sends what the host lacks. Held is the revision that the host states to have;
// 0 if it has no state.
func (r *replication) update(ctx context.Context, held uint64) error {
	now := daisyclock.Now()
	from := held
	if held < r.sent && now.Sub(r.sentAt) < resendDelay {
		from = r.sent
	}
	messages, to := r.messages(from)
	r.sent = max(to, held)
	for _, m := range messages {
		r.sentAt = now
		if err := r.link.Send(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// messages returns the messages that lead from a revision to the present one.
func (r *replication) messages(from uint64) (messages [][]byte, to uint64) {
	if r.legacy {
		return r.coordinator.legacyMessages(from)
	}
	return r.coordinator.deltaMessages(from)
}

// answer sends what the host lacks and then the reply to its heartbeat. The reply names
// the revision that the host must have for the lease.
func (r *replication) answer(ctx context.Context, held uint64, reply daisyheartbeat.Reply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.update(ctx, held); err != nil {
		return err
	}
	reply.Revision = r.sent
	return r.link.Send(ctx, daisycodec.EncodeHeartbeatReply(reply))
}

// push sends the changes since the last message, if the host has a state, and reports
// whether there were any.
func (r *replication) push(ctx context.Context) (pushed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == 0 || r.sent >= r.coordinator.view.Revision() {
		return false, nil
	}
	return true, r.update(ctx, r.sent)
}

// deltaCache holds the encoded deltas to the present revision, by the revision from
// which they lead. Most hosts lack the same changes.
type deltaCache struct {
	mu       sync.Mutex
	to       uint64
	messages map[uint64][]byte
}

// deltaMessages returns the encoded messages that lead from a revision to the present
// one, and that revision. From revision 0 they begin with the full state.
func (c *Coordinator) deltaMessages(from uint64) (messages [][]byte, to uint64) {
	c.mu.Lock()
	c.view.Read(func(s *daisyfleet.State) {
		to = s.Revision()
		if from == 0 && to > 0 {
			c.refreshFullState(s)
			messages, from = append(messages, c.fullState.message), c.fullState.revision
		}
	})
	c.mu.Unlock()
	if from >= to {
		return messages, to
	}
	message, to := c.delta(from)
	return append(messages, message), to
}

// delta returns the encoded delta from the revision to the present one.
func (c *Coordinator) delta(from uint64) (message []byte, to uint64) {
	c.deltas.mu.Lock()
	defer c.deltas.mu.Unlock()
	var delta daisyfleet.Delta
	c.view.Read(func(s *daisyfleet.State) {
		to = s.Revision()
		if to == c.deltas.to && c.deltas.messages[from] != nil {
			return
		}
		delta = s.Delta(from)
	})
	if to != c.deltas.to || c.deltas.messages == nil {
		c.deltas.to, c.deltas.messages = to, make(map[uint64][]byte)
	}
	if c.deltas.messages[from] == nil {
		c.deltas.messages[from] = encodeDelta(&delta)
	}
	return c.deltas.messages[from], to
}
