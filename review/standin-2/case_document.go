package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// playDocument sends an invalid desired state, in which two routes share the same host and
// prefix. The rule is that it is not acknowledged and not in force.
func playDocument(ctx context.Context, f *fleet, trouble bool) error {
	d := newDocument()
	first := newRoute("", "ovuta317", "primary", "s2", 1000, 500, 1, 0)
	second := newRoute("", "ovuta317", "primary", "s3", 1000, 500, 1, 0)
	delete(first, "name")
	delete(second, "name")
	if !trouble {
		second["host"] = "ovuta318"
	}
	d.Version = 5
	d.Routes = append(d.Routes, first, second)
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	status, err := f.operator.put(ctx, "two routes without a name", body)
	if err != nil {
		return err
	}
	invalid := trouble
	switch {
	case invalid && status < 300:
		f.record.breach("a desired state in which two routes share the host ovuta317 and the prefix / is acknowledged")
	case !invalid && status >= 300:
		f.record.breach("a valid desired state is refused")
	}
	time.Sleep(3 * time.Second)
	_, held, err := f.operator.send(ctx, http.MethodGet, "/config", nil)
	if err != nil {
		return err
	}
	f.record.note("operator: GET /config returns %s", held)
	if invalid && strings.Contains(string(held), "ovuta317") {
		f.record.breach("the invalid desired state is read back")
	}
	s, err := f.open(ctx, "client", 0, "ovuta317")
	if err != nil {
		f.record.note("client: %v", err)
		return nil
	}
	defer s.close()
	a, err := s.do("STORE item data")
	if err != nil {
		return err
	}
	for _, g := range f.groups {
		if r, ok := g.ranAs(a.id); ok {
			f.record.note("%s ran %s %s", r.member, r.id, r.text)
			if invalid {
				f.record.breach("the invalid desired state is in force: %s ran a write for ovuta317", r.member)
			}
		}
	}
	return nil
}
