package daisyhost

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strings"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
)

// ExplainRoute returns where a statement that reached this host would go now. Only the
// holder of the database knows its members; another host names the holder.
func (h *Host) ExplainRoute(q daisyroute.Query) (route daisyroute.Route, err error) {
	p, ok := h.view.Profile(q.Database)
	if !ok {
		return route, &daisyroute.UnknownError{What: "profile", Name: q.Database}
	}
	workspace, err := h.findWorkspace(q)
	if err != nil {
		return route, err
	}
	route = daisyroute.Route{Host: h.settings.Host, Database: q.Database, Workspace: workspace, Kind: q.Kind, Service: p.Database}
	servers, ok := h.holder.ExplainRoute(p, workspace, q.Kind.Reads())
	if !ok {
		route.Notes = []string{h.holderNote(p)}
		return route, nil
	}
	route.Servers = servers
	route.Pick()
	return route, nil
}

// findWorkspace returns the workspace of the query by its key or name.
func (h *Host) findWorkspace(q daisyroute.Query) (string, error) {
	name := q.Workspace
	if q.Key != "" {
		id, _, _ := strings.Cut(q.Key, ".")
		key, ok := h.view.Key(id)
		hash := sha256.Sum256([]byte(q.Key))
		if !ok || subtle.ConstantTimeCompare(hash[:], key.Hash[:]) != 1 {
			return "", &daisyroute.UnknownError{What: "key"}
		}
		name = key.Workspace
	}
	if _, ok := h.view.Workspace(name); !ok {
		return "", &daisyroute.UnknownError{What: "workspace", Name: name}
	}
	return name, nil
}

// holderNote says which host decides for the database.
func (h *Host) holderNote(p daisyfleet.Profile) string {
	o, ok := h.view.Ownership(p.Database)
	switch {
	case !ok || o.Holder == "":
		return fmt.Sprintf("no host holds %s, so the statement waits", p.Database)
	case o.Holder == h.settings.Host:
		return fmt.Sprintf("this host takes %s over, or its lease is not valid, so the statement waits", p.Database)
	}
	return fmt.Sprintf("the statement goes to %s, the holder of %s; ask that host", o.Holder, p.Database)
}
