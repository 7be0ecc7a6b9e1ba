package coldstart

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

const pushCapacity = 4000.0 // calls a second of a list that is pushed: they cost it nothing

// Options of a run.
type Options struct {
	Hosts, Nodes, Seeds int
	Seed                int64
	Capacity            float64 // calls a second that the list's service can answer
	Scenarios           []string
	Starts              []string // modes to play, none: all
}

// Mode is how the hosts start.
type Mode int

// The modes.
const (
	Today    Mode = iota // without internal/coldstart
	With                 // with it
	Snapshot             // ... and what the last life learned
)

func (m Mode) String() string { return [...]string{"today", "coldstart", "with snapshot"}[m] }

// Scenario is what starts and what fails meanwhile.
type Scenario struct {
	Name      string
	Killed    int // of ten hosts
	ColdNodes int // one in so many nodes has restarted, 0: none
	ListDown  float64
	Again     bool // half of the fleet is killed again while it starts
	Silent    int  // one in so many nodes cannot be reached, 0: none
	Mute      bool // one node takes connections and answers none
	Pushed    bool // the list is pushed: calls cost its service nothing
}

// Scenarios are all there are.
var Scenarios = []Scenario{
	{Name: "power cut", Killed: 10, ColdNodes: 2},
	{Name: "release", Killed: 10},
	{Name: "seven in ten killed", Killed: 7, ColdNodes: 4},
	{Name: "power cut, list pushed", Killed: 10, ColdNodes: 2, Pushed: true},
	{Name: "power cut, list down 8 s", Killed: 10, ColdNodes: 2, ListDown: 8000},
	{Name: "power cut, half killed again", Killed: 10, ColdNodes: 2, Again: true},
	{Name: "power cut, a zone silent", Killed: 10, ColdNodes: 2, Silent: 4},
	{Name: "power cut, a node mute", Killed: 10, ColdNodes: 2, Mute: true},
}

// service is the list's: calls wait in turn, and one that waits too long was served for nothing.
type service struct {
	w        *world
	capacity float64
	down     bool
	free     float64
	calls    []flow
}

func (s *service) ask(done func(ok bool)) {
	w := s.w
	if w.now >= zero {
		s.calls = append(s.calls, flow{w.now, 1})
		w.res.ListPeak = math.Max(w.res.ListPeak, sum(&s.calls, w.now-1000))
	}
	s.free = math.Max(s.free, w.now)
	wait := s.free - w.now
	switch {
	case s.down || wait > 1000: // full: turned away
		if w.now >= zero {
			w.res.ListRefused++
		}
		w.after(1, func() { done(false) })
		return
	default:
		s.free += 1000 / s.capacity
		w.after(wait+20, func() { done(true) })
	}
}

// Fill sets what is not said.
func (o *Options) Fill(virtual bool) {
	hosts, seeds := 300, 1
	if virtual {
		hosts, seeds = 1000, 50
	}
	o.Hosts, o.Seeds = cmp.Or(o.Hosts, hosts), cmp.Or(o.Seeds, seeds)
	o.Nodes, o.Capacity = cmp.Or(o.Nodes, max(o.Hosts/5, 1)), cmp.Or(o.Capacity, 0.4*float64(o.Hosts))
}

// Check says what of the options cannot be.
func (o *Options) Check() error {
	for _, k := range []struct {
		key  string
		v    float64
		most float64
	}{{"schedulers", float64(o.Hosts), 10000}, {"nodes", float64(o.Nodes), 2000}, {"seeds", float64(o.Seeds), 1000}, {"capacity", o.Capacity, 1e6}} {
		if !(k.v >= 1 && k.v <= k.most) {
			return fmt.Errorf("%s: %v is not from 1 to %v", k.key, k.v, k.most)
		}
	}
	for _, name := range o.Starts {
		if name != Today.String() && name != With.String() && name != Snapshot.String() {
			return fmt.Errorf("start: %q is none of %q, %q and %q", name, Today, With, Snapshot)
		}
	}
	for _, name := range o.Scenarios {
		if !slices.ContainsFunc(Scenarios, func(s Scenario) bool { return s.Name == name }) {
			return fmt.Errorf("scenario: %q is none of those in docs/design/coldstart.md", name)
		}
	}
	return nil
}

// Bounds names what the starts with internal/coldstart do not keep to: no node falls, the list's
// service is within its capacity, no rule is broken, 99% of the hosts serve within 6 s, and refusals
// of the first 10 s are at most half of today's. The last is no bound where the list is pushed and
// today's start has it before its first send as well.
func (r *Report) Bounds() (bad []string) {
	for i := range r.Rows {
		x := &r.Rows[i]
		sc := Scenarios[slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == x.Scenario })]
		fail := func(form string, args ...any) {
			bad = append(bad, x.Scenario+", "+x.Mode+": "+fmt.Sprintf(form, args...))
		}
		if len(x.Broken) > 0 {
			fail("rules broken: %v", x.Broken)
		}
		if x.Mode == Today.String() {
			continue
		}
		f := x.Figures
		if f["falls"].Worst > 0 {
			fail("%.0f nodes fell in the worst world", f["falls"].Worst)
		}
		if peak := f["list/s"].Worst; peak > r.Options.Capacity && !sc.Pushed {
			fail("%.0f calls of the list in a second, and its service answers %.0f", peak, r.Options.Capacity)
		}
		if t := f["t99"].Worst; t > 6 {
			fail("99%% of the hosts serve after %.1f s", t)
		}
		if today := r.Row(x.Scenario, Today); today != nil && f["refused"].Mean > today.Figures["refused"].Mean/2 && !sc.Pushed {
			fail("%.0f refusals, today %.0f", f["refused"].Mean, today.Figures["refused"].Mean)
		}
	}
	return bad
}

