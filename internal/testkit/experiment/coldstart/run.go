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

// pushedListCapacity is the capacity of the list service in requests per second where the list is pushed. Requests then cost
// the service nothing.
const pushedListCapacity = 4000.0

// Options configure a run of the experiment.
type Options struct {
	Hosts, Nodes, Seeds int      // numbers of schedulers, of storage nodes, and of runs of each scenario and mode
	Seed                int64    // of the first run; each further run has the next seed
	Capacity            float64  // requests per second that the list service can answer
	Scenarios           []string // names of the scenarios to run; all if empty
	Starts              []string // names of the modes to run; all if empty
}

// Mode is the way in which the hosts start.
type Mode int

// The modes of a run.
const (
	WithoutColdStart Mode = iota // without internal/coldstart, the baseline
	WithColdStart                // with internal/coldstart
	WithSnapshot                 // with internal/coldstart and a snapshot of what the previous process learned
)

func (m Mode) String() string { return [...]string{"today", "coldstart", "with snapshot"}[m] }

// Scenario says which hosts and nodes restart and what fails meanwhile.
type Scenario struct {
	Name                string
	KilledPerTen        int     // hosts killed, of each ten
	RestartedNodeStep   int     // every n-th node has restarted and is cold; 0: none
	ListOutage          float64 // time for which the list service is down after the start of the fleet, in ms
	KillHalfTwice       bool    // half of the fleet is killed again while it starts
	UnreachableNodeStep int     // every n-th node is unreachable; 0: none
	HungNode            bool    // one node accepts connections and requests but does not respond
	ListPushed          bool    // the list is pushed, so that requests cost the list service nothing
}

// Scenarios are all scenarios of the experiment.
var Scenarios = []Scenario{
	{Name: "power cut", KilledPerTen: 10, RestartedNodeStep: 2},
	{Name: "release", KilledPerTen: 10},
	{Name: "seven in ten killed", KilledPerTen: 7, RestartedNodeStep: 4},
	{Name: "power cut, list pushed", KilledPerTen: 10, RestartedNodeStep: 2, ListPushed: true},
	{Name: "power cut, list down 8 s", KilledPerTen: 10, RestartedNodeStep: 2, ListOutage: 8000},
	{Name: "power cut, half killed again", KilledPerTen: 10, RestartedNodeStep: 2, KillHalfTwice: true},
	{Name: "power cut, a zone silent", KilledPerTen: 10, RestartedNodeStep: 2, UnreachableNodeStep: 4},
	{Name: "power cut, a node mute", KilledPerTen: 10, RestartedNodeStep: 2, HungNode: true},
}

// listService simulates the service that provides the node list. Requests wait in a queue. One that would wait for more than
// a second is rejected.
type listService struct {
	sim       *simulation
	capacity  float64
	down      bool
	busyUntil float64
	calls     []sample
}

func (s *listService) request(done func(ok bool)) {
	sim := s.sim
	if sim.now >= fleetStart {
		s.calls = append(s.calls, sample{sim.now, 1})
		sim.result.ListPeak = math.Max(sim.result.ListPeak, recentSum(&s.calls, sim.now-1000))
	}
	s.busyUntil = math.Max(s.busyUntil, sim.now)
	wait := s.busyUntil - sim.now
	switch {
	case s.down || wait > 1000: // the queue is full
		if sim.now >= fleetStart {
			sim.result.ListRejected++
		}
		sim.after(1, func() { done(false) })
		return
	default:
		s.busyUntil += 1000 / s.capacity
		sim.after(wait+20, func() { done(true) })
	}
}

// SetDefaults sets the defaults of options that are zero.
func (o *Options) SetDefaults(virtual bool) {
	hosts, seeds := 300, 1
	if virtual {
		hosts, seeds = 1000, 50
	}
	o.Hosts, o.Seeds = cmp.Or(o.Hosts, hosts), cmp.Or(o.Seeds, seeds)
	o.Nodes, o.Capacity = cmp.Or(o.Nodes, max(o.Hosts/5, 1)), cmp.Or(o.Capacity, 0.4*float64(o.Hosts))
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	for _, option := range []struct {
		key   string
		value float64
		max   float64
	}{{"schedulers", float64(o.Hosts), 10000}, {"nodes", float64(o.Nodes), 2000}, {"seeds", float64(o.Seeds), 1000}, {"capacity", o.Capacity, 1e6}} {
		if !(option.value >= 1 && option.value <= option.max) {
			return fmt.Errorf("%s: %v is not from 1 to %v", option.key, option.value, option.max)
		}
	}
	for _, name := range o.Starts {
		if name != WithoutColdStart.String() && name != WithColdStart.String() && name != WithSnapshot.String() {
			return fmt.Errorf("start: %q is none of %q, %q and %q", name, WithoutColdStart, WithColdStart, WithSnapshot)
		}
	}
	for _, name := range o.Scenarios {
		if !slices.ContainsFunc(Scenarios, func(s Scenario) bool { return s.Name == name }) {
			return fmt.Errorf("scenario: %q is none of those in docs/design/coldstart.md", name)
		}
	}
	return nil
}

