// Command standin-2 runs the scripted cases of the second review. It starts the
// project's own programs as processes on loopback addresses, with stand-ins for the
// backend servers, the clients, the operator and the platform, plays one case and writes
// what was sent, answered and run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// caseTime bounds a case; the users allow 120 s.
	caseTime = 110 * time.Second
)

// errNotRun is returned by a case that could not be played.
var errNotRun = errors.New("the case could not run")

// play plays a case. With trouble, the case brings its disruption about. It returns an
// error if the case could not run; broken rules are recorded.
type play func(ctx context.Context, f *fleet, trouble bool) error

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/daisyglade", "the project's program")
	out := flag.String("record", "record.txt", "the file that the record is written to")
	flag.Parse()
	cases := map[string]play{
		"answer": playAnswer, "document": playDocument, "drain": playDrain, "replace": playReplace, "route": playRoute, "shape": playShape, "sync": playSync, "term": playTerm, "writer": playWriter,
	}
	p := cases[flag.Arg(0)]
	if p == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 [--program FILE] [--record FILE] answer|document|drain|replace|route|shape|sync|term|writer")
		return exitNotRun
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with its disruption: %t", flag.Arg(0), trouble)
	code := playIn(p, *program, r, trouble)
	r.note("exit status %d", code)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func playIn(p play, program string, r *record, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	f, err := openFleet(ctx, program, r)
	if err == nil {
		err = errors.Join(p(ctx, f, trouble), ctx.Err())
		f.close()
	}
	switch {
	case r.broken() > 0:
		return exitBroken
	case err != nil:
		r.note("%v: %v", errNotRun, err)
		return exitNotRun
	}
	return exitHeld
}
