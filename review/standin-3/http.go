package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a caller of a control machine waits before it tries the next one.
const callTimeout = time.Second

var errNoAnswer = errors.New("no clear answer of any control machine")

// client makes each call over a connection of its own and follows no redirect by itself.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes one HTTP call. A redirect is returned as it is.
func call(ctx context.Context, method, address, path string, body []byte) (status int, content []byte, err error) {
	return callURL(ctx, method, "http://"+address+path, body)
}

func callURL(ctx context.Context, method, url string, body []byte) (status int, content []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if content, err = io.ReadAll(response.Body); err != nil {
		return 0, nil, err
	}
	if response.StatusCode == http.StatusTemporaryRedirect {
		content = []byte(response.Header.Get("Location"))
	}
	return response.StatusCode, content, nil
}

// callControl makes a call to one control machine, following two redirects.
func callControl(method, address, path string, body []byte) (status int, content []byte, err error) {
	url := "http://" + address + path
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		status, content, err = callURL(ctx, method, url, body)
		cancel()
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, content, err
		}
		url = string(content)
	}
	return 0, nil, errNoAnswer
}

// callAny makes a call to one control machine after the other until one gives a clear
// answer.
func (f *fleet) callAny(method, path string, body []byte, limit time.Duration) (status int, content []byte, err error) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := f.controls[i%len(f.controls)]
		status, content, err = callControl(method, m.address(controlPort), path, body)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return status, content, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, nil, errNoAnswer
}

// desired is a desired state of one service with one database for each kind of route.
func desired(version, syncReplicas int) []byte {
	route := func(name, kind string, timeout, staleness int) map[string]any {
		r := map[string]any{
			"name": "r-" + name, "host": name, "pathPrefix": "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": timeout / 2,
			"priority": 1, "service": serviceName, "attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["maxStalenessMs"] = staleness
		}
		return r
	}
	state := map[string]any{
		"version": version,
		"routes": []any{
			route(primaryDatabase, "primary", 1000, 0), route(boundedDatabase, "bounded_staleness", 2000, 1500),
			route(sessionDatabase, "read_your_writes", 1000, 2500),
		},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/healthz", "maxConns": 39, "protocol": "h1", "tls": false, "syncReplicas": syncReplicas,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": 500, "burst": 500}},
	}
	b, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return b
}

// The names in the desired state.
const (
	serviceName     = "huvo11a"
	primaryDatabase = "lepu270"
	boundedDatabase = "xapu221ny95"
	sessionDatabase = "fiti832ti23"
	tenantName      = "nypu920"
	tenantKey       = "u6wsjnbanfqasnmgkcuy"
)

// configure sends the first desired state until it is accepted.
func (f *fleet) configure(syncReplicas int) error {
	status, content, err := f.callAny(http.MethodPut, "/config", desired(1, syncReplicas), 20*time.Second)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("desired state: status %d, %s, %w", status, content, err)
	}
	f.record.note("desired state 1 confirmed, syncReplicas %d", syncReplicas)
	return nil
}
