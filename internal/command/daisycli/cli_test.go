package daisycli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/command/daisycli"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// run runs the program and returns its exit code and what it wrote.
func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = daisycli.Main(args, &out, &err)
	return code, out.String(), err.String()
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
		want string // In standard error, or in standard output if the code is 0.
	}{
		{"Version", []string{"version"}, 0, "daisyglade"},
		{"UnknownFlag", []string{"check", "--setting", "x"}, 2, "unknown flag"},
		{"NoSettings", []string{"check", "--settings", "absent.jsonc"}, 1, "no such file"},
		{"NoToken", []string{"status", "--token-file", "absent"}, 2, "--token-file"},
		{"Completion", []string{"completion", "bash"}, 0, "bash"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := run(test.args...)
			assert.Equal(t, code, test.code, stderr)
			shown := stderr
			if code == 0 {
				shown = stdout
			}
			assert.Check(t, strings.Contains(shown, test.want), shown)
		})
	}
}

func TestCheckReportsLineAndField(t *testing.T) {
	plan, err := daisysandbox.NewPlan(daisynet.TCP{}, t.TempDir(), 1)
	assert.NilError(t, err)
	code, stdout, _ := run("check", "--settings", plan.SettingsFiles[0])
	assert.Equal(t, code, 0)
	assert.Check(t, strings.Contains(stdout, "settings of host h1 are valid"))
	text, err := os.ReadFile(plan.SettingsFiles[0])
	assert.NilError(t, err)
	broken := filepath.Join(plan.Folder, "broken.jsonc")
	assert.NilError(t, os.WriteFile(broken, bytes.Replace(text, []byte(`"5s"`), []byte(`"soon"`), 1), 0o600))
	code, _, stderr := run("check", "--settings", broken)
	assert.Equal(t, code, 2)
	assert.Check(t, strings.Contains(stderr, "StopLimit is not a positive duration"), stderr)
}

// TestOperatorCommands runs an operator's commands against a small fleet.
func TestOperatorCommands(t *testing.T) {
	ctx := t.Context()
	f, err := daisysandbox.Open(ctx, daisynet.TCP{}, t.TempDir(), 3, &log.Logger{Handler: discard.New()})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	access := []string{"--server", f.URLs()[1], "--token-file", filepath.Join(f.Folder, "operator.token")}
	do := func(args ...string) (int, string, string) { return run(append(args, access...)...) }
	value := filepath.Join(f.Folder, "value.json")
	assert.NilError(t, os.WriteFile(value, []byte(`{"Home": "baskets1", "Rate": 5, "Burst": 5}`), 0o600))

	code, stdout, stderr := do("workspaces", "put", "new", "--file", value, "--change-id", "mine")
	assert.Equal(t, code, 0, stderr)
	code, again, _ := do("workspaces", "put", "new", "--file", value, "--change-id", "mine")
	assert.Equal(t, code, 0)
	assert.Equal(t, again, stdout)
	code, _, stderr = do("workspaces", "put", "new", "--file", value)
	assert.Equal(t, code, 3)
	assert.Check(t, strings.Contains(stderr, "the change was made against 0"), stderr)

	code, stdout, stderr = do("keys", "grant", "new", "--id", "k1")
	assert.Equal(t, code, 0, stderr)
	key := strings.Fields(stdout)[len(strings.Fields(stdout))-1]
	assert.Check(t, strings.HasPrefix(key, "k1."))
	address := strings.SplitN(strings.SplitN(f.ConnString(0, daisysandbox.ProfileWrite), "@", 2)[1], "?", 2)[0]
	connect := func() error {
		conn, err := pgx.Connect(ctx, "postgres://new:"+key+"@"+address+"?sslmode=require")
		if err != nil {
			return err
		}
		return conn.Close(ctx)
	}
	for i := 0; connect() != nil; i++ {
		assert.Check(t, i < 5000, "the key is not in force")
	}
	checkExplainRoute(t, f.URLs(), access[2:], filepath.Join(f.Folder, "key"), key)
	_, stdout, _ = do("keys", "list", "--output", "json")
	assert.Check(t, !strings.Contains(stdout, key))
	code, _, stderr = do("keys", "withdraw", "k1", "--against", revision(t, stdout, "k1"))
	assert.Equal(t, code, 0, stderr)
	for i := 0; connect() == nil; i++ {
		assert.Check(t, i < 5000, "the withdrawn key works")
	}
	// The host that is asked may be a follower, which applies a decision after the leader.
	for i := 0; ; i++ {
		code, stdout, stderr = do("events")
		assert.Equal(t, code, 0, stderr)
		if strings.Contains(stdout, "operator removed Key k1") {
			break
		}
		assert.Assert(t, i < 5000, stdout)
	}
	code, stdout, stderr = run("report", "burn", "--servers", strings.Join(f.URLs(), ","), access[2], access[3])
	assert.Equal(t, code, 0, stderr)
	assert.Check(t, strings.HasPrefix(stdout, "WORKSPACE"))
}

