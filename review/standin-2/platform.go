package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// platform carries promotions out.
type platform struct {
	address string
	fleet   *fleet
}

func openPlatform(ctx context.Context, f *fleet) (*platform, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.prefix+".200:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: l.Addr().String(), fleet: f}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", p.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.wait.Go(func() { _ = server.Serve(l) })
	return p, nil
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.fleet.record.note("platform: promotion of %s for %s, holder %s, fence %s", body.ID, body.Service, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
	for _, g := range p.fleet.groups {
		if g.service == body.Service && g.runs(body.ID) {
			time.AfterFunc(promoteTime, func() { g.promote(body.ID) })
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promoteTime is how long after the call a member takes over.
const promoteTime = time.Second
