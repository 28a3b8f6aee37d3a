package main

import (
	"fmt"
	"time"
)

// downTime is how long the members of case expired are down.
const downTime = 15 * time.Second

// expired crashes the primary and the replica that has received all acknowledged writes,
// and starts both again after downTime. The other replica is a little behind. No member may
// be promoted whose log lacks an acknowledged write.
func expired(w *world, trouble bool) (verdict, error) {
	g := w.groups[0]
	if err := w.raiseRate(); err != nil {
		return "", err
	}
	var promoted *member
	var log []entry
	g.mu.Lock()
	g.promoteTime = sheetPromoteTime
	g.members[1].lag, g.members[2].lag = shortLag, longLag
	g.promoted = func(m *member) {
		if promoted == nil {
			promoted, log = m, append([]entry(nil), m.log...)
		}
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	writes := w.writers(stop)
	time.Sleep(3 * time.Second)
	crashed := time.Now()
	if trouble {
		for _, m := range g.members[:2] {
			m.isolate()
		}
	}
	time.Sleep(downTime)
	if trouble {
		for _, m := range g.members[:2] {
			if err := m.restart(); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(recoverTime)
	close(stop)
	all := writes()
	g.mu.Lock()
	defer g.mu.Unlock()
	if promoted == nil {
		w.rec.line("%d writes were acknowledged, and no member was promoted", len(all))
		return "", nil
	}
	held := make(map[string]bool)
	for _, e := range log {
		for _, written := range e.writes {
			held[written[0]] = true
		}
	}
	before, lost := 0, 0
	why := verdict("")
	for _, a := range all {
		if a.at.After(crashed) {
			continue
		}
		before++
		if held[a.item] {
			continue
		}
		lost++
		if why == "" {
			why = verdict(fmt.Sprintf("%s was promoted without the write of item %s, which had been acknowledged", promoted.id, a.item))
		}
	}
	w.rec.line("%d writes were acknowledged before the crash; the log of %s, which was promoted, lacks %d of them", before, promoted.id, lost)
	return why, nil
}
