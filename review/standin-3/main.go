// Command standin-3 plays the cases of the third review against the project's own programs:
// it starts them, is their platform, servers, operator and clients, and checks a rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// played is a case with what it needs.
type played struct {
	name         string
	syncReplicas int
	controls     int
	entries      int
	play         func(*stage) (broken []string, err error)
}

// stage is a running deployment on which a case is played.
type stage struct {
	*fleet

	group   *group
	members []*member
	trouble bool
}

var errUsage = errors.New("usage: standin-3 CASE RECORD")

func main() {
	code, err := runCase(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
	}
	os.Exit(code)
}

func runCase(args []string) (code int, err error) {
	if len(args) != 2 {
		return exitNotRun, errUsage
	}
	i := slices.IndexFunc(cases, func(p played) bool { return p.name == args[0] })
	if i < 0 {
		return exitNotRun, fmt.Errorf("%w: no case %q", errUsage, args[0])
	}
	r, err := newRecord(args[1])
	if err != nil {
		return exitNotRun, err
	}
	folder, err := os.MkdirTemp("", "daisyglade-review-")
	if err != nil {
		return exitNotRun, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	s, err := openStage(r, folder, cases[i])
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	return s.judge(cases[i])
}

// judge plays the case and returns its exit code.
func (s *stage) judge(p played) (code int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := p.play(s)
		results <- result{broken: broken, err: err}
	}()
	select {
	case <-ctx.Done():
		return exitNotRun, ctx.Err()
	case got := <-results:
		if got.err != nil {
			s.record.note("the case could not run: %v", got.err)
			return exitNotRun, got.err
		}
		for _, b := range got.broken {
			s.record.note("BROKEN %s", b)
		}
		if len(got.broken) > 0 {
			fmt.Printf("%s: %d breaks, the first: %s\n", p.name, len(got.broken), got.broken[0])
			return exitBroken, nil
		}
		s.record.note("the rule held")
		fmt.Println(p.name + ": the rule held")
		return exitHeld, nil
	}
}

// openStage starts the deployment and waits until it serves.
func openStage(r *record, folder string, p played) (*stage, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	g := newGroup(r, p.syncReplicas)
	platform, err := g.servePlatform(network + ".31:0")
	if err != nil {
		return nil, err
	}
	s := &stage{fleet: newFleet(r, network, folder, platform, p.controls, p.entries), group: g, trouble: os.Getenv("TROUBLE") != "0"}
	r.note("case %s, trouble: %v, network %s.0/24, folder %s", p.name, s.trouble, network, folder)
	if err := s.start(); err != nil {
		return s, err
	}
	for i := range 3 {
		m := g.newMember(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s.%d:%d", network, 32+i, firstPort), i)
		s.members = append(s.members, m)
		if err := m.start(s.controlAddresses()); err != nil {
			return s, err
		}
	}
	if err := s.configure(p.syncReplicas); err != nil {
		return s, err
	}
	if !await(30*time.Second, s.serves) {
		return s, errors.New("the deployment does not serve")
	}
	r.note("the deployment serves")
	time.Sleep(4 * time.Second) // The time after which no machine counts as new.
	return s, nil
}

func (f *fleet) controlAddresses() (all []string) {
	for _, m := range f.controls {
		all = append(all, m.address(controlPort))
	}
	return all
}

// serves reports whether every entry machine is ready and a write succeeds on it.
func (s *stage) serves() bool {
	for _, m := range s.entries {
		if !m.ready() {
			return false
		}
		c, err := s.connect(m, primaryDatabase)
		if err != nil {
			return false
		}
		a, err := c.do("STORE first-"+m.name+" x", 2*time.Second)
		c.close()
		if err != nil || !a.ok() {
			return false
		}
	}
	return true
}
