package daisyholder

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// readAttempts is the maximum number of attempts to run a read.
const readAttempts = 2

// retrySoon is the retry delay suggested after a short-lived condition.
const retrySoon = 250 * time.Millisecond

// stream runs the transactions of one session, one at a time, on this host's
// groups.
type stream struct {
	holder *Holder
	tx     *transaction
}

// Do implements daisystream.Stream.
func (s *stream) Do(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	if refusal := s.admit(ctx, r); refusal != nil {
		s.Close()
		return emit(&daisystream.Answer{ID: r.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: r.MinPosition, Refusal: refusal})
	}
	if s.tx != nil {
		return s.finish(s.tx.exec(ctx, r, emit))
	}
	return s.begin(ctx, r, emit)
}

// admit takes the request's rate-limit tokens. It does not wait for them, and takes none,
// for a transaction that this host cannot begin since the database has moved.
func (s *stream) admit(ctx context.Context, r *daisystream.Request) *daisystream.Refusal {
	profile, ok := s.holder.options.View.Profile(r.Profile)
	if !ok {
		return &daisystream.Refusal{Code: daisystream.CodeNotNow, Message: "not run: profile is not known", Cause: daisystream.CauseRequest}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	moved := func() bool { return false }
	if s.tx == nil {
		g := s.holder.group(profile.Database)
		if g == nil || g.leaves() {
			return refuse(daisystream.CauseMoved)
		}
		moved = g.leaves
		defer context.AfterFunc(g.ctx, cancel)()
	}
	retry := s.holder.options.Limiter.Take(ctx, r.Workspace, profile.Cost)
	switch {
	case retry == 0:
		return nil
	case moved():
		return refuse(daisystream.CauseMoved)
	}
	return &daisystream.Refusal{
		Code: daisystream.CodeLimit, Message: "not run: the workspace is over its rate",
		RetryAfter: retry, Cause: daisystream.CauseLimit,
	}
}

// begin runs the first request of a transaction. It retries a read once if the
// connection is lost before any part of the answer was emitted.
func (s *stream) begin(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	var attempt outcome
	for range readAttempts {
		tx, refusal := s.open(ctx, r)
		if refusal != nil {
			return emit(&daisystream.Answer{ID: r.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: r.MinPosition, Refusal: refusal})
		}
		s.tx = tx
		attempt = tx.exec(ctx, r, emit)
		if !attempt.retry {
			break
		}
		s.Close()
	}
	return s.finish(attempt)
}

// finish ends the transaction if the request ended it or broke its connection,
// and emits the last part of the answer.
func (s *stream) finish(o outcome) error {
	switch {
	case o.broken:
		s.Close()
	case o.answer.Status == daisystream.StatusIdle && s.tx != nil:
		tx := s.tx
		s.tx = nil
		tx.group.leave()
		if len(tx.streamed) > 0 {
			tx.pooled.discard()
			break
		}
		tx.group.wait.Go(tx.pooled.recycle)
	}
	if o.err != nil {
		return o.err
	}
	return o.emit(o.answer)
}

// Close implements daisystream.Stream.
func (s *stream) Close() {
	if s.tx == nil {
		return
	}
	s.tx.pooled.discard()
	s.tx.group.leave()
	s.tx = nil
}

// open begins a transaction: it chooses a member and takes a connection to it.
func (s *stream) open(ctx context.Context, r *daisystream.Request) (*transaction, *daisystream.Refusal) {
	profile, _ := s.holder.options.View.Profile(r.Profile)
	g := s.holder.group(profile.Database)
	if g == nil || !s.holder.options.Lease.Valid() {
		return nil, refuse(daisystream.CauseMoved)
	}
	if cause, ok := g.enter(); !ok {
		return nil, refuse(cause)
	}
	tx := &transaction{group: g, profile: profile, readOnly: r.ReadOnly || profile.ReadOnly}
	if refusal := tx.connect(ctx, r); refusal != nil {
		g.leave()
		return nil, refusal
	}
	return tx, nil
}

// connect chooses a member for the transaction and waits for a connection to it.
func (t *transaction) connect(ctx context.Context, r *daisystream.Request) *daisystream.Refusal {
	name := t.route(r)
	t.group.mu.Lock()
	p := t.group.pools[name]
	t.replica = name != t.group.primary
	t.group.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	c, err := p.acquire(ctx, r.Workspace)
	if err == nil {
		t.pooled = c
		return nil
	}
	if t.replica {
		t.group.forgetReplica(name)
	}
	if errors.Is(err, daisyqueue.ErrClosed) {
		return refuse(daisystream.CauseMoved)
	}
	return refuse(daisystream.CauseConnection)
}

// route returns the member that serves the transaction.
func (t *transaction) route(r *daisystream.Request) string {
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	t.minPosition = r.MinPosition
	if r.NewSession || t.profile.Session == daisyfleet.SessionKey {
		t.minPosition = daisystream.Later(t.minPosition, g.positions.MinPosition(clientOf(r)))
	}
	return best(g.choices(t.profile, t.readOnly, t.minPosition), g.primary)
}

func clientOf(r *daisystream.Request) daisyposition.Client {
	return daisyposition.Client{Workspace: r.Workspace, Key: r.Key}
}

func (t *transaction) majority() bool {
	return t.profile.Acknowledge == daisyfleet.AcknowledgeMajority
}

// refuse returns the refusal of a request that was not run.
func refuse(c daisystream.Cause) *daisystream.Refusal {
	r := &daisystream.Refusal{Code: daisystream.CodeNotNow, Cause: c, RetryAfter: retrySoon}
	switch c {
	case daisystream.CauseConnection:
		r.Code = daisystream.CodeNoConnection
		r.Message = "not run: no connection to the database was free in time"
	case daisystream.CauseMoved:
		r.Message = "not run: the database moved to another host"
	default:
		r.Message = "not run: the database is changing its primary"
	}
	return r
}
