package coldstart

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	fakenode "wheatsaddle/internal/testkit/fake/node"
)

// ProcessRow has the results of one scenario in one mode with processes. Times are in seconds. T50, T99 and T100 begin when a
// process listens, because starting so many processes on one machine takes long; BareMean and BareWorst have that time.
type ProcessRow struct {
	Scenario, Start         string
	Lives                   int     // processes started that listened
	BareMean, BareWorst     float64 // from exec until the process listens, mean and maximum
	T50, T99, T100          float64 // from listening until the first request was served; the length of the window if none was
	Whole99                 float64 // from the beginning of the launches until 99% of the hosts have served a request
	ListCalls               int     // requests received by the list service
	ListPeak, ListRefused   int     // most list requests in a second; requests rejected by the service
	Connects, Requests      int     // most to one node in a second
	Falls                   int     // node crashes
	ColdLoad                float64 // highest load of a cold node, relative to the load that it withstands
	Served, Refused, Failed int     // requests in the window of each process
	StayRefused             int     // part of Refused: by processes that were not killed
	Unanswered              int     // requests that timed out or were reset although the process was running
	UnsafeTwice             int     // requests of the non-idempotent class that a node executed more than once
	LinksWaited             int     // connects pending at links to unreachable nodes, at the end
	Kept                    int     // hosts that had a snapshot at the start
}

// ProcessReport is the result of a run with processes.
type ProcessReport struct {
	Options Options
	Rows    []ProcessRow
}

// result computes the row of the run.
func (run *processRun) result() ProcessRow {
	run.mu.Lock()
	defer run.mu.Unlock()
	row := run.row
	row.Scenario, row.Start = run.scenario.Name, run.mode.String()
	var sinceListening, sinceStart []float64
	listenTotal, processes := 0.0, 0
	for _, h := range run.hosts {
		t, fromStart := run.opt.Window, time.Duration(math.MaxInt64)
		if !h.firstServed.IsZero() {
			t, fromStart = h.firstServed.Sub(h.listensAt), h.firstServed.Sub(run.startedAt)
		}
		sinceListening, sinceStart = append(sinceListening, t.Seconds()), append(sinceStart, fromStart.Seconds())
		for _, b := range h.listenDelays {
			listenTotal, processes = listenTotal+b.Seconds(), processes+1
			row.BareWorst = max(row.BareWorst, b.Seconds())
		}
	}
	row.Lives, row.BareMean = processes, listenTotal/float64(max(processes, 1))
	slices.Sort(sinceListening)
	slices.Sort(sinceStart)
	quantile := func(list []float64, q float64) float64 {
		return list[min(int(math.Ceil(q*float64(len(list))))-1, len(list)-1)]
	}
	row.T50, row.T99, row.T100, row.Whole99 = quantile(sinceListening, 0.5), quantile(sinceListening, 0.99), quantile(sinceListening, 1), quantile(sinceStart, 0.99)
	calls := run.fleet.ListLoad()
	row.ListCalls, row.ListPeak, row.ListRefused = calls.Calls, calls.PeakPerSecond, calls.Rejected
	if run.mode == WithSnapshot {
		row.Kept = len(run.snapshots)
	}
	for j := range run.nodes {
		row.Connects, row.Requests = max(row.Connects, maxPerSecond(run.nodes[j].connects)), max(row.Requests, maxPerSecond(run.nodes[j].requests))
		_, worst := run.fleet.Node(j).Crashes()
		row.ColdLoad = max(row.ColdLoad, worst)
		run.fleet.Node(j).EachRequest(func(id string, arrivals []fakenode.Arrival) {
			executions := 0
			for _, a := range arrivals {
				if a.Executed {
					executions++
				}
			}
			if executions > 1 && strings.HasPrefix(id, "once") {
				row.UnsafeTwice++
			}
		})
	}
	return row
}

// maxPerSecond returns the highest number of times within a second. The times must be in order.
func maxPerSecond(times []time.Time) (highest int) {
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Row returns the row of a scenario and mode, or nil.
func (r *ProcessReport) Row(scenario string, mode Mode) *ProcessRow {
	for i := range r.Rows {
		if r.Rows[i].Scenario == scenario && r.Rows[i].Start == mode.String() {
			return &r.Rows[i]
		}
	}
	return nil
}

// Bounds returns the bounds that were missed; see Report.Bounds. Here a request of the non-idempotent class must not be executed
// twice on one node, in any mode.
func (r *ProcessReport) Bounds() (problems []string) {
	for _, row := range r.Rows {
		addProblem := func(format string, args ...any) {
			problems = append(problems, row.Scenario+", "+row.Start+": "+fmt.Sprintf(format, args...))
		}
		if row.UnsafeTwice > 0 {
			addProblem("%d non-idempotent requests executed twice", row.UnsafeTwice)
		}
		if row.Start == WithoutColdStart.String() {
			continue
		}
		if row.T99 > 6 {
			addProblem("99%% of the processes serve only %.1f s after they listen", row.T99)
		}
		if float64(row.ListPeak) > r.Options.Capacity {
			addProblem("%d list requests in a second, capacity %.0f", row.ListPeak, r.Options.Capacity)
		}
		if row.Falls > 0 {
			addProblem("%d node crashes", row.Falls)
		}
		if baseline := r.Row(row.Scenario, WithoutColdStart); baseline != nil && 2*row.Refused > baseline.Refused {
			addProblem("%d requests rejected, without coldstart %d", row.Refused, baseline.Refused)
		}
	}
	return problems
}

// Print writes a table with a line for each row.
func (r *ProcessReport) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d processes, %d nodes, seed %d; capacity of the list service %.0f requests per second; served, refused, failed and unanswered cover the first 10 s of each process\n",
		r.Options.Hosts, r.Options.Nodes, r.Options.Seed, r.Options.Capacity)
	tw := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scenario\tstart\texec to listen (worst)\tt50\tt99\tt100\tt99 from first exec\tlist/s\tlist refused\tconnects/s\trequests/s\tfalls\tcold load\tserved\trefused\tby those that stay\tfailed\tunanswered")
	for _, row := range r.Rows {
		sinceStart := fmt.Sprintf("%.2f", row.Whole99)
		if row.Whole99 > 1e6 {
			sinceStart = "not"
		}
		fmt.Fprintf(tw, "%s\t%s\t%.2f (%.2f)\t%.2f\t%.2f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\n", row.Scenario, row.Start, row.BareMean, row.BareWorst,
			row.T50, row.T99, row.T100, sinceStart, row.ListPeak, row.ListRefused, row.Connects, row.Requests, row.Falls, row.ColdLoad, row.Served, row.Refused, row.StayRefused, row.Failed, row.Unanswered)
	}
	return tw.Flush()
}