// Bounds returns the bounds that were missed. No rule may be violated in any mode. In modes with internal/coldstart, no node
// may crash, the list service must stay within its capacity, 99% of the hosts must serve within 6 s, and at most half as many
// requests may be rejected in the first 10 s as without it. The capacity and the last bound don't apply where the list is
// pushed: there, hosts have the list before their first send without internal/coldstart too.
func (r *Report) Bounds() (problems []string) {
	for i := range r.Rows {
		row := &r.Rows[i]
		sc := Scenarios[slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == row.Scenario })]
		addProblem := func(format string, args ...any) {
			problems = append(problems, row.Scenario+", "+row.Mode+": "+fmt.Sprintf(format, args...))
		}
		if len(row.Broken) > 0 {
			addProblem("rules violated: %v", row.Broken)
		}
		if row.Mode == WithoutColdStart.String() {
			continue
		}
		f := row.Figures
		if f["falls"].Worst > 0 {
			addProblem("%.0f node crashes with the worst seed", f["falls"].Worst)
		}
		if peak := f["list/s"].Worst; peak > r.Options.Capacity && !sc.ListPushed {
			addProblem("%.0f list requests in a second, capacity %.0f", peak, r.Options.Capacity)
		}
		if t := f["t99"].Worst; t > 6 {
			addProblem("99%% of the hosts serve only after %.1f s", t)
		}
		if baseline := r.Row(row.Scenario, WithoutColdStart); baseline != nil && f["refused"].Mean > baseline.Figures["refused"].Mean/2 && !sc.ListPushed {
			addProblem("%.0f requests rejected, without coldstart %.0f", f["refused"].Mean, baseline.Figures["refused"].Mean)
		}
	}
	return problems
}

// Result has the measurements of one simulation. Where nothing else is said, peaks and counts cover the first 10 s after the
// start of the fleet.
type Result struct {
	T50, T99, T100    float64 // ms until 50, 99 and 100% of the hosts had served a request; observationDuration if not within it
	ListPeak          float64 // most list requests in a second, in the whole run
	ListRejected      float64 // list requests that the service rejected, in the whole run
	Crashes           float64 // crashes of overloaded cold nodes, in the whole run
	MaxColdLoad       float64 // highest load of a cold node, relative to the load that it withstands, in the whole run
	Requests, Served  float64
	Rejected, Failed  float64
	RejectedByStartup float64        // rejected by internal/coldstart, in the whole run
	ConnectPeak       float64        // most connects to one node in a second
	RequestPeak       float64        // most requests to one node in a second
	Violations        map[string]int // number of violations by rule
	fleetStarted      bool
	firstServed       []float64 // by host, ms from the start of the fleet to the first request served; 0: none
}

func (r *Result) addViolation(rule string) {
	if r.Violations == nil {
		r.Violations = map[string]int{}
	}
	r.Violations[rule]++
}

// finish computes the quantiles. Hosts that were not killed count with their first request served after the start of the fleet.
func (r *Result) finish() *Result {
	times := slices.Clone(r.firstServed)
	for i := range times {
		if times[i] == 0 {
			times[i] = observationDuration // did not serve within the run
		}
	}
	slices.Sort(times)
	quantile := func(q float64) float64 { return times[min(int(math.Ceil(q*float64(len(times))))-1, len(times)-1)] }
	r.T50, r.T99, r.T100 = quantile(0.5), quantile(0.99), quantile(1)
	return r
}

// Row has the results of one scenario in one mode, over all seeds.
type Row struct {
	Scenario, Mode string
	Seeds          int
	Figures        map[string]Figure // by the name of the measurement
	Broken         map[string]int    // number of violations by rule
}

// Figure has the mean, standard deviation and maximum of a measurement over all seeds.
type Figure struct{ Mean, SD, Worst float64 }

// Report is the result of a run.
type Report struct {
	Options Options
	Rows    []Row
}

