package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// playReplace has a machine of the core replaced as planned, and then the tolerated number of
// machines lose their disks. The rules are that the acknowledged desired state can be read
// back, and that at least a quarter of the requests is served once the machines are back.
func playReplace(ctx context.Context, f *fleet, trouble bool) error {
	const (
		calm        = 6 * time.Second
		catchUp     = 4 * time.Second
		recovery    = 12 * time.Second
		readBack    = 6 * time.Second
		down        = 1100 * time.Millisecond
		soon, later = time.Second, 20 * time.Second
	)
	time.Sleep(calm)
	f.add()
	time.Sleep(catchUp + restartDelay)
	f.remove(f.controls[controlHosts-1])
	wait := soon
	if os.Getenv("LATER") != "" { // Shows that the loss itself is borne.
		wait = later
	}
	time.Sleep(wait)
	before, err := f.serve(ctx, "before")
	if err != nil {
		return err
	}
	d := newDocument()
	d.Version = 7
	if err := f.operator.apply(ctx, d); err != nil {
		return err
	}
	if trouble {
		for _, h := range f.controls[:2] {
			if err := f.wipe(h, down); err != nil {
				return err
			}
		}
	}
	time.Sleep(down + recovery)
	after, err := f.serve(ctx, "after")
	if err != nil {
		return err
	}
	f.record.note("served %d of %d requests before, %d of %d after the loss", before, requests, after, requests)
	if before*4 >= requests && after*4 < requests {
		f.record.breach("RECOVER: %d of %d requests are served later than %v after the machines are back", after, requests, recovery)
	}
	reading, cancel := context.WithTimeout(ctx, readBack)
	defer cancel()
	_, held, err := f.operator.send(reading, http.MethodGet, "/config", nil)
	f.record.note("operator: GET /config for %v: %s, %v", readBack, held, err)
	if !strings.Contains(string(held), fmt.Sprintf("\"version\":%d", d.Version)) {
		f.record.breach("CONFIG: the acknowledged desired state %d does not come when it is read back for %v", d.Version, readBack)
	}
	return nil
}

// requests is how many requests serve sends.
const requests = 18

// serve sends reads and writes to all entry hosts and returns how many are served.
func (f *fleet) serve(ctx context.Context, name string) (served int, err error) {
	for n := range requests {
		s, err := f.open(ctx, fmt.Sprintf("client %s %d", name, n+1), n%entryHosts, strictDatabase)
		if err != nil {
			f.record.note("client %s %d: %v", name, n+1, err)
			continue
		}
		text := fmt.Sprintf("STORE item%d %s", n, name)
		if n%2 == 1 {
			text = fmt.Sprintf("FETCH item%d", n-1)
		}
		a, err := s.do(text)
		s.close()
		if err == nil && a.ok() {
			served++
		}
	}
	return served, ctx.Err()
}
