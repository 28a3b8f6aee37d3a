package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// document is a desired state.
type document struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

const (
	tenantName = "nypu920"
	tenantKey  = "u6wsjnbanfqasnmgkcuy"

	strictDatabase  = "lepu270"
	boundedDatabase = "xapu221ny95"
	ownDatabase     = "fiti832ti23"
)

func newRoute(name, database, kind, service string, timeout, latency, priority, staleness int) map[string]any {
	r := map[string]any{
		"name": name, "host": database, "pathPrefix": "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": latency,
		"priority": priority, "service": service, "attempts": 2, "public": false,
	}
	if staleness > 0 {
		r["maxStalenessMs"] = staleness
	}
	return r
}

// newDocument returns the first desired state, like that of the small deployment.
func newDocument() document {
	d := document{
		Version: 1,
		Routes: []map[string]any{
			newRoute("r-8w8p4gv", boundedDatabase, "bounded_staleness", "s1", 2000, 1000, 2, 1500),
			newRoute("r-rge9itf", strictDatabase, "primary", "s1", 1000, 500, 1, 0),
			newRoute("r-y8jmxwj", ownDatabase, "read_your_writes", "s1", 1000, 1000, 2, 2500),
		},
		Limits:  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		Tenants: []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": 136, "burst": 136}},
	}
	for _, s := range []string{"s1", "s2", "s3"} {
		d.Services = append(d.Services, map[string]any{
			"name": s, "healthPath": "/healthz", "maxConns": 21, "protocol": "h1", "tls": false, "syncReplicas": 0,
		})
	}
	return d
}

// operator sends desired states.
type operator struct {
	fleet *fleet

	mu   sync.Mutex
	next int // The control host that is called next.
}

// control returns the control address that is called next.
func (o *operator) control() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	h := o.fleet.controls[o.next%len(o.fleet.controls)]
	return "http://" + address(h.ip, o.fleet.ports.control)
}

// maxRedirects is how many redirects a caller follows.
const maxRedirects = 2

// send makes a call to control hosts until one answers it clearly.
func (o *operator) send(ctx context.Context, method, path string, body []byte) (status int, content []byte, err error) {
	for wait := pollInterval; ctx.Err() == nil; wait = min(2*wait, time.Second) {
		url := o.control() + path
		for range maxRedirects + 1 {
			var a *response
			status, a, err = call(ctx, method, url, body)
			if err != nil || status != http.StatusTemporaryRedirect {
				if err == nil {
					content = a.body
				}
				break
			}
			url = a.location
		}
		clear := err == nil && (status < 300 || status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests)
		if clear {
			return status, content, nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return 0, nil, errors.Join(err, ctx.Err())
}

// put sends a desired state and returns the status of the answer.
func (o *operator) put(ctx context.Context, what string, body []byte) (status int, err error) {
	o.fleet.record.note("operator: PUT /config, %s, %.1500s", what, body)
	status, content, err := o.send(ctx, http.MethodPut, "/config", body)
	o.fleet.record.note("operator: answered %d %.200s %v", status, content, err)
	return status, err
}

// apply sends a desired state that must be acknowledged.
func (o *operator) apply(ctx context.Context, d document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	status, err := o.put(ctx, fmt.Sprint("version ", d.Version), body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("desired state %d was answered with %d", d.Version, status)
	}
	return err
}
