package daisytrace_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/report/daisytrace"
)

const logs = `{"Time":"2026-12-04T10:00:00Z","Level":"info","Host":"h1","Message":"front: primary changed","Fields":{"Service":"s1","Primary":"m1","Round":1}}
{"Time":"2026-12-04T10:00:01Z","Level":"info","Host":"h1","Message":"front: primary changed","Fields":{"Service":"s1","Primary":"m2","Round":2}}
collected 12:00 h2 {"Time":"2026-12-04T10:00:02.100Z","Level":"info","Host":"h2","Message":"gateway: statement request not answered by the server","Fields":{"Request":"r1","Waiting":40}}
not a log line
{"Time":"2026-12-04T10:00:02.300Z","Level":"info","Host":"h1","Message":"session: statement not served","Fields":{"Request":"r1","Code":"Busy"}}
{"Time":"2026-12-04T10:00:02.4Z","Level":"info","Host":"h3","Message":"session: statement not served","Fields":{"Request":"r2","Code":"Busy"}}
{"Time":"2026-12-04T10:00:03Z","Level":"info","Host":"h1","Message":"front: primary changed","Fields":{"Service":"s1","Primary":"m3","Round":3}}
{"broken
`

func TestTraceOfRequest(t *testing.T) {
	entries, err := daisytrace.Read(strings.NewReader(logs))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 6)
	var b strings.Builder
	assert.NilError(t, daisytrace.Write(&b, "r1", daisytrace.ForRequest("r1", entries)))
	want := []string{
		"-1.1s  h1                       front: primary changed Primary=m2 Round=2 Service=s1",
		"0s  h2                       gateway: statement request not answered by the server Waiting=40",
		"200ms  h1                       session: statement not served Code=Busy",
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), len(want), b.String())
	for i := range want {
		assert.Equal(t, strings.TrimSpace(lines[i]), want[i])
	}
}

func TestUnknownRequest(t *testing.T) {
	entries, err := daisytrace.Read(strings.NewReader(logs))
	assert.NilError(t, err)
	assert.Equal(t, len(daisytrace.ForRequest("r9", entries)), 0)
}
