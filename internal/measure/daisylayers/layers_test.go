package daisylayers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// areas are the folders below internal in their order. A package may import packages of
// its own area and of the areas before it.
var areas = []string{
	"base",     // Clock and errors.
	"domain",   // What all others speak of: statements, requests, heartbeats, the control state.
	"config",   // Settings and desired state.
	"security", // Certificates.
	"report",   // Logs, metrics, burn rates.
	"net",      // Connections, links, message framing.
	"limit",    // Rate limits.
	"backend",  // Connections to backend servers.
	"control",  // Decisions of control hosts.
	"holder",   // Gateways and holders of databases.
	"session",  // Sessions and the choice of servers.
	"wire",     // Codecs of the domain types.
	"entry",    // Clients, and the way to gateways.
	"cluster",  // Replicas of the control log, leases.
	"host",     // Assembly of hosts.
	"standin",  // Stand-in database group.
	"try",      // A small fleet on loopback.
	"measure",  // Measurements and checks.
	"command",  // The command line.
}

const modulePath = "github.com/daisyglade/daisyglade/"

// TestImportsPointDown guards against an import of a higher area, by which a reader from
// the ground up would meet what has not been introduced.
func TestImportsPointDown(t *testing.T) {
	rank := make(map[string]int)
	for i, area := range areas {
		rank[area] = i
	}
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		checkImports(t, rank, path, filepath.ToSlash(filepath.Dir(relative)))
		return nil
	})
	assert.NilError(t, err)
}

// checkImports reports each import of the file against the order.
func checkImports(t *testing.T, rank map[string]int, file, folder string) {
	t.Helper()
	area, _, _ := strings.Cut(folder, "/")
	own, known := rank[area]
	if !known {
		t.Errorf("package internal/%s is in an area that the order does not list", folder)
		return
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		inner, internal := strings.CutPrefix(imported, modulePath+"internal/")
		if !internal {
			if strings.HasPrefix(imported, modulePath) && area != "command" {
				t.Errorf("package internal/%s imports %s, which is above all areas but command", folder, imported)
			}
			continue
		}
		other, _, _ := strings.Cut(inner, "/")
		if rank[other] > own {
			t.Errorf("package internal/%s imports internal/%s, which is above it", folder, inner)
		}
	}
}
