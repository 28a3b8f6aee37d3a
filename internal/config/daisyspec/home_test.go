package daisyspec_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
)

// Guards against a home region that binds although another list leaves it out, and
// against servers of an unknown region that pass as at home.
func TestBothHomesBind(t *testing.T) {
	tests := []struct {
		name               string
		profile, workspace []string
		allowed, forbidden []string
	}{
		{"None", nil, nil, []string{"a", "b", ""}, nil},
		{"Profile", []string{"a", "b"}, nil, []string{"a", "b"}, []string{"c", ""}},
		{"Workspace", nil, []string{"a"}, []string{"a"}, []string{"b", ""}},
		{"Both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}, []string{"a", "c", ""}},
		{"Disjoint", []string{"a"}, []string{"b"}, nil, []string{"a", "b", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := daisyspec.Home{Profile: test.profile, Workspace: test.workspace}
			assert.Equal(t, h.Restricted(), len(test.forbidden) > 0)
			for _, r := range test.allowed {
				assert.Assert(t, h.Allows(r), r)
			}
			for _, r := range test.forbidden {
				assert.Assert(t, !h.Allows(r), r)
			}
		})
	}
}

// Guards against a home region that allows nothing and of which the operator is not told.
func TestUnknownRegionsAreNamed(t *testing.T) {
	d := daisyspec.Document{
		Profiles:   []daisyspec.Profile{{Regions: []string{"a", "x"}}},
		Workspaces: []daisyspec.Workspace{{Regions: []string{"b"}}, {Regions: []string{"w", "x"}}},
	}
	assert.DeepEqual(t, d.UnknownRegions([]string{"a", "b", "c"}), []string{"w", "x"})
}
