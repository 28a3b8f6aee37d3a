package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is how long a statement runs: within the 300 ms of the site file.
	longWork = 250 * time.Millisecond
	// lossSlack is within which a request that was not passed on may be lost.
	lossSlack = 200 * time.Millisecond
	// busyConsumers is the number of consumers at the host that is stopped, fewer than a
	// database has connections.
	busyConsumers = 4
	// hangupDelay is the time from SIGTERM to SIGHUP.
	hangupDelay = time.Second
)

// cutOff is a request whose connection ended without a complete answer.
type cutOff struct {
	id     string
	waited time.Duration
	err    error
}

// hangup stops an entry host as planned while consumers use it. The disruption changes the
// seeds in all settings files meanwhile, and tells all processes so with SIGHUP. No request
// that was passed on, or was sent more than lossSlack before, may go without an answer.
func hangup(w *world, trouble bool) (verdict, error) {
	entry := w.fleet.ofRole("entry")[0]
	g := w.groups[0]
	g.mu.Lock()
	g.work = longWork
	g.mu.Unlock()
	var mu sync.Mutex
	var lost []cutOff
	answered := 0
	var wait sync.WaitGroup
	for i := range busyConsumers {
		s, err := connect(w.rec, fmt.Sprintf("consumer %d", i+1), w.fleet.frontAddr(entry), database(g, "primary"))
		if err != nil {
			return "", err
		}
		wait.Go(func() {
			defer s.close()
			for {
				id, sent := w.id(), time.Now()
				_, err := s.query(id, "FETCH first")
				mu.Lock()
				if err == nil {
					answered++
				} else if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
					lost = append(lost, cutOff{id: id, waited: time.Since(sent), err: err})
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.fleet.mu.Lock()
	entry.expected = true
	done := entry.done
	w.fleet.mu.Unlock()
	w.rec.line("SIGTERM to %s", entry.name)
	stopped := time.Now()
	_ = entry.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(hangupDelay)
	if trouble {
		if err := w.changeSeeds(); err != nil {
			return "", err
		}
	}
	select {
	case <-done:
	case <-time.After(graceSeconds*time.Second - time.Since(stopped)):
		w.rec.line("SIGKILL to %s", entry.name)
		_ = entry.command.Process.Signal(os.Kill)
		<-done
	}
	w.rec.line("%s has ended %v after SIGTERM", entry.name, time.Since(stopped).Round(time.Millisecond))
	wait.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	broken, why := 0, verdict("")
	for _, l := range lost {
		w.rec.line("id %s: no answer after %v, passed on to a member: %t, %v", l.id, l.waited.Round(time.Millisecond), g.arrived[l.id], l.err)
		if !g.arrived[l.id] && l.waited <= lossSlack {
			continue
		}
		broken++
		why = verdict(fmt.Sprintf("%d requests that were read, and passed on to a member or sent more than %v before, got no answer in a planned stop", broken, lossSlack))
	}
	w.rec.line("%d requests were answered, %d connections ended with a request open, %d of them against the rule", answered, len(lost), broken)
	return why, nil
}

// changeSeeds names other control hosts as seeds in all settings files, and sends SIGHUP to
// all processes.
func (w *world) changeSeeds() error {
	w.fleet.mu.Lock()
	w.fleet.seed = 2
	w.fleet.mu.Unlock()
	for _, role := range []string{"control", "entry"} {
		for _, p := range w.fleet.ofRole(role) {
			if err := w.fleet.writeSettings(p); err != nil {
				return err
			}
			w.rec.line("the settings of %s name other seeds; SIGHUP", p.name)
			_ = p.command.Process.Signal(syscall.SIGHUP)
		}
	}
	return nil
}
