package daisyburn

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"time"
)

// Size of a bar in pixels.
const (
	barWidth  = 220
	barHeight = 14
)

// maxBarRate is the burn rate at which a bar has its full length; the scale is
// logarithmic.
const maxBarRate = 1000

// pageData is the input of the page template.
type pageData struct {
	Generated string
	Hosts     int
	Burns     []Burn
	Latencies []Latency
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"bar": barLength, "colour": barColour, "span": formatDuration, "share": formatPercent, "width": func() int { return barWidth }, "height": func() int { return barHeight },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:1100px;color:#223;background:#fafbfc}
h1{font-size:1.5rem;margin:0}h2{font-size:1.1rem;margin:2rem 0 .5rem}
p{color:#556;margin:.2rem 0 1rem}
table{border-collapse:collapse;width:100%;background:#fff;box-shadow:0 1px 3px #0002;border-radius:6px;overflow:hidden}
th,td{padding:.45rem .7rem;text-align:left;border-bottom:1px solid #eef}th{background:#f1f4f8;font-weight:600}
td.n{text-align:right;font-variant-numeric:tabular-nums}.cause{color:#778;font-size:12px}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.Generated}}, reported by {{.Hosts}} hosts. A rate of 1 consumes the error budget in exactly 30 days; the bars are logarithmic up to 1000.</p>
<table><tr><th>Workspace</th><th>Profile</th><th>Objective</th><th>Window</th><th>Burn rate</th><th></th><th>Bad of total requests</th><th>Budget lasts</th></tr>
{{range .Burns}}{{$b := .}}{{range $i, $r := .Rates}}<tr>
<td>{{if eq $i 0}}{{$b.Workspace}}{{end}}</td><td>{{if eq $i 0}}{{$b.Profile}}{{end}}</td><td>{{if eq $i 0}}{{share $b.Objective}}{{end}}</td>
<td>{{span $r.Window}}</td>
<td><svg width="{{width}}" height="{{height}}" role="img"><rect width="{{width}}" height="{{height}}" rx="3" fill="#eef1f5"/><rect width="{{bar $r.Rate}}" height="{{height}}" rx="3" fill="{{colour $r.Rate}}"/></svg></td>
<td class="n">{{printf "%.2f" $r.Rate}}</td><td class="n">{{$r.Bad}} of {{$r.Total}}<div class="cause">{{$r.CauseText}}</div></td><td class="n">{{span $r.Lasts}}</td></tr>
{{end}}{{end}}</table>
<h2>Latency since the hosts started</h2>
<table><tr><th>Profile</th><th>Median</th><th>99%</th><th>99.9%</th><th>Largest</th></tr>
{{range .Latencies}}<tr><td>{{.Profile}}</td><td class="n">{{.Median}}</td><td class="n">{{.P99}}</td><td class="n">{{.P999}}</td><td class="n">{{.Max}}</td></tr>
{{end}}</table></body></html>
`))

// WritePage writes an HTML page with the burn rates and latencies. The page loads
// no other resource.
func WritePage(w io.Writer, reports []Report, generated time.Time) error {
	d := pageData{Generated: generated.UTC().Format("2006-01-02 15:04 UTC"), Hosts: len(reports), Burns: Merge(reports)}
	for _, r := range reports {
		d.Latencies = append(d.Latencies, r.Latencies...)
	}
	return page.Execute(w, d)
}

// barLength returns the length of the bar for a burn rate, in pixels.
func barLength(rate float64) string {
	length := math.Log10(1+rate) / math.Log10(1+maxBarRate)
	return fmt.Sprintf("%.0f", barWidth*math.Min(1, length))
}

// barColour returns the colour of the bar for a burn rate.
func barColour(rate float64) string {
	switch {
	case rate >= 10:
		return "#c2334d"
	case rate >= 1:
		return "#e0912f"
	}
	return "#3f9a6b"
}

// formatDuration formats a duration in days, hours or minutes.
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d >= 48*time.Hour:
		return fmt.Sprintf("%.1f days", d.Hours()/24)
	case d >= time.Hour:
		return fmt.Sprintf("%.1f h", d.Hours())
	}
	return fmt.Sprintf("%.1f min", d.Minutes())
}

func formatPercent(fraction float64) string { return fmt.Sprintf("%.4g%%", 100*fraction) }

// CauseText lists the causes of the window's bad requests with their counts.
func (r Rate) CauseText() string {
	text := ""
	add := func(name string, n uint64) {
		if n == 0 {
			return
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", name, n)
	}
	for _, c := range causes {
		add(string(c), r.Causes[c])
	}
	add("Slow", r.Slow)
	return text
}
