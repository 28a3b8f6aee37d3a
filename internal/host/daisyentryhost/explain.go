package daisyentryhost

import (
	"errors"
	"fmt"
	"time"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// errNoDesiredState is returned by a host that has not received a desired state yet.
var errNoDesiredState = errors.New("this host has no desired state yet")

// ExplainRoute returns where a statement that reached this host would go now. Nothing is
// sent.
func (h *EntryHost) ExplainRoute(q daisyroute.Query) (route daisyroute.Route, err error) {
	index := h.index.Load()
	if index == nil {
		return route, errNoDesiredState
	}
	p, ok := index.Profile(q.Database)
	if !ok {
		return route, &daisyroute.UnknownError{What: "database", Name: q.Database}
	}
	workspace, err := findWorkspace(index, q, p.Public)
	if err != nil {
		return route, err
	}
	route = daisyroute.Route{Host: h.options.Settings.Host, Database: q.Database, Workspace: workspace, Kind: q.Kind, Service: p.Service}
	w, _ := index.Workspace(workspace)
	home := daisyspec.Home{Profile: p.Regions, Workspace: w.Regions}
	query := daisyrouter.Query{Profile: p, Workspace: workspace, Transaction: q.Kind.Transaction(), Home: home}
	primaryOnly := !p.UsesReplicas(q.Kind.Reads())
	route.Notes = h.notes(query, primaryOnly)
	route.Servers = h.router.Explain(query, primaryOnly)
	for i, s := range route.Servers {
		route.Servers[i].Gateways = h.forwarder.GatewayHosts(s.Name, workspace, home)
	}
	route.Pick()
	route.Notes = append(route.Notes, h.holdOffNotes(query, route.Servers)...)
	return route, nil
}

// findWorkspace returns the workspace of the query by its key or name.
func findWorkspace(index *daisyspec.Index, q daisyroute.Query, public bool) (string, error) {
	switch {
	case q.Key != "":
		w, ok := index.Owner(q.Key)
		if !ok {
			return "", &daisyroute.UnknownError{What: "key"}
		}
		return w.Name, nil
	case q.Workspace == "" && public:
		return "", nil
	}
	if _, ok := index.Workspace(q.Workspace); !ok {
		return "", &daisyroute.UnknownError{What: "workspace", Name: q.Workspace}
	}
	return q.Workspace, nil
}

// notes returns what decides besides the servers' figures.
func (h *EntryHost) notes(q daisyrouter.Query, primaryOnly bool) (notes []string) {
	service := q.Profile.Service
	if !h.lease.Valid() {
		notes = append(notes, "the lease of this host is not valid, so it sends nothing to a primary")
	}
	switch _, ok := h.router.Leader(service); {
	case primaryOnly && !ok:
		notes = append(notes, "the service has no primary that this host may use; the statement waits for one")
	case !primaryOnly && !h.router.HasPosition(q):
		notes = append(notes, "this host knows no recent position of the primary; the gateway adds one, or the primary runs the read")
	}
	return notes
}

// holdOffNotes returns which servers this host sends no statements of the class, since
// their queues have just refused one.
func (h *EntryHost) holdOffNotes(q daisyrouter.Query, servers []daisyroute.Server) (notes []string) {
	for _, s := range servers {
		held := daisyrouter.HeldClass{Server: s.Name, Workspace: q.Workspace, Class: q.QueueClass(), Priority: q.Profile.Priority}
		if left := h.router.HoldOffLeft(held); left > 0 {
			notes = append(notes, fmt.Sprintf("this host refuses what would go to %s for another %v, since its queue refused one like it", s.Name, left.Round(time.Millisecond)))
		}
	}
	return notes
}
