package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// callTimeout is how long a caller of control_plane waits for a response.
const callTimeout = time.Second

// caller calls control_plane: it follows a 307 twice and moves on to another node after
// a failure, a 5xx, a 408 or 429, or a second without a response.
type caller struct {
	rec   *record
	fleet *fleet
	next  int
}

// once makes one call at one node, following redirects.
func (c *caller) once(method, node, path string, body []byte) (status int, content []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := "http://" + node + path
	for range 3 {
		r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		response, err := noRedirects.Do(r)
		if err != nil {
			return 0, nil, err
		}
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		status = response.StatusCode
		if status != http.StatusTemporaryRedirect {
			return status, content, nil
		}
		to, err := url.Parse(response.Header.Get("Location"))
		if err != nil {
			return status, content, err
		}
		target = "http://" + to.Host + path
	}
	return status, content, nil
}

var noRedirects = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{DisableKeepAlives: true},
}

// call repeats the call at all nodes until it has a clear response or the time is over.
func (c *caller) call(method, path string, body []byte, limit time.Duration) (status int, content []byte, err error) {
	until := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	err = errors.New("not called")
	for time.Now().Before(until) {
		nodes := c.fleet.ofRole("control")
		node := nodes[c.next%len(nodes)]
		c.next++
		status, content, err = c.once(method, c.fleet.controlAddr(node), path, body)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests && status != http.StatusTemporaryRedirect {
			return status, content, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	if err == nil {
		err = fmt.Errorf("last status %d", status)
	}
	return 0, nil, err
}

// put sends a desired state until it is confirmed.
func (c *caller) put(d map[string]any, limit time.Duration) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	c.rec.line("operator sends PUT /config version %v", d["version"])
	status, _, err := c.call(http.MethodPut, "/config", body, limit)
	if err != nil {
		c.rec.line("operator has no confirmation of version %v after %v: %v", d["version"], limit, err)
		return err
	}
	c.rec.line("operator: version %v answered with %d", d["version"], status)
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// version reads the version of the desired state back. It returns false if none comes.
func (c *caller) version(limit time.Duration) (version float64, ok bool) {
	status, content, err := c.call(http.MethodGet, "/config", nil, limit)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	var d struct{ Version float64 }
	if err == nil {
		err = json.Unmarshal(content, &d)
	}
	if err != nil {
		c.rec.line("operator: GET /config gave nothing for %v: %v", limit, err)
		return 0, false
	}
	c.rec.line("operator: GET /config answered with version %v", d.Version)
	return d.Version, true
}

// ping sends one ping of the member to the nodes in turn, until one answers 2xx.
func (m *member) ping(c *caller, state string) bool {
	m.group.mu.Lock()
	m.sequence++
	role := "replica"
	if m.primary {
		role = "primary"
	}
	body, err := json.Marshal(map[string]any{
		"service": m.group.service, "address": m.address, "zone": m.zone, "version": "v1", "capacity": 3, "state": state,
		"coldLeftMs": 0, "dbRole": role, "sequence": m.sequence, "born": m.born,
	})
	m.group.mu.Unlock()
	if err != nil {
		return false
	}
	status, _, err := c.call(http.MethodPut, "/instances/"+m.id, body, 2*callTimeout)
	return err == nil && status/100 == 2
}

// announce sends the member's pings, one each heartbeat and at once when its role changes.
func (m *member) announce(c *caller) {
	wasPrimary := m.primary
	last := time.Time{}
	for {
		m.group.mu.Lock()
		stopped, silent, draining, primary := m.stopped, m.cut, m.draining, m.primary
		m.group.mu.Unlock()
		if stopped {
			return
		}
		if !silent && (time.Since(last) >= heartbeat || primary != wasPrimary) {
			wasPrimary, last = primary, time.Now()
			state := "ready"
			if draining {
				state = "draining"
			}
			m.ping(c, state)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// onPromotion is called with the name of the holder that ordered a promotion, once the
// platform has accepted it; nil if nobody listens.
var onPromotion atomic.Pointer[func(holder string)]

// serveCloud serves POST /promotion.
func serveCloud(rec *record, network string, groups ...*group) (address string, err error) {
	l, err := listen(network + ".3.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var p struct{ Service, ID string }
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := http.StatusConflict
		for _, g := range groups {
			if g.service == p.Service && g.promote(p.ID) {
				status = http.StatusOK
			}
		}
		rec.line("platform: promotion of %s %s by %s, fence %s, answered with %d", p.Service, p.ID, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"), status)
		if f := onPromotion.Load(); f != nil && status == http.StatusOK {
			go (*f)(r.Header.Get("Lease-Holder"))
		}
		w.WriteHeader(status)
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// desired returns a desired state with a route of each type for each service.
func desired(version int, keys []string, groups ...*group) map[string]any {
	var routes, services []map[string]any
	for _, g := range groups {
		for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			r := map[string]any{
				"name": "r-" + g.service + "-" + kind, "host": database(g, kind), "pathPrefix": "/", "routeType": kind, "timeoutMs": 1000,
				"targetLatencyMs": 500, "priority": 1, "service": g.service, "attempts": 2, "public": false,
			}
			if kind != "primary" {
				r["maxStalenessMs"] = 1500
			}
			routes = append(routes, r)
		}
		services = append(services, map[string]any{"name": g.service, "healthPath": "/healthz", "maxConns": 21, "protocol": "h1", "tls": false, "syncReplicas": g.sync})
	}
	tenants := []map[string]any{
		{"name": "acme", "apiKeys": keys, "priority": 1, "ratePerS": 136, "burst": 136},
		{"name": "other", "apiKeys": []string{"otherkey1otherkey1oth"}, "priority": 1, "ratePerS": 136, "burst": 136},
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	}
}

// database returns the name of the database that a route serves.
func database(g *group, kind string) string {
	return g.service + strings.ReplaceAll(kind, "_", "")
}
