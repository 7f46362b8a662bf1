package report

import (
	"bytes"
	"fmt"
	"html/template"

	"otterseam/sim/batch"
)

// Largest numbers of groups for which a page shows shares and the charts of the first run.
const (
	maxGroupsShown      = 8
	maxGroupsShownSwept = 4 // where the page has the curves of a sweep
)

// section holds the charts of one run.
type section struct {
	Name   string
	Charts []template.HTML
}

// pageData is the input of the page's template.
type pageData struct {
	Title, Text, Diff, Key string
	Violations             []string
	Sweep                  []template.HTML
	Shares                 template.HTML
	Sections               []section
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}svg{max-width:100%;height:auto}
pre{background:#f5f5f2;padding:.8rem;overflow:auto;font-size:12.5px;line-height:1.45}.bad{color:#a01030}
.row{display:flex;flex-wrap:wrap;gap:.5rem}
</style>
<h1>{{.Title}}</h1>
<p>Figures of a simulation: hosts, counter, clients and api gateways are models, the policy module is the product's own code.
Shares are of the billed value asked for inside the quotas.</p>
{{range .Violations}}<p class="bad">{{.}}</p>{{end}}
<pre>{{.Text}}</pre>
{{if .Diff}}<h2>Difference by cause, seed by seed</h2><pre>{{.Diff}}</pre>{{end}}
{{if .Sweep}}<h2>Against {{.Key}}</h2><div class="row">{{range .Sweep}}{{.}}{{end}}</div>{{end}}
<h2>Plans, customers by their use, operations</h2>{{.Shares}}
{{range .Sections}}<h2>{{.Name}}</h2><div class="row">{{range .Charts}}{{.}}{{end}}</div>{{end}}
</html>
`))

// HTML returns one self-contained page with tables, the differences from the first group, the curves of a sweep, and the charts of the
// first run of each of at most eight groups.
func HTML(title string, runs []*batch.Run) ([]byte, error) {
	groups := Groups(runs)
	data := pageData{Title: title, Key: sweptKey(groups), Violations: violations(runs)}
	for _, fill := range []func(data *pageData, groups []*Group, runs []*batch.Run) error{
		fillText, fillSweep, fillShares, fillSections,
	} {
		if err := fill(&data, groups, runs); err != nil {
			return nil, err
		}
	}
	var written bytes.Buffer
	if err := page.Execute(&written, data); err != nil {
		return nil, err
	}
	return written.Bytes(), nil
}

func violations(runs []*batch.Run) []string {
	var lines []string
	for _, run := range runs {
		if run.ViolationCount > 0 {
			lines = append(lines, fmt.Sprintf("%d rules broken on %s, seed %d, by %s", run.ViolationCount, run.Day, run.Seed, run.Decider))
		}
	}
	return lines
}

// fillText writes the tables, and the differences between groups if no key was swept.
func fillText(data *pageData, _ []*Group, runs []*batch.Run) error {
	var text bytes.Buffer
	if err := Text(&text, runs); err != nil {
		return err
	}
	data.Text = text.String()
	if data.Key != "" {
		return nil
	}
	var differences bytes.Buffer
	if err := Differences(&differences, runs); err != nil {
		return err
	}
	data.Diff = differences.String()
	return nil
}

// fillSweep draws outcomes against the swept key, if there is one.
func fillSweep(data *pageData, groups []*Group, _ []*batch.Run) error {
	if data.Key == "" {
		return nil
	}
	for i, index := range []int{servedInTime, beyondQuota, throttledWithRoom, netValue} {
		chart, err := sweepChart(groups, data.Key, outcomes[index])
		if err != nil {
			return err
		}
		if chart != "" || i > 0 {
			data.Sweep = append(data.Sweep, chart)
		}
	}
	return nil
}

func fillShares(data *pageData, groups []*Group, runs []*batch.Run) error {
	if len(groups) > maxGroupsShown {
		return nil
	}
	chart, err := sharesChart(groups, runs)
	data.Shares = chart
	return err
}

func fillSections(data *pageData, groups []*Group, _ []*batch.Run) error {
	limit := maxGroupsShown
	if data.Key != "" {
		limit = maxGroupsShownSwept
	}
	for _, group := range groups[:min(limit, len(groups))] {
		first := group.Runs[0]
		charts, err := runCharts(first)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, section{
			Name: fmt.Sprintf("%s: %s, seed %d, %d api gateways, %d hosts",
				group.Day, group.Name(), first.Seed, first.Gateways, first.Hosts),
			Charts: charts,
		})
	}
	return nil
}