// Result is what one world showed.
type Result struct {
	T50, T99, T100   float64 // ms until so many of the hosts served, the run's end: not within it
	ListPeak         float64 // calls in the worst second
	ListRefused      float64
	Falls            float64
	Worst            float64 // most that a cold node got, as part of what it bears
	Requests, Served float64 // within the first 10 s
	Refused, Failed  float64
	Gated            float64 // refused by the start itself
	Connects         float64 // in the worst second at the worst node
	Firsts           float64 // requests, likewise
	Broken           map[string]int
	started          bool
	served           []float64
}

func (r *Result) broke(rule string) {
	if r.Broken == nil {
		r.Broken = map[string]int{}
	}
	r.Broken[rule]++
}

// close makes the figures; hosts that were not killed count as serving from the start.
func (r *Result) close() *Result {
	all := slices.Clone(r.served)
	for i := range all {
		if all[i] == 0 {
			all[i] = after // not within the run
		}
	}
	slices.Sort(all)
	at := func(q float64) float64 { return all[min(int(math.Ceil(q*float64(len(all))))-1, len(all)-1)] }
	r.T50, r.T99, r.T100 = at(0.5), at(0.99), at(1)
	return r
}

// Row is one scenario in one mode, over all seeds.
type Row struct {
	Scenario, Mode string
	Seeds          int
	Figures        map[string]Figure
	Broken         map[string]int
}

// Figure is a mean with its spread and worst.
type Figure struct{ Mean, SD, Worst float64 }

// Report is a run's result.
type Report struct {
	Options Options
	Rows    []Row
}

var figures = []struct {
	name string
	of   func(*Result) float64
}{
	{"t50", func(r *Result) float64 { return r.T50 / 1000 }}, {"t99", func(r *Result) float64 { return r.T99 / 1000 }},
	{"t100", func(r *Result) float64 { return r.T100 / 1000 }}, {"list/s", func(r *Result) float64 { return r.ListPeak }},
	{"list refused", func(r *Result) float64 { return r.ListRefused }}, {"falls", func(r *Result) float64 { return r.Falls }},
	{"cold load", func(r *Result) float64 { return r.Worst }}, {"served", func(r *Result) float64 { return r.Served }},
	{"refused", func(r *Result) float64 { return r.Refused }}, {"failed", func(r *Result) float64 { return r.Failed }},
	{"by start", func(r *Result) float64 { return r.Gated }},
	{"connects/s", func(r *Result) float64 { return r.Connects }}, {"requests/s", func(r *Result) float64 { return r.Firsts }},
}

// Run plays each scenario in each mode over all seeds. Worlds of one seed see the same arrivals.
func Run(ctx context.Context, opt Options, begins func(scenario string, mode Mode)) (*Report, error) {
	rep := &Report{Options: opt}
	for _, sc := range Scenarios {
		if len(opt.Scenarios) > 0 && !slices.Contains(opt.Scenarios, sc.Name) {
			continue
		}
		for mode := Today; mode <= Snapshot; mode++ {
			if len(opt.Starts) > 0 && !slices.Contains(opt.Starts, mode.String()) {
				continue
			}
			begins(sc.Name, mode)
			all := make([]*Result, opt.Seeds)
			g, in := errgroup.WithContext(ctx)
			g.SetLimit(runtime.GOMAXPROCS(0))
			for i := range opt.Seeds {
				g.Go(func() error {
					if in.Err() == nil {
						all[i] = newWorld(opt, sc, mode, opt.Seed+int64(i)).run()
					}
					return in.Err()
				})
			}
			if err := g.Wait(); err != nil {
				return nil, err
			}
			rep.Rows = append(rep.Rows, row(sc.Name, mode, all))
		}
	}
	return rep, nil
}

func row(scenario string, mode Mode, all []*Result) Row {
	r := Row{Scenario: scenario, Mode: mode.String(), Seeds: len(all), Figures: map[string]Figure{}, Broken: map[string]int{}}
	for _, f := range figures {
		var s, ss, worst float64
		for _, x := range all {
			v := f.of(x)
			s, ss, worst = s+v, ss+v*v, math.Max(worst, v)
		}
		n := float64(len(all))
		r.Figures[f.name] = Figure{Mean: s / n, SD: math.Sqrt(math.Max(0, ss/n-s/n*s/n)), Worst: worst}
	}
	for _, x := range all {
		for rule, n := range x.Broken {
			r.Broken[rule] += n
		}
	}
	return r
}

// Row finds one.
func (r *Report) Row(scenario string, mode Mode) *Row {
	for i := range r.Rows {
		if r.Rows[i].Scenario == scenario && r.Rows[i].Mode == mode.String() {
			return &r.Rows[i]
		}
	}
	return nil
}

// Print writes the table: mean, spread and worst seed of each figure.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d hosts, %d nodes, %d seeds; the list's service answers %.0f calls a second; counts are of the first 10 s\n",
		r.Options.Hosts, r.Options.Nodes, r.Options.Seeds, r.Options.Capacity)
	tw := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprint(tw, "scenario\tstart")
	for _, f := range figures {
		fmt.Fprint(tw, "\t", f.name)
	}
	fmt.Fprintln(tw, "\trules broken")
	for _, x := range r.Rows {
		fmt.Fprint(tw, x.Scenario, "\t", x.Mode)
		for _, f := range figures {
			v := x.Figures[f.name]
			form := "\t%.0f±%.0f (%.0f)"
			if v.Worst < 20 {
				form = "\t%.2f±%.2f (%.2f)"
			}
			fmt.Fprintf(tw, form, v.Mean, v.SD, v.Worst)
		}
		fmt.Fprintln(tw, "\t", x.Broken)
	}
	return tw.Flush()
}
