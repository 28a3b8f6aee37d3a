// Package daisytrace extracts the trace of one request from the logs of many
// hosts: every entry that names the request, and the state changes that each host
// which handled the request had last logged before it did.
package daisytrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// statePrefixes are the prefixes of messages that log a change of the host's state,
// such as its lease or the primary that it routes to. They stand for the entry host,
// the lease client, the forwarder, the process and the log writer.
var statePrefixes = []string{"front: ", "keeper: ", "carrier: ", "process: ", "journal: "}

// Entry is one line of a log.
type Entry struct {
	Time    time.Time
	Level   string
	Host    string
	Message string
	Fields  map[string]any
}

// Read reads the entries of a log, one per line. It skips lines that hold no entry
// and any text before an entry, such as an address or a time that a log collector
// added.
func Read(r io.Reader) (entries []Entry, err error) {
	defer daisyerror.Annotate(&err, "read log")
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var e Entry
		if json.Unmarshal([]byte(text[start:]), &e) == nil && e.Message != "" {
			entries = append(entries, e)
		}
	}
	return entries, lines.Err()
}

// ForRequest returns the trace of a request in the order of time: the entries that
// name the request and, for every host that handled it, the latest state change of
// each kind before the host first handled it.
func ForRequest(request string, entries []Entry) []Entry {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	firstHandled := make(map[string]time.Time) // By host.
	var trace []Entry
	for _, e := range entries {
		if e.Fields["Request"] != request {
			continue
		}
		trace = append(trace, e)
		if _, ok := firstHandled[e.Host]; !ok {
			firstHandled[e.Host] = e.Time
		}
	}
	trace = append(stateChanges(firstHandled, entries), trace...)
	slices.SortStableFunc(trace, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return trace
}

// stateChanges returns, for every host that handled the request, the latest state
// change of each kind up to the time at which it first did.
func stateChanges(firstHandled map[string]time.Time, entries []Entry) []Entry {
	type kind struct{ host, message, subject string }
	latest := make(map[kind]Entry)
	for _, e := range entries {
		first, ok := firstHandled[e.Host]
		if !ok || e.Time.After(first) || !isStateChange(e) {
			continue
		}
		latest[kind{e.Host, e.Message, fmt.Sprint(e.Fields["Service"])}] = e
	}
	all := slices.Collect(maps.Values(latest))
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Message, b.Message))
	})
	return all
}

func isStateChange(e Entry) bool {
	return slices.ContainsFunc(statePrefixes, func(p string) bool { return strings.HasPrefix(e.Message, p) })
}

// Write writes the trace, one line per entry, with times relative to the first
// entry that names the request.
func Write(w io.Writer, request string, trace []Entry) (err error) {
	defer daisyerror.Annotate(&err, "write trace")
	var start time.Time
	for _, e := range trace {
		if e.Fields["Request"] == request {
			start = e.Time
			break
		}
	}
	for _, e := range trace {
		at := e.Time.Sub(start).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%10s  %-24s %s%s\n", at, e.Host, e.Message, fieldText(e.Fields)); err != nil {
			return err
		}
	}
	return nil
}

// fieldText formats fields in the order of their names, except the request.
func fieldText(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "Request" {
			fmt.Fprintf(&b, " %s=%v", name, fields[name])
		}
	}
	return b.String()
}
