// Package daisytrace tells what became of one request, from the logs of many
// hosts: every line that names the request, and what each host that handled it
// believed at that time.
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

// maxLine is the longest line that is read.
const maxLine = 1 << 20

// beliefPrefixes begin the messages with which a host says what it believes from
// then on.
var beliefPrefixes = []string{"front: ", "keeper: ", "carrier: ", "process: ", "journal: "}

// Entry is one line of a log.
type Entry struct {
	Time    time.Time
	Level   string
	Host    string
	Message string
	Fields  map[string]any
}

// Read reads the lines of a log. Lines that are no entries are skipped, and so
// is what stands before an entry on its line, as an address or a time that a
// collector has added.
func Read(r io.Reader) (entries []Entry, err error) {
	defer daisyerror.Annotate(&err, "read log")
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
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

// ForRequest returns the entries that tell the story of a request, in the order of
// time: those that name it, and before them the latest belief of each kind of
// every host that handled it.
func ForRequest(request string, entries []Entry) []Entry {
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	handled := make(map[string]time.Time) // When each host first handled it.
	var story []Entry
	for _, e := range entries {
		if e.Fields["Request"] != request {
			continue
		}
		story = append(story, e)
		if _, ok := handled[e.Host]; !ok {
			handled[e.Host] = e.Time
		}
	}
	story = append(beliefs(handled, entries), story...)
	slices.SortStableFunc(story, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return story
}

// beliefs returns, for every host that handled the request, the latest entry of
// each kind of belief before it did.
func beliefs(handled map[string]time.Time, entries []Entry) []Entry {
	type kind struct{ host, message, subject string }
	latest := make(map[kind]Entry)
	for _, e := range entries {
		first, ok := handled[e.Host]
		if !ok || e.Time.After(first) || !believes(e) {
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

func believes(e Entry) bool {
	return slices.ContainsFunc(beliefPrefixes, func(p string) bool { return strings.HasPrefix(e.Message, p) })
}

// Write writes the story, one line an entry, with times relative to the first
// entry that names the request.
func Write(w io.Writer, request string, story []Entry) (err error) {
	defer daisyerror.Annotate(&err, "write story")
	var began time.Time
	for _, e := range story {
		if e.Fields["Request"] == request {
			began = e.Time
			break
		}
	}
	for _, e := range story {
		at := e.Time.Sub(began).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%10s  %-24s %s%s\n", at, e.Host, e.Message, fieldText(e.Fields)); err != nil {
			return err
		}
	}
	return nil
}

// fieldText formats fields in the order of their names, without the request.
func fieldText(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "Request" {
			fmt.Fprintf(&b, " %s=%v", name, fields[name])
		}
	}
	return b.String()
}
