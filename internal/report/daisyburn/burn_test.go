package daisyburn_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/report/daisyburn"
)

// tolerance is the permitted rounding error of a rate.
const tolerance = 1e-9

func newRecorder(t *testing.T) *daisyburn.Recorder {
	view := daisyfleet.NewView()
	profile := daisyfleet.Profile{Database: "d", Objective: 0.99, Latency: 100 * time.Millisecond}
	assert.NilError(t, view.Update(func(s *daisyfleet.State) error {
		return s.Merge(daisyfleet.Delta{To: 1, Objects: []daisyfleet.Object{{ID: daisyfleet.ID{Kind: daisyfleet.KindProfile, Name: "p"}, Revision: 1, Value: profile}}})
	}))
	return daisyburn.NewRecorder(view)
}

func TestRates(t *testing.T) {
	tests := []struct {
		name              string
		good, slow, limit int
		rate              float64
	}{
		{"Nothing", 0, 0, 0, 0},
		{"AllGood", 100, 0, 0, 0},
		{"ExactlyTheBudget", 99, 0, 1, 1},
		{"SlowCountsAsBad", 98, 1, 1, 2},
		{"AllBad", 0, 0, 10, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRecorder(t)
				for range test.good {
					r.Record("w", "p", daisystream.CauseNone, time.Millisecond, false)
				}
				for range test.slow {
					r.Record("w", "p", daisystream.CauseNone, time.Second, false)
				}
				for range test.limit {
					r.Record("w", "p", daisystream.CauseLimit, time.Millisecond, false)
				}
				burns := daisyburn.Merge([]daisyburn.Report{r.Report("h1")})
				if test.good+test.slow+test.limit == 0 {
					assert.Equal(t, len(burns), 0)
					return
				}
				for _, rate := range burns[0].Rates {
					assert.Check(t, math.Abs(rate.Rate-test.rate) < tolerance, "%v", rate)
					assert.Equal(t, rate.Causes[daisystream.CauseLimit], uint64(test.limit))
				}
			})
		})
	}
}

// A bad request stops counting in each window once it is older than the window.
func TestWindowsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder(t)
		r.Record("w", "p", daisystream.CauseFailover, time.Millisecond, false)
		for _, step := range []struct {
			age  time.Duration
			left int
		}{{0, 4}, {6 * time.Minute, 3}, {2 * time.Hour, 2}, {10 * time.Hour, 1}, {80 * time.Hour, 0}} {
			time.Sleep(step.age)
			left := 0
			for _, rate := range daisyburn.Merge([]daisyburn.Report{r.Report("h")})[0].Rates {
				left += int(rate.Bad)
			}
			assert.Equal(t, left, step.left, "after %s", step.age)
		}
	})
}

func TestMergeSumsHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newRecorder(t), newRecorder(t)
		a.Record("w", "p", daisystream.CauseNone, time.Millisecond, true)
		b.Record("w", "p", daisystream.CauseUnknown, time.Millisecond, false)
		burn := daisyburn.Merge([]daisyburn.Report{a.Report("a"), b.Report("b")})[0]
		assert.Equal(t, burn.Requests, uint64(2))
		assert.Equal(t, burn.Replica, 0.5)
		assert.Equal(t, burn.Rates[0].Bad, uint64(1))
	})
}

func TestSeriesAreBounded(t *testing.T) {
	r := newRecorder(t)
	for i := range 2100 {
		r.Record(fmt.Sprint("w", i), "p", daisystream.CauseNone, time.Millisecond, false)
	}
	report := r.Report("h")
	assert.Equal(t, len(report.Series), 2001)
	assert.Equal(t, report.Series[0].Workspace, daisyburn.OtherWorkspaces)
	assert.Equal(t, report.Series[0].Requests, uint64(100))
}

func TestPageIsSelfContained(t *testing.T) {
	r := newRecorder(t)
	r.Record("<b>w", "p", daisystream.CauseLimit, time.Millisecond, false)
	var b strings.Builder
	assert.NilError(t, daisyburn.WritePage(&b, []daisyburn.Report{r.Report("h1")}, time.Unix(0, 0)))
	page := b.String()
	assert.Check(t, strings.Contains(page, "&lt;b&gt;w"))
	for _, outside := range []string{"http://", "https://", "<script", "<link"} {
		assert.Check(t, !strings.Contains(page, outside), outside)
	}
}
