// Package daisyspec holds the desired state of a fleet that is configured by
// one versioned document: profiles, services, workspaces and limits.
package daisyspec

import (
	"errors"
	"fmt"
	"time"
)

// Freshness tells which writes a read of a profile must see.
type Freshness int

const (
	// FreshPrimary reads see every acknowledged write.
	FreshPrimary Freshness = iota
	// FreshBounded reads see every write acknowledged longer ago than MaxAge.
	FreshBounded
	// FreshSession reads also see the writes of their own session.
	FreshSession
)

// Profile configures the requests for a database.
type Profile struct {
	Name      string
	Database  string // The name that clients connect to.
	Path      string // Distinguishes profiles of one database.
	Service   string
	Freshness Freshness
	MaxAge    time.Duration // Maximum staleness of reads other than FreshPrimary.
	Timeout   time.Duration // Of a single statement.
	Latency   time.Duration // The objective for a whole operation.
	Priority  int           // 0 is the highest.
	Public    bool          // No key is needed.
	Regions   []string      // Home regions; empty sets no restriction.
}

// Service is a replicated database group.
type Service struct {
	Name         string
	Connections  int // To each server, from all hosts together.
	SyncReplicas int // Replicas that hold a write before it is acknowledged.
	Cold         Cold
}

// Workspace is a tenant with its keys and its rate limit over all hosts.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64  // Operations per second.
	Burst    float64  // Operations at once.
	Regions  []string // Home regions; empty sets no restriction.
}

// Document is one version of the desired state.
type Document struct {
	Version         uint64
	Profiles        []Profile
	Services        []Service
	Workspaces      []Workspace
	TransactionIdle time.Duration // How long a transaction may be idle; 0 sets no limit.
}

// Check returns an error if the document is not valid.
func (d *Document) Check() error {
	services := make(map[string]bool)
	for _, s := range d.Services {
		if services[s.Name] {
			return fmt.Errorf("service %q is given twice", s.Name)
		}
		services[s.Name] = true
		if err := s.Cold.check(s.Name); err != nil {
			return err
		}
	}
	if err := d.checkProfiles(services); err != nil {
		return err
	}
	return d.checkWorkspaces()
}

func (d *Document) checkProfiles(services map[string]bool) error {
	type location struct{ database, path string }
	names := make(map[location]string)
	for _, p := range d.Profiles {
		at := location{p.Database, p.Path}
		switch {
		case p.Database == "":
			return fmt.Errorf("profile %q names no database", p.Name)
		case !services[p.Service]:
			return fmt.Errorf("profile %q names unknown service %q", p.Name, p.Service)
		case p.Timeout <= 0:
			return fmt.Errorf("profile %q has no positive timeout", p.Name)
		case p.MaxAge < 0:
			return fmt.Errorf("profile %q has a negative maximum staleness", p.Name)
		case names[at] != "":
			return fmt.Errorf("profiles %q and %q have the same database and path", names[at], p.Name)
		}
		names[at] = p.Name
		if err := checkRegions("profile", p.Name, p.Regions); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) checkWorkspaces() error {
	owners := make(map[string]string)
	names := make(map[string]bool)
	for _, w := range d.Workspaces {
		switch {
		case w.Name == "":
			return errors.New("a workspace has no name")
		case names[w.Name]:
			return fmt.Errorf("workspace %q is given twice", w.Name)
		case w.Rate < 0 || w.Burst < 0:
			return fmt.Errorf("workspace %q has a negative rate or burst", w.Name)
		}
		names[w.Name] = true
		if err := checkRegions("workspace", w.Name, w.Regions); err != nil {
			return err
		}
		for _, k := range w.Keys {
			if owner, taken := owners[k]; taken && owner != w.Name {
				return fmt.Errorf("workspaces %q and %q share a key", owner, w.Name)
			}
			owners[k] = w.Name
		}
	}
	return nil
}

// Index looks up the profiles, services and workspaces of a document by the
// values that requests carry.
type Index struct {
	Version         uint64
	TransactionIdle time.Duration
	profiles        map[string]Profile
	services        map[string]Service
	workspaces      map[string]Workspace
	owners          map[string]string
}

// NewIndex returns the index of a document that has been checked.
func NewIndex(d *Document) *Index {
	x := &Index{
		Version: d.Version, TransactionIdle: d.TransactionIdle,
		profiles: make(map[string]Profile, len(d.Profiles)), services: make(map[string]Service, len(d.Services)),
		workspaces: make(map[string]Workspace, len(d.Workspaces)), owners: make(map[string]string),
	}
	for _, p := range d.Profiles {
		x.profiles[p.Database] = p
	}
	for _, s := range d.Services {
		x.services[s.Name] = s
	}
	for _, w := range d.Workspaces {
		x.workspaces[w.Name] = w
		for _, k := range w.Keys {
			x.owners[k] = w.Name
		}
	}
	return x
}

// Profile returns the profile of a database.
func (x *Index) Profile(database string) (Profile, bool) {
	p, ok := x.profiles[database]
	return p, ok
}

// Service returns the named service.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Owner returns the workspace that the key belongs to.
func (x *Index) Owner(key string) (Workspace, bool) {
	w, ok := x.workspaces[x.owners[key]]
	return w, ok && x.owners[key] != ""
}

// EachWorkspace calls f for every workspace, in no particular order.
func (x *Index) EachWorkspace(f func(Workspace)) {
	for _, w := range x.workspaces {
		f(w)
	}
}
