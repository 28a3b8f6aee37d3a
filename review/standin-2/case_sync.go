package main

import (
	"context"
	"time"
)

// playSync has the primary of a service with a synchronous replica crash while that replica
// is being replaced and the other one receives nothing. The rule is that the member that is
// promoted has all commits that were acknowledged.
func playSync(ctx context.Context, f *fleet, trouble bool) error {
	const (
		calm   = 3 * time.Second
		writes = 20
	)
	g := f.groups[0]
	if err := f.setSync(ctx, g); err != nil {
		return err
	}
	time.Sleep(calm)
	if trouble {
		if err := f.drain(ctx, g.members[1]); err != nil {
			return err
		}
	}
	f.record.note("%s receives nothing from the primary", g.members[2].id)
	g.setDeaf(true, g.members[2])
	acknowledged, err := f.write(ctx, writes)
	if err != nil {
		return err
	}
	f.record.note("the primary %s crashes", g.members[0].id)
	g.members[0].crash()
	if err := g.awaitTerm(ctx, 2); err != nil {
		return err
	}
	f.judgeCommits(g, acknowledged)
	return nil
}

// drain has a member report that it is draining, and waits until that is acknowledged.
func (f *fleet) drain(ctx context.Context, m *member) error {
	confirmed := make(chan struct{}, 1)
	m.group.mu.Lock()
	m.draining = true
	m.onPing = func(state string, status int, _ time.Time) {
		if state != "draining" {
			return
		}
		select {
		case confirmed <- struct{}{}:
			f.record.note("%s is draining, as acknowledged with %d", m.id, status)
		default:
		}
	}
	m.group.mu.Unlock()
	go m.ping(ctx)
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
