package daisysettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/daisyglade/daisyglade/internal/config/daisyschema"
)

// Error reports all faults of a settings file, one a line.
type Error struct {
	File   string
	Faults []string // Each begins with a line number.
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + ":" + f
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns errInvalid, which all faults in settings share.
func (e *Error) Unwrap() error { return errInvalid }

// Read reads and checks the settings file. Paths in it may be relative to its
// folder. Faults are returned as *Error.
func Read(path string) (s Settings, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(path, content)
}

// Parse decodes and checks settings that were read from the path.
func Parse(path string, content []byte) (s Settings, err error) {
	tree, err := hujson.Parse(content)
	if err != nil {
		return s, &Error{File: path, Faults: []string{syntaxFault(err)}}
	}
	root := tree.Clone()
	tree.Standardize()
	var w daisyschema.Settings
	decoder := json.NewDecoder(bytes.NewReader(tree.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return s, &Error{File: path, Faults: []string{decodeFault(&root, content, err)}}
	}
	m := &mapper{folder: filepath.Dir(path)}
	s = m.settings(&w)
	if len(m.faults) == 0 {
		return s, nil
	}
	e := &Error{File: path}
	for _, f := range m.faults {
		e.Faults = append(e.Faults, fmt.Sprintf("%d: %s %s", lineOf(&root, content, f.pointer), fieldName(f.pointer), f.message))
	}
	return s, e
}

var linePattern = regexp.MustCompile(`line (\d+)`)

func syntaxFault(err error) string {
	line := "1"
	if m := linePattern.FindStringSubmatch(err.Error()); m != nil {
		line = m[1]
	}
	return line + ": " + err.Error()
}

var unknownPattern = regexp.MustCompile(`unknown field "([^"]+)"`)

// decodeFault describes a decoding error, with the line and name of a field that
// is unknown or of the wrong type.
func decodeFault(root *hujson.Value, content []byte, err error) string {
	if m := unknownPattern.FindStringSubmatch(err.Error()); m != nil {
		return fmt.Sprintf("%d: %s is not a known field", lineOfName(root, content, m[1]), m[1])
	}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		pointer := "/" + strings.ReplaceAll(t.Field, ".", "/")
		return fmt.Sprintf("%d: %s is a %s where a %s is wanted", lineOf(root, content, pointer), t.Field, t.Value, t.Type)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "1: unexpected end of file"
	}
	return "1: " + err.Error()
}

// lineOf returns the line of the field or, if it is missing, of the innermost
// object that should hold it.
func lineOf(root *hujson.Value, content []byte, pointer string) int {
	for pointer != "" {
		if v := root.Find(pointer); v != nil {
			return lineAt(content, v.StartOffset)
		}
		pointer = pointer[:strings.LastIndex(pointer, "/")]
	}
	return 1
}

// lineOfName returns the line of the first member with the name.
func lineOfName(root *hujson.Value, content []byte, name string) int {
	line := 1
	for v := range root.All() {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for i := range object.Members {
			literal, ok := object.Members[i].Name.Value.(hujson.Literal)
			if ok && literal.String() == name {
				return lineAt(content, object.Members[i].Name.StartOffset)
			}
		}
	}
	return line
}

func lineAt(content []byte, offset int) int {
	return 1 + bytes.Count(content[:min(offset, len(content))], []byte("\n"))
}

func pointerTo(list string, i int) string { return list + "/" + strconv.Itoa(i) }

func fieldName(pointer string) string {
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

// path resolves a path relative to the folder of the settings file.
func (m *mapper) path(value string) string {
	if value == "" || filepath.IsAbs(value) {
		return value
	}
	return filepath.Join(m.folder, value)
}

// file resolves a path to a file that must exist.
func (m *mapper) file(pointer, value string) string {
	if value == "" {
		m.fault(pointer, "is empty or missing")
		return ""
	}
	path := m.path(value)
	if _, err := os.Stat(path); err != nil {
		m.fault(pointer, "names a file that cannot be read")
	}
	return path
}

// secret reads a secret from a file and trims white space around it.
func (m *mapper) secret(pointer, value string) string {
	path := m.file(pointer, value)
	if path == "" {
		return ""
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	secret := strings.TrimSpace(string(content))
	if secret == "" {
		m.fault(pointer, "names an empty file")
	}
	return secret
}
