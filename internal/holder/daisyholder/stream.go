package daisyholder

import (
	"context"
	"errors"
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/holder/daisyposition"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

// readAttempts is how many members a read may be tried on.
const readAttempts = 2

// retrySoon is when to come back after a condition that passes quickly.
const retrySoon = 250 * time.Millisecond

// lane runs the transactions of one session at a time in this host's groups.
type lane struct {
	holder *Holder
	tx     *transaction
}

// Do implements daisystream.Lane.
func (l *lane) Do(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	if refusal := l.admit(ctx, r); refusal != nil {
		l.Close()
		return emit(&daisystream.Answer{ID: r.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: r.MinPosition, Refusal: refusal})
	}
	if l.tx != nil {
		return l.finish(l.tx.exec(ctx, r, emit))
	}
	return l.begin(ctx, r, emit)
}

// admit takes the request's tokens.
func (l *lane) admit(ctx context.Context, r *daisystream.Request) *daisystream.Refusal {
	profile, ok := l.holder.options.View.Profile(r.Profile)
	if !ok {
		return &daisystream.Refusal{Code: daisystream.CodeNotNow, Message: "not run: profile is not known", Cause: daisystream.CauseRequest}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	retry := l.holder.options.Limiter.Take(ctx, r.Workspace, profile.Cost)
	if retry == 0 {
		return nil
	}
	return &daisystream.Refusal{
		Code: daisystream.CodeLimit, Message: "not run: the workspace is over its rate",
		RetryAfter: retry, Cause: daisystream.CauseLimit,
	}
}

// begin runs the first request of a transaction, a read on up to two members.
func (l *lane) begin(ctx context.Context, r *daisystream.Request, emit func(*daisystream.Answer) error) error {
	var attempt outcome
	for range readAttempts {
		tx, refusal := l.open(ctx, r)
		if refusal != nil {
			return emit(&daisystream.Answer{ID: r.ID, Final: true, Status: daisystream.StatusIdle, MinPosition: r.MinPosition, Refusal: refusal})
		}
		l.tx = tx
		attempt = tx.exec(ctx, r, emit)
		if !attempt.retry {
			break
		}
		l.Close()
	}
	return l.finish(attempt)
}

// finish emits the last part and keeps or ends the transaction.
func (l *lane) finish(o outcome) error {
	switch {
	case o.broken:
		l.Close()
	case o.answer.Status == daisystream.StatusIdle && l.tx != nil:
		tx := l.tx
		l.tx = nil
		tx.group.leave()
		tx.group.wait.Go(tx.use.recycle)
	}
	if o.err != nil {
		return o.err
	}
	return o.emit(o.answer)
}

// Close implements daisystream.Lane.
func (l *lane) Close() {
	if l.tx == nil {
		return
	}
	l.tx.use.discard()
	l.tx.group.leave()
	l.tx = nil
}

// open chooses a member and takes a connection to it.
func (l *lane) open(ctx context.Context, r *daisystream.Request) (*transaction, *daisystream.Refusal) {
	profile, _ := l.holder.options.View.Profile(r.Profile)
	g := l.holder.group(profile.Database)
	if g == nil || !l.holder.options.Lease.Valid() {
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

// connect routes the transaction and waits for a connection.
func (t *transaction) connect(ctx context.Context, r *daisystream.Request) *daisystream.Refusal {
	name := t.route(r)
	t.group.mu.Lock()
	p := t.group.pools[name]
	t.replica = name != t.group.primary
	t.group.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	u, err := p.take(ctx, r.Workspace)
	if err == nil {
		t.use = u
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

// route returns the member that serves the transaction: for a read the least
// busy replica that has reached the floor, else the primary.
func (t *transaction) route(r *daisystream.Request) string {
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	t.floor = r.MinPosition
	if r.NewSession || t.profile.Session == daisyfleet.SessionKey {
		t.floor = daisystream.Later(t.floor, g.ledger.MinPosition(callerOf(r)))
	}
	best := g.primary
	if !t.readOnly {
		return best
	}
	least := 0
	for _, name := range g.ledger.Replicas(nil, t.floor, t.profile.MaxAge, time.Now()) {
		p := g.pools[name]
		if p == nil || p.isLeaving() {
			continue
		}
		if busy := p.queue.Busy(); best == g.primary || busy < least {
			best, least = name, busy
		}
	}
	return best
}

func callerOf(r *daisystream.Request) daisyposition.Caller {
	return daisyposition.Caller{Workspace: r.Workspace, Key: r.Key}
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
