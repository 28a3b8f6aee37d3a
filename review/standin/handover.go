package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// sheetPromoteTime is the promotion time on the sheet of pegwen-pool.
	sheetPromoteTime = time.Second
	// shortLag and longLag are the mean and the largest lag in its site file.
	shortLag = 20 * time.Millisecond
	longLag  = 120 * time.Millisecond
	// writePause is the pause between two writes of a consumer.
	writePause = 10 * time.Millisecond
	// consumersPerHost is the number of consumers that write at each entry host.
	consumersPerHost = 2
	// ampleRate is a rate limit that these consumers do not reach.
	ampleRate = 1000
	// killTime is how long the control host that was killed is down.
	killTime = 3 * time.Second
)

// acknowledged is a write whose success was told to its consumer.
type acknowledged struct {
	id   string
	item string
	at   time.Time
}

// leadership is the time from which a member leads.
type leadership struct {
	member string
	term   uint64
	from   time.Time
}

// handover drains the primary, so that another member is promoted. The disruption kills the
// control host that ordered the promotion, right after the platform has accepted the order.
// No write may be committed at a member after a later promotion took effect, and be
// acknowledged.
func handover(w *world, trouble bool) (verdict, error) {
	g := w.groups[0]
	if err := w.raiseRate(); err != nil {
		return "", err
	}
	var led []leadership
	g.mu.Lock()
	g.promoteTime = sheetPromoteTime
	g.members[1].lag, g.members[2].lag = longLag, shortLag
	g.promoted = func(m *member) { led = append(led, leadership{member: m.id, term: m.term, from: time.Now()}) }
	g.mu.Unlock()
	if trouble {
		w.killOnPromotion()
	}
	stop := make(chan struct{})
	writes := w.writers(stop)
	time.Sleep(3 * time.Second)
	w.rec.line("member %s says that it is draining", g.members[0].id)
	g.mu.Lock()
	g.members[0].draining = true
	g.mu.Unlock()
	time.Sleep(recoverTime)
	close(stop)
	all := writes()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(led) == 0 {
		return "", fmt.Errorf("no member was promoted within %v", recoverTime)
	}
	return w.judgeLeaderships(g, all, led), nil
}

// raiseRate gives the tenant a rate limit that its consumers do not reach.
func (w *world) raiseRate() error {
	d := desired(2, []string{firstKey}, w.groups[0])
	tenant := d["tenants"].([]map[string]any)[0]
	tenant["ratePerS"], tenant["burst"] = ampleRate, ampleRate
	return w.operator.put(d, ackTime)
}

// killOnPromotion kills the control host that orders the first promotion, and starts it
// again after killTime.
func (w *world) killOnPromotion() {
	var once sync.Once
	kill := func(holder string) {
		once.Do(func() {
			all := w.fleet.ofRole("control")
			i := slices.IndexFunc(all, func(p *process) bool { return p.name == holder })
			if i < 0 {
				return
			}
			w.fleet.kill(all[i])
			time.Sleep(killTime)
			if err := w.fleet.start(all[i]); err != nil {
				w.rec.line("process %s could not be started again: %v", holder, err)
			}
		})
	}
	onPromotion.Store(&kill)
}

// writers starts consumers that write one item after the other until stop is closed. The
// returned function waits for them and returns the writes that were acknowledged.
func (w *world) writers(stop <-chan struct{}) func() []acknowledged {
	var mu sync.Mutex
	var all []acknowledged
	var wait sync.WaitGroup
	for _, p := range w.fleet.ofRole("entry") {
		for i := range consumersPerHost {
			wait.Go(func() {
				mine := w.write(p, fmt.Sprintf("%s-%d", p.name, i+1), stop)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, mine...)
			})
		}
	}
	return func() []acknowledged {
		wait.Wait()
		return all
	}
}

// write writes new items at an entry host until stop is closed, and connects again after an error.
func (w *world) write(p *process, name string, stop <-chan struct{}) (done []acknowledged) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return done
		case <-time.After(writePause):
		}
		if s == nil {
			var err error
			if s, err = connect(w.rec, "consumer "+name, w.fleet.frontAddr(p), database(w.groups[0], "primary")); err != nil {
				s = nil
				continue
			}
		}
		id, written := w.id(), fmt.Sprintf("%s-%d", name, n)
		a, err := s.query(id, "STORE "+written+" x")
		switch {
		case err != nil:
			s.close()
			s = nil
		case a.failure == "":
			done = append(done, acknowledged{id: id, item: written, at: time.Now()})
		}
	}
}

// judgeLeaderships returns a verdict if an acknowledged write was committed at a member
// after another one had begun to lead; g.mu is held.
func (w *world) judgeLeaderships(g *group, all []acknowledged, led []leadership) (why verdict) {
	told := make(map[string]bool)
	for _, a := range all {
		told[a.id] = true
	}
	broken := 0
	for _, r := range g.runs {
		if !r.committed || !told[r.id] {
			continue
		}
		// The member that led last when the write was committed.
		i := slices.IndexFunc(led, func(l leadership) bool { return l.from.After(r.at) })
		if i < 0 {
			i = len(led)
		}
		if i == 0 || led[i-1].member == r.member {
			continue
		}
		broken++
		if why == "" {
			why = verdict(fmt.Sprintf("write %s was committed at %s and acknowledged, %v after %s had begun to lead in term %d",
				r.id, r.member, r.at.Sub(led[i-1].from).Round(time.Millisecond), led[i-1].member, led[i-1].term))
		}
	}
	w.rec.line("%d writes were acknowledged, %d of them committed at a member that had been replaced; %d members were promoted", len(all), broken, len(led))
	return why
}
