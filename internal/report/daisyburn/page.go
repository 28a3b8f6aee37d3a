package daisyburn

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"time"
)

// Sizes of the plots in pixels.
const (
	barWidth  = 220
	barHeight = 14
)

// fullBar is the burn rate at which a bar is full; its scale is logarithmic.
const fullBar = 1000

// pageData is what the page shows.
type pageData struct {
	Made      string
	Hosts     int
	Burns     []Burn
	Latencies []Latency
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"bar": bar, "colour": colour, "span": span, "share": share, "width": func() int { return barWidth }, "height": func() int { return barHeight },
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
<p>{{.Made}}, {{.Hosts}} hosts asked. A rate of 1 uses up the budget over 30 days; the bars are logarithmic up to 1000.</p>
<table><tr><th>Workspace</th><th>Profile</th><th>Objective</th><th>Window</th><th>Burn rate</th><th></th><th>Bad of all</th><th>Budget lasts</th></tr>
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

// WritePage writes a page with tables and plots that needs nothing else.
func WritePage(w io.Writer, reports []Report, made time.Time) error {
	d := pageData{Made: made.UTC().Format("2006-01-02 15:04 UTC"), Hosts: len(reports), Burns: Merge(reports)}
	for _, r := range reports {
		d.Latencies = append(d.Latencies, r.Latencies...)
	}
	return page.Execute(w, d)
}

// bar returns the length of a bar for a burn rate.
func bar(rate float64) string {
	length := math.Log10(1+rate) / math.Log10(1+fullBar)
	return fmt.Sprintf("%.0f", barWidth*math.Min(1, length))
}

// colour returns the colour for a burn rate.
func colour(rate float64) string {
	switch {
	case rate >= 10:
		return "#c2334d"
	case rate >= 1:
		return "#e0912f"
	}
	return "#3f9a6b"
}

// span writes a length of time in its largest unit.
func span(d time.Duration) string {
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

func share(objective float64) string { return fmt.Sprintf("%.4g%%", 100*objective) }

// CauseText lists the causes of the bad requests of the window.
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
