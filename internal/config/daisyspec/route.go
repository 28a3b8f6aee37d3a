package daisyspec

// Workspace returns the named workspace.
func (x *Index) Workspace(name string) (Workspace, bool) {
	w, ok := x.workspaces[name]
	return w, ok
}

// UsesReplicas reports whether a replica may run a statement of the profile, which only
// reads or not.
func (p *Profile) UsesReplicas(reads bool) bool { return reads && p.Freshness != FreshPrimary }
