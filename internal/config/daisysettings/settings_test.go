package daisysettings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisysettings"
)

// folder returns a folder in which every file that the text names exists.
func folder(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for _, m := range regexp.MustCompile(`"((?:certs|secrets)/[^"]+)"`).FindAllStringSubmatch(text, -1) {
		path := filepath.Join(dir, m[1])
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		assert.NilError(t, os.WriteFile(path, []byte("content\n"), 0o600))
	}
	return dir
}

func read(t *testing.T, text string) (daisysettings.Settings, error) {
	t.Helper()
	path := filepath.Join(folder(t, text), "host.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return daisysettings.Read(path)
}

func example(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../examples", name))
	assert.NilError(t, err)
	return string(text)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.jsonc")
	assert.NilError(t, err)
	assert.Check(t, len(files) >= 2)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s, err := read(t, example(t, filepath.Base(file)))
			assert.NilError(t, err)
			assert.Equal(t, len(s.Databases), 3)
			assert.Equal(t, s.StopLimit, 20*time.Second)
			assert.Equal(t, s.Operations.OperatorToken, "content")
		})
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           string // After the file's name.
	}{
		{"NoHost", `"Host": "cardiff-1"`, `"Host": ""`, "Host is empty or missing"},
		{"Address", `"Listen": "0.0.0.0:5432"`, `"Listen": "localhost:5432"`, "Entry.Listen is not an IP address and port"},
		{"Duration", `"20s"`, `"20"`, "StopLimit is not a positive duration such as 20s"},
		{"UnknownField", `"Region"`, `"Regoin"`, "Regoin is not a known field"},
		{"WrongType", `"MaxSessions": 2000`, `"MaxSessions": "many"`, "Entry.MaxSessions is a string where a int64 is wanted"},
		{"Negative", `"MaxSessions": 2000`, `"MaxSessions": -1`, "Entry.MaxSessions is negative"},
		{"Choice", `"Level": "info"`, `"Level": "loud"`, "Log.Level is not one of the values allowed"},
		{"NoFolder", `"DataFolder": "data",`, ``, "DataFolder is empty or missing, and Control.Enabled needs it"},
		{"NoControl", `["10.1.0.1:7401", "10.2.0.1:7401", "10.3.0.1:7401"]`, `[]`, "Control.Hosts is empty or missing"},
		{"Twice", `"Name": "baskets2"`, `"Name": "baskets1"`, "Databases.1.Name is given twice"},
		{"NoSecret", `"secrets/operator.token"`, `"absent"`, "Operations.OperatorTokenFile names a file that cannot be read"},
		{"Syntax", `"Region":`, `"Region"`, ""},
	}
	text := example(t, "pegwen-cardiff-1.jsonc")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Check(t, strings.Contains(text, test.old))
			_, err := read(t, strings.Replace(text, test.old, test.new, 1))
			var faults *daisysettings.Error
			assert.Check(t, errors.As(err, &faults), "%v", err)
			assert.Equal(t, len(faults.Faults), 1, "%v", faults.Faults)
			assert.Check(t, strings.Contains(faults.Faults[0], test.want), faults.Faults[0])
			line := 1 + strings.Count(text[:strings.Index(text, test.old)], "\n")
			if test.name != "NoFolder" && test.name != "Syntax" {
				assert.Check(t, strings.HasPrefix(faults.Faults[0], fmt.Sprint(line, ":")), "line %d: %s", line, faults.Faults[0])
			}
		})
	}
}

func TestEveryFaultIsReported(t *testing.T) {
	text := example(t, "pegwen-cardiff-1.jsonc")
	text = strings.Replace(text, `"20s"`, `"soon"`, 1)
	text = strings.Replace(text, `"cardiff-1"`, `""`, 1)
	_, err := read(t, text)
	var faults *daisysettings.Error
	assert.Check(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.Faults), 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Host": "h", /* comment */ "Link": {"Listen": "1.2.3.4:5"},}`))
	f.Add([]byte(`{"Databases": [{"Name": 1}]}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = daisysettings.Parse("fuzz.jsonc", content)
	})
}
