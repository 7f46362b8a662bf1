// Package fleet plays scripts: api gateway processes, the stand-ins and the links between all of them on loopback, with
// faults at moments or on events, judged by the referee and by what the script promises. It must never strike what it has
// not started, nor leave a process behind.
package fleet

import (
	"context"
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"otterseam/harness/sockets"
	"otterseam/sim/assets"
	"otterseam/sim/metrics"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

//go:embed scripts/*.toml
var files embed.FS

var scripts = assets.Set{Files: files, Folder: "scripts", Kind: "script"}

// Names are the scripts that come with the program, in order.
func Names() []string { return scripts.Names() }

// Load reads a script by its name, or from a file.
func Load(name string) (*scenario.Scenario, error) {
	file, text, err := scripts.Read(name)
	if err != nil {
		return nil, err
	}
	d, err := scenarios.Over(file, text)
	if err != nil {
		return nil, err
	}
	return d, Check(d)
}

// Check says what of a script can't be played.
func Check(d *scenario.Scenario) error {
	if err := sockets.Check(d); err != nil {
		return err
	}
	if d.Fleet.Gateways.Hi > 32 {
		return fmt.Errorf("%s: %.0f api gateways are more processes than one machine should run: at most 32", d.Name, d.Fleet.Gateways.Hi)
	}
	return nil
}

// Options say with what a script is played.
type Options struct {
	Gateway string // the program of the api gateway
	Keeper  string // that of keepers; "": beside it
	Dir     string // for configurations, folders and logs
	Memory  float64
	Env     []string // further variables of the api gateways
	Tell    func(text string)
	direct  bool // keepers reach each other without a link between them
}

// Story is what is known of one thing that was broken.
type Story struct {
	Text   string   `json:"text"`
	Lines  []string `json:"lines,omitempty"`
	Faults []string `json:"faults,omitempty"` // in force at that time
}

// Result is a script that was played.
type Result struct {
	Script   *scenario.Scenario `json:"-"`
	Seed     uint64             `json:"seed"`
	Gateways int                `json:"gateways"`
	Figures  *metrics.Results   `json:"figures"`
	Spans    []*Span            `json:"faults"`
	Lines    []Line             `json:"log"`
	Mail     float64            `json:"mail"`
	Struck   int                `json:"struck"`
	Runs     []bool             `json:"runs"` // by api gateway, at the end
	Held     *Kept              `json:"held,omitempty"`
	Kept     []string           `json:"promises"`
	Broken   []Story            `json:"broken"`
}

// Play plays a script.
func Play(ctx context.Context, script *scenario.Scenario, seed uint64, o Options) (*Result, error) {
	if err := Check(script); err != nil {
		return nil, err
	}
	d := script.Draw(seed)
	n := d.Fleet.Gateways.Int()
	for e := range n { // of an earlier play in the same folder
		os.Remove(filepath.Join(o.Dir, fmt.Sprintf("edge-%d.log", e)))
	}
	r := newRig(d, seed)
	r.logs = newLogs(o.Dir, n)
	defer r.close()
	var envOf func(int) []string
	if d.QuotaStore.Count.Int() > 0 {
		if o.Keeper == "" {
			o.Keeper = filepath.Join(filepath.Dir(o.Gateway), "otterseam-quotastore")
		}
		var err error
		r.keepers, err = newKeepers(ctx, r, o, &d.QuotaStore, seed)
		defer r.keepers.end()
		if err != nil {
			return nil, err
		}
		if d.QuotaStore.Holds == "all" {
			files := make([]string, n)
			for e := range n {
				if files[e], err = r.keepers.operator(e); err != nil {
					return nil, err
				}
			}
			envOf = func(slot int) []string { return []string{"EDGE_OPERATOR=" + files[slot]} }
		}
	}
	res := &Result{Script: d, Seed: seed, Gateways: n, Runs: make([]bool, n)}
	at := &atEnd{rig: r, res: res}
	f, w, err := sockets.Play(ctx, d, seed, sockets.Options{
		Gateway: o.Gateway, Dir: o.Dir, MemoryMB: o.Memory, Env: o.Env, EnvOf: envOf,
		Report: o.Tell, Interceptor: at,
	})
	if r.world != nil {
		r.logs.end()
	}
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	res.Mail = float64(r.mailed)
	r.mu.Unlock()
	res.Figures, res.Spans, res.Lines, res.Struck = f, r.spans, r.logs.lines(), r.struck
	if r.keepers != nil {
		res.Held = r.keepers.judge()
		for _, b := range w.Oracle.Violations {
			if b.Rule == 2 {
				res.Held.Second = append(res.Held.Second, b.String())
			}
		}
	}
	res.promises(w.Oracle.ExpectationFailed)
	f.ViolationCount, f.Violations = w.Oracle.Total, w.Oracle.Violations
	for _, b := range w.Oracle.Violations {
		s := Story{Text: b.String(), Lines: r.kept[b.Ref]}
		if len(s.Lines) == 0 {
			s.Lines = r.stories[b.Ref]
		}
		for _, x := range r.spans {
			if b.Ref != "" && x.Begins <= b.At && x.Ends+healing >= b.At {
				s.Faults = append(s.Faults, x.String())
			}
		}
		res.Broken = append(res.Broken, s)
	}
	return res, nil
}

// atEnd is the rig, which also looks, as the day ends, at who runs.
type atEnd struct {
	*rig
	res *Result
}

func (a *atEnd) End(g *sockets.Gateways) {
	for e := range a.res.Runs {
		a.res.Runs[e] = g.Process(e) != nil
	}
}

func (s *Span) String() string {
	ends := "the end"
	if s.Ends < forever {
		ends = fmt.Sprintf("%.2f s", s.Ends)
	}
	return fmt.Sprintf("%s of %s from %.2f s to %s", s.Kind, s.What, s.Begins, ends)
}

// promises checks what the script promises; each that does not hold is broken.
func (res *Result) promises(broken func(text string)) {
	for _, p := range res.Script.Expectations {
		x, of := res.figure(p)
		text := fmt.Sprintf("%s%s: %.4g", p.Kind, of, x)
		if x < p.Min.Float() || x > p.Max.Float() || x != x {
			broken(fmt.Sprintf("promised: %s, from %g to %g wanted", text, p.Min.Float(), p.Max.Float()))
			continue
		}
		res.Kept = append(res.Kept, text)
	}
}

// figure is the value of a promise's figure, and a word on what it is of.
func (res *Result) figure(p scenario.Expectation) (x float64, of string) {
	d, f := res.Script, res.Figures
	from, until := p.From.Float(), min(p.Until.Float(), d.Length.Float())
	var sum metrics.Share
	var sends, dials, calls float64
	for i, s := range f.Seconds {
		if float64(i) >= from && float64(i) < until {
			sum.Add(s.Share)
			sends, dials, calls = sends+s.Attempts, dials+s.Dials, calls+s.CounterCalls
		}
	}
	if from > 0 || until < d.Length.Float() {
		of = fmt.Sprintf(" in seconds %g to %g", from, until)
	}
	long := max(1e-9, until-from)
	in, _ := scenario.ParseNumbers(p.Edge, res.Gateways) // the reader has checked it
	switch p.Kind {
	case "served":
		return sum.Served / max(1e-9, sum.Requested), of
	case "served-value":
		return sum.ServedOfSent / long, of
	case "throttled":
		return (sum.ThrottledWithRoom + sum.ThrottledWithoutRoom) / max(1e-9, sum.Requested), of
	case "errored":
		return (sum.Errored + sum.Lost) / max(1e-9, sum.Requested), of
	case "beyond":
		return sum.BeyondQuota / max(1e-9, sum.FirstSent), of
	case "deliveries":
		return sends / long, of
	case "dials":
		return dials / long, of
	case "calls":
		return calls / long, of
	case "tries":
		return f.Invocations, ""
	case "promised-lost", "put-back-twice", "second-effects", "kept-answers":
		if res.Held == nil {
			return 0, ""
		}
		return map[string]float64{
			"promised-lost": float64(len(res.Held.Lost)), "put-back-twice": float64(len(res.Held.Twice)),
			"second-effects": float64(len(res.Held.Second)), "kept-answers": float64(res.Held.Answered),
		}[p.Kind], ""
	case "mail":
		return res.Mail / d.Length.Float() / float64(res.Gateways), ""
	case "struck":
		return float64(res.Struck), ""
	case "runs":
		n := 0
		for _, e := range in {
			if res.Runs[e] {
				n++
			}
		}
		return float64(n), ""
	case "log":
		n := 0
		for _, l := range res.Lines {
			if slices.Contains(in, l.Edge) && strings.Contains(l.Text, p.Text) && (l.At < 0 || l.At >= from && l.At <= until) {
				n++
			}
		}
		return float64(n), fmt.Sprintf(" %q%s", p.Text, of)
	}
	return 0, ""
}
