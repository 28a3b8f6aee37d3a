package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// playWriter has another writer send a ping that lacks fields. It names a copy of the
// database, which is no member. The rule is that a client gets no success that a member has
// not signed, and no other rows.
func playWriter(ctx context.Context, f *fleet, trouble bool) error {
	const (
		calm    = 2 * time.Second
		pings   = 8
		entries = 10
	)
	g := f.groups[0]
	written, err := f.write(ctx, entries)
	if err != nil {
		return err
	}
	copied, err := openCopy(f, g)
	if err != nil {
		return err
	}
	for n := range pings {
		if trouble {
			if err := f.pingAsOther(ctx, copied, n+1); err != nil {
				return err
			}
		}
		time.Sleep(heartbeatInterval)
		if err := f.useAll(ctx, n, len(written), copied); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	return nil
}

// openCopy opens a copy of the service's database for tests, which was promoted there and has
// been written to since.
func openCopy(f *fleet, of *group) (*member, error) {
	const later = 40
	g := &group{fleet: f, service: of.service, term: of.term + 1}
	of.mu.Lock()
	g.log = append(g.log, of.log...)
	of.mu.Unlock()
	for n := range later {
		g.log = append(g.log, commit{id: "test", item: fmt.Sprintf("item%d", n%10), data: "of-the-copy"})
	}
	m := &member{group: g, id: "i-copy", zone: zones[0].name}
	g.members, g.primary = []*member{m}, m
	return m, m.listen(f.prefix + ".150:0")
}

// pingAsOther sends the ping of another writer.
func (f *fleet) pingAsOther(ctx context.Context, m *member, sequence int) error {
	body, err := json.Marshal(map[string]any{
		"service": m.group.service, "address": m.address, "zone": m.zone, "state": "ready", "dbRole": "primary", "sequence": sequence,
	})
	if err != nil {
		return err
	}
	status, content, err := f.operator.send(ctx, http.MethodPut, "/instances/"+m.id, body)
	f.record.note("another writer: PUT /instances/%s %s is answered with %d %.80q", m.id, body, status, content)
	return err
}

// useAll reads and writes at all entry hosts and checks who has run the statements.
func (f *fleet) useAll(ctx context.Context, round, items int, copied *member) error {
	const reads = 5
	for e := range entryHosts {
		var texts []string
		for n := range reads {
			texts = append(texts, fmt.Sprintf("FETCH item%d", (reads*round+n)%items))
		}
		texts = append(texts, fmt.Sprintf("STORE order%d.%d placed", round, e))
		for n, text := range texts {
			database := boundedDatabase
			if n == reads {
				database = strictDatabase
			}
			s, err := f.open(ctx, fmt.Sprintf("client %d/%d/%d", round+1, e+1, n+1), e, database)
			if err != nil {
				return err
			}
			a, err := s.do(text)
			s.close()
			if err != nil {
				return err
			}
			if r, ok := copied.group.ranAs(a.id); ok && a.ok() {
				f.record.breach("%s, which is no member, ran %s (%s); the client got the rows %q with the signature %s", r.member, a.id, text, a.rows, a.signature)
			}
		}
	}
	return nil
}