// checkExplainRoute guards against an explanation that no host gives, that differs from
// the holder's choice, or that does not say which name is unknown.
func checkExplainRoute(t *testing.T, urls, token []string, keyFile, key string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(keyFile, []byte(key), 0o600))
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{daisysandbox.ProfileWrite, "--workspace", "new", "--kind", "write"}, 0, "only the primary may run the transaction"},
		{[]string{daisysandbox.ProfileWrite, "--key-file", keyFile, "--kind", "read"}, 0, "a replica is fresh enough"},
		{[]string{"none", "--workspace", "new"}, 1, `unknown profile "none"`},
		{[]string{daisysandbox.ProfileWrite, "--workspace", "none"}, 1, `unknown workspace "none"`},
		{[]string{daisysandbox.ProfileWrite, "--workspace", "new", "--kind", "sum"}, 2, `unknown kind of statement "sum"`},
	}
	for _, test := range tests {
		found := false
		for _, url := range urls {
			args := append([]string{"explain", "route", "--server", url}, append(test.args, token...)...)
			code, stdout, stderr := run(args...)
			assert.Check(t, code == test.code, "%v: %d %s", args, code, stderr)
			found = found || strings.Contains(stdout+stderr, test.want)
		}
		assert.Check(t, found, "%v", test.args)
	}
}

// Guards against orders for failure domains that do not exist, and against a command
// that fails when it is repeated.
func TestEvacuate(t *testing.T) {
	f, err := daisysandbox.Open(t.Context(), daisynet.TCP{}, t.TempDir(), 3, &log.Logger{Handler: discard.New()})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	access := []string{"--server", f.URLs()[0], "--token-file", filepath.Join(f.Folder, "operator.token")}
	do := func(args ...string) (int, string, string) { return run(append(args, access...)...) }
	status := func(want bool) {
		t.Helper()
		for i := 0; ; i++ {
			_, stdout, _ := do("status")
			if strings.Contains(stdout, `"cardiff"`) == want {
				return
			}
			assert.Assert(t, i < 5000, stdout)
		}
	}
	code, _, stderr := do("evacuate", "nowhere")
	assert.Equal(t, code, 1)
	assert.Check(t, strings.Contains(stderr, "no host or member is in failure domain nowhere"), stderr)
	for range 2 { // A repeated order or withdrawal is acknowledged.
		code, _, stderr = do("evacuate", "cardiff")
		assert.Equal(t, code, 0, stderr)
	}
	status(true)
	for range 2 {
		code, _, stderr = do("evacuate", "cardiff", "--undo")
		assert.Equal(t, code, 0, stderr)
	}
	status(false)
}

// revision finds the revision of the named object in a JSON list.
func revision(t *testing.T, list, name string) string {
	t.Helper()
	_, rest, ok := strings.Cut(list, `"Name":"`+name+`","Revision":`)
	assert.Check(t, ok, list)
	end := strings.IndexAny(rest, ",}")
	return rest[:end]
}
