// Command standin runs the scripted cases of the review: it starts the system's own
// processes, plays members, platform, operator and consumers, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseTimeout ends a case that hangs, before the two minutes that a script may take.
const caseTimeout = 110 * time.Second

// verdict is why the rule counts as broken; empty if it held.
type verdict string

// cases are the cases by name. Each is told whether to bring about the disruption.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"handover": handover,
	"orphan":   orphan,
	"hangup":   hangup,
	"expired":  expired,
	"poison":   unreadablePing,
	"revoked":  revokedKey,
	"text":     changedText,
	"leaving":  leavingReplica,
	"branch":   oldBranch,
}

const firstKey = "u6wsjnbanfqasnmgkcuy"

// world is a running deployment.
type world struct {
	rec      *record
	fleet    *fleet
	groups   []*group
	sync     int // The syncReplicas of the service.
	operator *caller
	nextID   atomic.Uint64
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(name, folder string) int {
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %t", name, trouble)
	run := cases[name]
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if run == nil || err != nil {
		rec.line("unknown case, or no root: %v", err)
		return exitCannotRun
	}
	w := &world{rec: rec}
	if name == "leaving" || name == "branch" || name == "expired" {
		w.sync = 1
	}
	defer w.close()
	go w.closeOnSignal()
	why := verdict("")
	if err = w.open(root); err == nil {
		why, err = run(w, trouble)
	}
	switch {
	case why != "":
		rec.line("RULE BROKEN: %s", why)
		fmt.Println("rule broken:", why)
		return exitBroken
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCannotRun
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// closeOnSignal ends all processes when the case is ended or takes too long.
func (w *world) closeOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(caseTimeout):
	}
	w.rec.line("the case was ended, or took too long")
	w.close()
	os.Exit(exitCannotRun)
}

// open starts a deployment of five control hosts, three entry hosts and a service of
// three members, and awaits that it serves.
func (w *world) open(root string) (err error) {
	const controls, entries, members = 5, 3, 3
	if _, err := os.Stat(filepath.Join(root, "target", "daisyglade")); err != nil {
		return fmt.Errorf("the system is not built: %w", err)
	}
	if w.fleet, err = newFleet(w.rec, root, controls, entries); err != nil {
		return err
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", w.fleet.folder)
	}
	g, err := newGroup(w.rec, "huvo11a", w.fleet.network, members)
	if err != nil {
		return err
	}
	g.sync = w.sync
	w.groups = []*group{g}
	if w.fleet.cloud, err = serveCloud(w.rec, w.fleet.network, w.groups...); err != nil {
		return err
	}
	for _, role := range []string{"control", "entry"} {
		for _, p := range w.fleet.ofRole(role) {
			if err := w.fleet.start(p); err != nil {
				return err
			}
		}
	}
	for i, m := range g.members {
		go m.announce(&caller{rec: w.rec, fleet: w.fleet, next: i})
	}
	w.operator = &caller{rec: w.rec, fleet: w.fleet}
	if err := w.operator.put(desired(1, []string{firstKey}, w.groups...), startupTime); err != nil {
		return err
	}
	return w.awaitService()
}

// awaitService waits until each entry host has run a write.
func (w *world) awaitService() error {
	for _, p := range w.fleet.ofRole("entry") {
		if err := w.awaitWrite(p, startupTime); err != nil {
			return fmt.Errorf("%s does not serve: %w", p.name, err)
		}
	}
	return nil
}

// awaitWrite repeats a write at an entry host until it succeeds.
func (w *world) awaitWrite(p *process, limit time.Duration) (err error) {
	err = errors.New("not tried")
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		var s *session
		if s, err = connect(w.rec, "consumer at "+p.name, w.fleet.frontAddr(p), database(w.groups[0], "primary")); err != nil {
			continue
		}
		a, queryErr := s.query(w.id(), "STORE first x")
		s.close()
		if err = queryErr; err == nil && a.failure != "" {
			err = errors.New(a.failure)
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// id returns a new request ID.
func (w *world) id() string { return fmt.Sprintf("5c0e7a21d94b%04x", w.nextID.Add(1)) }

func (w *world) close() {
	for _, g := range w.groups {
		g.mu.Lock()
		for _, m := range g.members {
			m.stopped = true
		}
		g.mu.Unlock()
	}
	if w.fleet != nil {
		w.fleet.close()
	}
}
