package main

import (
	"context"
	"fmt"
	"time"
)

// routeEntry is an entry host in the failure domain of a replica.
const routeEntry = 1

// playRoute moves a route to another service and back. The rule is that a read of a
// read_your_writes route does not run on a log that lacks a commit of its own session.
func playRoute(ctx context.Context, f *fleet, trouble bool) error {
	const (
		attempts = 6
		lag      = 1800 * time.Millisecond
		reads    = 12
	)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.read(ctx, "reader", routeEntry); err != nil {
		return err
	}
	home, other := f.groups[0], f.groups[1]
	d := newDocument()
	move := func(service string) error {
		d.Version += 3
		if trouble {
			d.Routes[2]["service"] = service
		}
		return f.operator.apply(ctx, d)
	}
	// The log of the home service is longer than that of the other.
	filler, err := f.open(ctx, "filler", 0, strictDatabase)
	if err != nil {
		return err
	}
	for n := range 20 {
		if _, err := filler.must(fmt.Sprintf("STORE filler%d x", n)); err != nil {
			return err
		}
	}
	home.setLag(lag)
	time.Sleep(3 * time.Second)
	for n := range attempts {
		s, err := f.open(ctx, fmt.Sprintf("session %d", n+1), routeEntry, ownDatabase)
		if err != nil {
			return err
		}
		own, err := s.must(fmt.Sprintf("STORE own%d written", n))
		if err != nil {
			return err
		}
		if err := move(other.service); err != nil {
			return err
		}
		if err := f.awaitService(ctx, trouble, other); err != nil {
			return err
		}
		if _, err := s.must(fmt.Sprintf("STORE second%d x", n)); err != nil {
			return err
		}
		if err := move(home.service); err != nil {
			return err
		}
		if err := f.awaitService(ctx, true, home); err != nil {
			return err
		}
		for range reads {
			a, err := s.do(fmt.Sprintf("FETCH own%d", n))
			if err != nil {
				return err
			}
			f.judgeRead(home, own, a)
		}
		s.close()
		time.Sleep(3 * time.Second)
	}
	return nil
}

// awaitService waits until the entry host sends statements of the route to the service.
func (f *fleet) awaitService(ctx context.Context, moved bool, g *group) error {
	if !moved {
		return nil
	}
	s, err := f.open(ctx, "probe", routeEntry, ownDatabase)
	if err != nil {
		return err
	}
	defer s.close()
	s.quiet = true
	return poll(ctx, func() bool {
		a, err := s.do("STORE probe x")
		if err != nil || !a.ok() {
			return false
		}
		_, ok := g.ranAs(a.id)
		return ok
	})
}

// judgeRead checks the answer to a read of the session that wrote.
func (f *fleet) judgeRead(g *group, write, read answer) {
	w, wrote := g.ranAs(write.id)
	r, ran := g.ranAs(read.id)
	if !wrote || !ran {
		return
	}
	f.record.note("%s ran %s on a log of %d entries; the write of the session is entry %d", r.member, read.id, r.number, w.commit)
	if read.ok() && r.number < w.commit {
		f.record.breach("%s ran the read %s on a log that lacks the commit %d of its own session, acknowledged before; the client got %q", r.member, read.id, w.commit, read.rows)
	}
}
