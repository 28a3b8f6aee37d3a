package daisyrouter

import (
	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

// The reasons why a statement cannot run in its home regions.
const (
	noServerAtHome  = "no backend server is up"
	primaryAbroad   = "the primary is not"
	serverNotAtHome = "the backend server is not"
)

// region returns the region of a server of the service, or "" if it is not known.
func (r *Router) region(service, server string) string {
	for _, s := range r.Group(service).Servers {
		if s.Name == server {
			return s.Region
		}
	}
	return ""
}

// CheckServer returns a daisyrequest.HomeError if the server is outside the home
// regions.
func (r *Router) CheckServer(service, server string, home daisyspec.Home) error {
	if !home.Restricted() {
		return nil
	}
	return r.CheckRequest(daisyrequest.Request{Service: service, Server: server, Home: home})
}

// CheckRequest is like CheckServer for a request that is about to be forwarded.
func (r *Router) CheckRequest(req daisyrequest.Request) error {
	switch {
	case req.Home == nil || req.Allows(r.region(req.Service, req.Server)):
		return nil
	case r.primary(req.Service) == req.Server:
		return r.homeError(req.Home, primaryAbroad)
	}
	return r.homeError(req.Home, serverNotAtHome)
}

// CheckServers returns a daisyrequest.HomeError if the service has no server in the home
// regions that is neither leaving nor evacuated. With reachable, servers that failed a moment ago do not
// count either.
func (r *Router) CheckServers(service string, home daisyspec.Home, reachable bool) error {
	if !home.Restricted() {
		return nil
	}
	now := daisyclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.Group(service).Servers {
		if home.Allows(s.Region) && !s.Leaving && !r.evacuations.has(s.Name) && (!reachable || !r.server(s.Name).Avoided(now)) {
			return nil
		}
	}
	return r.homeError(home, noServerAtHome)
}

func (r *Router) homeError(home daisyrequest.Home, reason string) error {
	r.notAtHome.Add(1)
	return daisyrequest.NewHomeError(home, reason)
}

// NotAtHome returns the number of statements so far that could not be placed in their
// home regions.
func (r *Router) NotAtHome() uint64 { return r.notAtHome.Load() }

// sampleWorkspace returns the workspace over whose connection a server is asked for its
// position: the last that used the server, else any whose home regions include it. It
// requires r.mu.
func (r *Router) sampleWorkspace(service, server string) string {
	last := r.lastWorkspaces[server]
	if r.options.Index == nil {
		return last
	}
	index := r.options.Index()
	region := r.region(service, server)
	if index == nil || last == "" || index.WorkspaceHome(last).Allows(region) {
		return last
	}
	name, _ := index.WorkspaceAt(region)
	return name
}

// sampleHome returns the home regions of a position request over a connection of the
// workspace, or nil if there is no restriction.
func (r *Router) sampleHome(workspace string) daisyrequest.Home {
	if r.options.Index == nil {
		return nil
	}
	if index := r.options.Index(); index != nil {
		return index.WorkspaceHome(workspace)
	}
	return nil
}
