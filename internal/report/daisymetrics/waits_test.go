package daisymetrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/report/daisymetrics"
)

// Guards against waits that are counted in a wrong bucket or not cumulatively, so that a
// query for a quantile is wrong.
func TestWaitsAreServedAsHistogram(t *testing.T) {
	r := daisymetrics.New()
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, 6 * time.Millisecond, time.Minute} {
		r.RecordWait("queue", "filing", wait)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	for _, line := range []string{
		`daisyglade_wait_seconds_bucket{place="queue",profile="filing",le="0.001"} 1`,
		`daisyglade_wait_seconds_bucket{place="queue",profile="filing",le="0.005"} 2`,
		`daisyglade_wait_seconds_bucket{place="queue",profile="filing",le="5"} 3`,
		`daisyglade_wait_seconds_bucket{place="queue",profile="filing",le="+Inf"} 4`,
		`daisyglade_wait_seconds_sum{place="queue",profile="filing"} 60.011`,
		`daisyglade_wait_seconds_count{place="queue",profile="filing"} 4`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line+"\n"), "%s is not in\n%s", line, w.Body)
	}
}
