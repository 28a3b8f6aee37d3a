package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// playTerm has two primaries of a service with a synchronous replica crash one after the
// other. The first comes back with writes that were never acknowledged. The rule is that the
// member that is promoted has all commits that were acknowledged.
func playTerm(ctx context.Context, f *fleet, trouble bool) error {
	const (
		calm    = 3 * time.Second
		down    = 7 * time.Second
		hanging = 12
		before  = 10
		writes  = 2
	)
	g := f.groups[0]
	if err := f.setSync(ctx, g); err != nil {
		return err
	}
	time.Sleep(calm)
	first := g.members[0]
	if _, err := f.write(ctx, before); err != nil {
		return err
	}
	f.record.note("the replicas of %s receive nothing from the primary", g.service)
	g.setDeaf(true)
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := range hanging {
		s, err := f.open(ctx, fmt.Sprintf("hanging client %d", n+1), n%entryHosts, strictDatabase)
		if err != nil {
			return err
		}
		wait.Go(func() {
			_, _ = s.do(fmt.Sprintf("STORE hanging%d x", n))
			s.close()
		})
	}
	time.Sleep(callTimeout / 2)
	f.record.note("the primary %s crashes", first.id)
	crashed := time.Now()
	first.crash()
	wait.Wait()
	g.setDeaf(false)
	if err := g.awaitTerm(ctx, 2); err != nil {
		return err
	}
	acknowledged, err := f.write(ctx, writes)
	if err != nil {
		return err
	}
	second, _ := g.leads()
	if trouble {
		time.Sleep(time.Until(crashed.Add(down - time.Second)))
		f.record.note("the primary %s crashes", second)
		g.member(second).crash()
	}
	time.Sleep(time.Until(crashed.Add(down)))
	f.record.note("%s comes back with its log", first.id)
	if err := first.restart(time.Now().UnixMilli()); err != nil {
		return err
	}
	go first.ping(ctx)
	if trouble {
		if err := g.awaitTerm(ctx, 3); err != nil {
			return err
		}
	} else {
		time.Sleep(calm)
	}
	f.judgeCommits(g, acknowledged)
	return nil
}

// write sends writes until the number of them is acknowledged, and returns these.
func (f *fleet) write(ctx context.Context, writes int) (acknowledged []answer, err error) {
	for n := 0; len(acknowledged) < writes && ctx.Err() == nil; n++ {
		s, err := f.open(ctx, "client", n%entryHosts, strictDatabase)
		if err != nil {
			return nil, err
		}
		a, err := s.do(fmt.Sprintf("STORE item%d data%d", n, n))
		s.close()
		if err == nil && a.ok() {
			acknowledged = append(acknowledged, a)
		}
	}
	return acknowledged, ctx.Err()
}

// setSync has the service acknowledge a commit once one replica has received it.
func (f *fleet) setSync(ctx context.Context, g *group) error {
	d := newDocument()
	d.Version = 4
	d.Services[0]["syncReplicas"] = 1
	if err := f.operator.apply(ctx, d); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync = 1
	return nil
}

// judgeCommits checks that the primary has the acknowledged commits.
func (f *fleet) judgeCommits(g *group, acknowledged []answer) {
	leader, term := g.leads()
	lost := 0
	for _, a := range acknowledged {
		if !g.holds(a.id) {
			lost++
			f.record.note("the acknowledged commit of %s (%s) is not in the log of %s", a.id, a.text, leader)
		}
	}
	f.record.note("%s leads %s in term %d", leader, g.service, term)
	if lost > 0 {
		f.record.breach("%d of %d acknowledged commits are not in the log of %s, which was promoted", lost, len(acknowledged), leader)
	}
}
