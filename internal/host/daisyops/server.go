// Package daisyops serves the HTTP/JSON interface of a host: operators read and
// change the control state, backend servers announce themselves, and the
// platform's load balancer checks whether the host is ready.
package daisyops

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// headerTimeout bounds the reading of a request's header, bodyTimeout that of
	// the complete request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	// proposeTimeout bounds the wait for the outcome of a change.
	proposeTimeout = 10 * time.Second
	// forwardInterval is the minimum time between two forwarded announcements of a
	// backend server, unless they differ.
	forwardInterval = 3 * time.Second
	// announcementTTL is how long after its receipt an announcement is forwarded.
	announcementTTL = 5 * time.Second
)

// Peer is a replica of the control log, as in daisylog.Peer, in a Status.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Voting  bool
}

// Status is the status of a host.
type Status struct {
	Host     string
	Ready    bool
	Leads    bool
	Revision uint64
	Sessions int
	Holds    []string // Names of the databases that the host holds.
	Seats    []Peer
	// Evacuations are the evacuated failure domains.
	Evacuations []string
}

// Options configure a Server.
type Options struct {
	Network       daisynet.Network
	Listen        netip.AddrPort
	TLS           *tls.Config // Nil disables TLS.
	OperatorToken string
	AnnounceToken string
	Host          string
	View          *daisyfleet.View
	Ready         func() bool
	Status        func() Status
	Burn          func() daisyburn.Report
	Events        func() []daisyfleet.Event
	Route         func(daisyroute.Query) (daisyroute.Route, error)
	HasEvents     bool // The host has a replica of the control log, which records the events.
	Propose       func(context.Context, daisyfleet.Change) (daisyfleet.Outcome, error)
	Log           log.Interface
}

// Server serves the interface.
type Server struct {
	options Options
	http    *http.Server
	addr    netip.AddrPort
	wait    sync.WaitGroup

	mu            sync.Mutex
	announcements map[string]receivedAnnouncement
}

type receivedAnnouncement struct {
	daisyheartbeat.Announcement
	receivedAt  time.Time
	forwardedAt time.Time // When it was last forwarded.
}

// Open listens and starts to serve requests.
func Open(o Options) (s *Server, err error) {
	defer daisyerror.Annotate(&err, "open operations")
	listener, err := o.Network.Listen(context.Background(), o.Listen)
	if err != nil {
		return nil, err
	}
	s = &Server{options: o, announcements: make(map[string]receivedAnnouncement)}
	if s.addr, err = netip.ParseAddrPort(listener.Addr().String()); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout}
	s.wait.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort { return s.addr }

// Close stops the server and waits for it.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wait.Wait()
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /debug/vars", s.requireToken(s.options.OperatorToken, expvar.Handler().ServeHTTP))
	mux.HandleFunc("GET /v1/status", s.requireToken(s.options.OperatorToken, s.status))
	mux.HandleFunc("GET /v1/burn", s.requireToken(s.options.OperatorToken, s.burn))
	mux.HandleFunc("GET /v1/events", s.requireToken(s.options.OperatorToken, s.events))
	mux.HandleFunc("GET /v1/objects/{kind}", s.requireToken(s.options.OperatorToken, s.list))
	mux.HandleFunc("POST /v1/changes", s.requireToken(s.options.OperatorToken, s.change))
	mux.HandleFunc("POST "+RoutePath, s.requireToken(s.options.OperatorToken, RouteHandler(s.options.Route)))
	mux.HandleFunc("POST /v1/announcements", s.requireToken(s.options.AnnounceToken, s.announce))
	return mux
}

// requireToken passes on only requests that carry the token.
func (s *Server) requireToken(token string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(shown), []byte(token)) != 1 {
			http.Error(w, "a valid token is required", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next(w, r)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.options.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.options.Status()) }

func (s *Server) burn(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.options.Burn()) }

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	if !s.options.HasEvents {
		http.Error(w, "this host does not keep the control log, ask a control host", http.StatusNotFound)
		return
	}
	events := []daisywire.Event{}
	for _, e := range s.options.Events() {
		events = append(events, daisycodec.FromEvent(e))
	}
	writeJSON(w, events)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects := []daisywire.Object{}
	s.options.View.Read(func(state *daisyfleet.State) {
		state.EachSorted(daisyfleet.Kind(r.PathValue("kind")), func(o daisyfleet.Object) {
			objects = append(objects, daisycodec.FromObject(o))
		})
	})
	writeJSON(w, objects)
}

// operatorKinds are the kinds of objects that operators may change.
var operatorKinds = map[daisyfleet.Kind]bool{
	daisyfleet.KindProfile: true, daisyfleet.KindWorkspace: true, daisyfleet.KindKey: true, daisyfleet.KindDatabase: true,
	daisyfleet.KindEvacuation: true,
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var wire daisywire.Change
	if !readJSON(w, r, &wire) {
		return
	}
	if wire.ID == "" {
		http.Error(w, "ID is missing", http.StatusBadRequest)
		return
	}
	change, err := daisycodec.ToChange(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, op := range change.Operations {
		if !operatorKinds[op.Kind] {
			http.Error(w, string(op.Kind)+" objects are changed by the fleet alone", http.StatusForbidden)
			return
		}
		if op.Kind == daisyfleet.KindEvacuation && op.Value != nil && !s.knowsDomain(op.Name) {
			http.Error(w, "no host or member is in failure domain "+op.Name, http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	outcome, err := s.options.Propose(ctx, change)
	if err != nil {
		http.Error(w, "the outcome is not known, send the change again with the same ID: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !outcome.Accepted {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, daisycodec.FromOutcome(outcome))
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var wire daisywire.Announcement
	if !readJSON(w, r, &wire) {
		return
	}
	addr, err := netip.ParseAddrPort(wire.Address)
	if err != nil || wire.Database == "" || wire.Member == "" {
		http.Error(w, "Database, Member and Address are required", http.StatusBadRequest)
		return
	}
	value := daisyfleet.Member{Database: wire.Database, Address: addr, FailureDomain: wire.FailureDomain, Leaving: wire.Leaving}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := daisyfleet.MemberName(wire.Database, wire.Member)
	a := receivedAnnouncement{Announcement: daisyheartbeat.Announcement{Member: wire.Member, Value: value}, receivedAt: time.Now()}
	if previous := s.announcements[name]; previous.Value == value {
		a.forwardedAt = previous.forwardedAt
	}
	s.announcements[name] = a
}

// Announcements returns the announcements to forward now: new ones, and those
// that the control leader would otherwise consider expired.
func (s *Server) Announcements() []daisyheartbeat.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []daisyheartbeat.Announcement
	for name, a := range s.announcements {
		if time.Since(a.receivedAt) > announcementTTL {
			delete(s.announcements, name)
			continue
		}
		if a.receivedAt.Before(a.forwardedAt) || time.Since(a.forwardedAt) < forwardInterval {
			continue
		}
		a.Age = time.Since(a.receivedAt)
		all = append(all, a.Announcement)
		a.forwardedAt = time.Now()
		s.announcements[name] = a
	}
	return all
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
