package daisyspec

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Home holds the home regions of a statement: those of its profile and those of its
// workspace. An empty list sets no restriction; where both are set, both bind.
type Home struct {
	Profile   []string
	Workspace []string
}

// Restricted reports whether there is a region that is not allowed.
func (h Home) Restricted() bool { return len(h.Profile) > 0 || len(h.Workspace) > 0 }

// Allows reports whether a statement may run in the region and its text be sent there.
// The region is empty if it is not known, which only unrestricted statements allow.
func (h Home) Allows(region string) bool {
	return !h.Restricted() || region != "" && includes(h.Profile, region) && includes(h.Workspace, region)
}

// Equal reports whether both have the same home regions, in the same order.
func (h Home) Equal(other Home) bool {
	return slices.Equal(h.Profile, other.Profile) && slices.Equal(h.Workspace, other.Workspace)
}

// String names the home regions.
func (h Home) String() string {
	var parts []string
	if len(h.Profile) > 0 {
		parts = append(parts, "of the profile "+strings.Join(h.Profile, ", "))
	}
	if len(h.Workspace) > 0 {
		parts = append(parts, "of the workspace "+strings.Join(h.Workspace, ", "))
	}
	return strings.Join(parts, "; ")
}

func includes(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// checkRegions returns an error if one of the home regions has no name.
func checkRegions(kind, name string, regions []string) error {
	if slices.Contains(regions, "") {
		return fmt.Errorf("%s %q has a home region without a name", kind, name)
	}
	return nil
}

// UnknownRegions returns the home regions in the document that are not among the known
// ones, sorted. They allow nothing.
func (d *Document) UnknownRegions(known []string) []string {
	unknown := make(map[string]bool)
	add := func(regions []string) {
		for _, r := range regions {
			if !slices.Contains(known, r) {
				unknown[r] = true
			}
		}
	}
	for _, p := range d.Profiles {
		add(p.Regions)
	}
	for _, w := range d.Workspaces {
		add(w.Regions)
	}
	return slices.Sorted(maps.Keys(unknown))
}

// WorkspaceHome returns the home regions of the named workspace.
func (x *Index) WorkspaceHome(workspace string) Home {
	return Home{Workspace: x.workspaces[workspace].Regions}
}

// WorkspaceAt returns the first workspace by name whose home regions include the region.
func (x *Index) WorkspaceAt(region string) (name string, ok bool) {
	for _, w := range x.workspaces {
		if includes(w.Regions, region) && (!ok || w.Name < name) {
			name, ok = w.Name, true
		}
	}
	return name, ok
}
