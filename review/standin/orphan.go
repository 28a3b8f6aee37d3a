package main

import (
	"errors"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// successorDelay is the time from the loss of a machine to the start of its successor.
	successorDelay = time.Second
	// freezeTime is how long the control host stands still.
	freezeTime = 4 * time.Second
	// catchUpTime is how long a machine counts as lost after it is back.
	catchUpTime = 4 * time.Second
	// wipedDownTime is how long a machine that loses its disk is down.
	wipedDownTime = time.Second
)

// orphan replaces a control host by an empty one at another address. The disruption freezes
// the control leader meanwhile. Once all are back for longer than catchUpTime, a desired
// state is acknowledged, and two control hosts lose their disks. It must be read back.
func orphan(w *world, trouble bool) (verdict, error) {
	controls := w.fleet.ofRole("control")
	gone := controls[len(controls)-1]
	w.fleet.kill(gone)
	w.rec.line("%s is gone for good", gone.name)
	time.Sleep(successorDelay)
	w.fleet.add("control", len(controls))
	successor := w.fleet.ofRole("control")[len(controls)]
	successor.bootstrap = false
	if err := w.fleet.start(successor); err != nil {
		return "", err
	}
	w.rec.line("%s starts with an empty disk", successor.name)
	time.Sleep(successorDelay)
	leader, err := w.leader(controls[:len(controls)-1])
	if err != nil {
		return "", err
	}
	w.rec.line("%s leads", leader.name)
	if trouble {
		w.rec.line("SIGSTOP to %s", leader.name)
		_ = leader.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		w.rec.line("SIGCONT to %s", leader.name)
		_ = leader.command.Process.Signal(syscall.SIGCONT)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(2 * catchUpTime)
	if err := w.operator.put(desired(2, []string{firstKey}, w.groups...), ackTime); err != nil {
		return "", err
	}
	if leader, err = w.leader(controls[:len(controls)-1]); err != nil {
		return "", err
	}
	for _, p := range []*process{leader, successor} {
		w.fleet.kill(p)
		w.rec.line("%s loses its disk", p.name)
		if err := os.RemoveAll(filepath.Join(p.folder, "data")); err != nil {
			return "", err
		}
	}
	time.Sleep(wipedDownTime)
	for _, p := range []*process{leader, successor} {
		w.rec.line("%s starts with an empty disk", p.name)
		if err := w.fleet.start(p); err != nil {
			return "", err
		}
	}
	back := time.Now()
	version, ok := w.operator.version(3 * recoverTime)
	w.awaitServed(back)
	switch {
	case !ok:
		return "version 2 of the desired state was acknowledged and is not read back 36 s after the two control hosts are back", nil
	case version < 2:
		return "the desired state that is read back is older than the acknowledged version 2", nil
	}
	return "", nil
}

// awaitServed records whether an entry host serves a write within recoverTime.
func (w *world) awaitServed(since time.Time) {
	err := w.awaitWrite(w.fleet.ofRole("entry")[0], recoverTime)
	if err != nil {
		w.rec.line("no write is served %v after all machines are back: %v", time.Since(since).Round(time.Second), err)
		return
	}
	w.rec.line("a write is served")
}

// leader returns the control host that answers for the desired state or to which the
// others redirect.
func (w *world) leader(hosts []*process) (*process, error) {
	for until := time.Now().Add(ackTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, p := range w.fleet.ofRole("control") {
			response, err := noRedirects.Get("http://" + w.fleet.controlAddr(p) + "/config")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			address := w.fleet.controlAddr(p)
			if response.StatusCode == http.StatusTemporaryRedirect {
				if to, err := url.Parse(response.Header.Get("Location")); err == nil {
					address = to.Host
				}
			} else if response.StatusCode != http.StatusOK {
				continue
			}
			for _, h := range hosts {
				if w.fleet.controlAddr(h) == address {
					return h, nil
				}
			}
		}
	}
	return nil, errors.New("no control host leads")
}
