package main

import (
	"context"
	"fmt"
	"time"
)

// playDrain has a replica start anew and leave. The rule is that no request reaches it
// later than drainMs after its report that it is draining was acknowledged.
func playDrain(ctx context.Context, f *fleet, trouble bool) error {
	const (
		drainTime = 7 * time.Second
		serves    = 14 * time.Second // After the acknowledgement.
		firstLife = 1500 * time.Millisecond
		clockStep = 2400 * time.Millisecond
	)
	g := f.groups[0]
	m := g.members[2]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range f.entries {
		if err := f.read(ctx, fmt.Sprintf("reader %d", i+1), i); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second) // All machines are in touch.

	// The time of day of the member's machine is ahead when it starts, and jumps back.
	step := clockStep
	if !trouble {
		step = 0
	}
	f.record.note("%s crashes and starts again under its ID; its clock is %v ahead", m.id, step)
	m.crash()
	time.Sleep(restartDelay)
	if err := m.restart(time.Now().Add(step).UnixMilli()); err != nil {
		return err
	}
	go m.ping(ctx)
	time.Sleep(firstLife)
	f.record.note("%s crashes and starts again under its ID; its clock has jumped back by %v", m.id, step)
	m.crash()
	time.Sleep(restartDelay)
	if err := m.restart(time.Now().UnixMilli()); err != nil {
		return err
	}
	m.ping(ctx)
	confirmed := make(chan time.Time, 100)
	g.mu.Lock()
	m.draining = true
	m.onPing = func(state string, status int, answered time.Time) {
		f.record.note("%s: its ping %q is answered with %d", m.id, state, status)
		if state == "draining" {
			confirmed <- answered
		}
	}
	g.mu.Unlock()
	go m.ping(ctx)
	var at time.Time
	select {
	case at = <-confirmed:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.record.note("%s is draining, as acknowledged", m.id)
	time.Sleep(serves)
	late, all := 0, 0
	for _, r := range g.history() {
		if r.member != m.id || r.id == "-" || !r.at.After(at) {
			continue
		}
		all++
		if after := r.at.Sub(at); after > drainTime {
			late++
			f.record.note("%s runs %s %s, %v after the acknowledgement", m.id, r.id, r.text, after.Round(time.Millisecond))
		}
	}
	f.record.note("%d requests reached %s after the acknowledgement", all, m.id)
	if late > 0 {
		f.record.breach("%d requests reached %s later than %v after it was acknowledged that it is draining", late, m.id, drainTime)
	}
	return nil
}

// read opens a session that reads until ctx is done.
func (f *fleet) read(ctx context.Context, name string, entry int) error {
	s, err := f.open(ctx, name, entry, boundedDatabase)
	if err != nil {
		return err
	}
	s.quiet = true
	go func() {
		const interval = 60 * time.Millisecond
		for n := 0; ctx.Err() == nil; n++ {
			a, err := s.do(fmt.Sprintf("FETCH item%d", n%100))
			if err != nil {
				f.record.note("%s: %v", name, err)
				return
			}
			if !a.ok() {
				f.record.note("%s: %s answered %s", name, a.id, a.failure)
			}
			time.Sleep(interval)
		}
	}()
	return nil
}