// figures are the measurements of a report and how they are obtained from a result.
var figures = []struct {
	name string
	of   func(*Result) float64
}{
	{"t50", func(r *Result) float64 { return r.T50 / 1000 }}, {"t99", func(r *Result) float64 { return r.T99 / 1000 }},
	{"t100", func(r *Result) float64 { return r.T100 / 1000 }}, {"list/s", func(r *Result) float64 { return r.ListPeak }},
	{"list refused", func(r *Result) float64 { return r.ListRejected }}, {"falls", func(r *Result) float64 { return r.Crashes }},
	{"cold load", func(r *Result) float64 { return r.MaxColdLoad }}, {"served", func(r *Result) float64 { return r.Served }},
	{"refused", func(r *Result) float64 { return r.Rejected }}, {"failed", func(r *Result) float64 { return r.Failed }},
	{"by start", func(r *Result) float64 { return r.RejectedByStartup }},
	{"connects/s", func(r *Result) float64 { return r.ConnectPeak }}, {"requests/s", func(r *Result) float64 { return r.RequestPeak }},
}

// Run simulates each scenario in each mode with all seeds. Simulations with the same seed have the same arrivals.
func Run(ctx context.Context, opt Options, onStart func(scenario string, mode Mode)) (*Report, error) {
	rep := &Report{Options: opt}
	for _, sc := range Scenarios {
		if len(opt.Scenarios) > 0 && !slices.Contains(opt.Scenarios, sc.Name) {
			continue
		}
		for mode := WithoutColdStart; mode <= WithSnapshot; mode++ {
			if len(opt.Starts) > 0 && !slices.Contains(opt.Starts, mode.String()) {
				continue
			}
			onStart(sc.Name, mode)
			all := make([]*Result, opt.Seeds)
			group, groupCtx := errgroup.WithContext(ctx)
			group.SetLimit(runtime.GOMAXPROCS(0))
			for i := range opt.Seeds {
				group.Go(func() error {
					if groupCtx.Err() == nil {
						all[i] = newSimulation(opt, sc, mode, opt.Seed+int64(i)).run()
					}
					return groupCtx.Err()
				})
			}
			if err := group.Wait(); err != nil {
				return nil, err
			}
			rep.Rows = append(rep.Rows, newRow(sc.Name, mode, all))
		}
	}
	return rep, nil
}

func newRow(scenario string, mode Mode, all []*Result) Row {
	r := Row{Scenario: scenario, Mode: mode.String(), Seeds: len(all), Figures: map[string]Figure{}, Broken: map[string]int{}}
	for _, figure := range figures {
		var total, sumSquares, worst float64
		for _, result := range all {
			v := figure.of(result)
			total, sumSquares, worst = total+v, sumSquares+v*v, math.Max(worst, v)
		}
		n := float64(len(all))
		r.Figures[figure.name] = Figure{Mean: total / n, SD: math.Sqrt(math.Max(0, sumSquares/n-total/n*total/n)), Worst: worst}
	}
	for _, result := range all {
		for rule, n := range result.Violations {
			r.Broken[rule] += n
		}
	}
	return r
}

// Row returns the row of a scenario and mode, or nil.
func (r *Report) Row(scenario string, mode Mode) *Row {
	for i := range r.Rows {
		if r.Rows[i].Scenario == scenario && r.Rows[i].Mode == mode.String() {
			return &r.Rows[i]
		}
	}
	return nil
}

// Print writes a table with the mean, standard deviation and maximum of each figure.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d hosts, %d nodes, %d seeds; capacity of the list service %.0f requests per second; served, refused, failed, connects/s and requests/s cover the first 10 s\n",
		r.Options.Hosts, r.Options.Nodes, r.Options.Seeds, r.Options.Capacity)
	tw := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprint(tw, "scenario\tstart")
	for _, f := range figures {
		fmt.Fprint(tw, "\t", f.name)
	}
	fmt.Fprintln(tw, "\trules broken")
	for _, row := range r.Rows {
		fmt.Fprint(tw, row.Scenario, "\t", row.Mode)
		for _, f := range figures {
			v := row.Figures[f.name]
			format := "\t%.0f±%.0f (%.0f)"
			if v.Worst < 20 {
				format = "\t%.2f±%.2f (%.2f)"
			}
			fmt.Fprintf(tw, format, v.Mean, v.SD, v.Worst)
		}
		fmt.Fprintln(tw, "\t", row.Broken)
	}
	return tw.Flush()
}
