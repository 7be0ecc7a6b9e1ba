package coldstart

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	standin "wheatsaddle/internal/testkit/fake/node"
)

// RealRow is one scenario in one mode with processes, seconds and counts. The times until hosts serve count from
// when a process listens: the start of so many processes on one machine takes time of its own, which Bare has.
type RealRow struct {
	Scenario, Start         string
	Lives                   int     // processes that were started
	BareMean, BareWorst     float64 // from exec until the process listens
	T50, T99, T100          float64 // from listening until it has served; infinite as the window's length
	Whole99                 float64 // from the first exec until 99% have served
	ListCalls               int     // that came to the service
	ListPeak, ListRefused   int     // in the worst second; turned away by it
	Connects, Requests      int     // in the worst second at the worst node
	Falls                   int
	ColdLoad                float64 // most that a cold node got, as a part of what it bears
	Served, Refused, Failed int     // in the first 10 s of each process
	StayRefused             int     // of Refused: by processes that were not killed
	Unanswered              int     // no answer in time, or a reset, where the process lived
	UnsafeTwice             int     // requests of an unsafe class that ran more than once
	LinksWaited             int     // connects that waited at links to silent nodes, at the end
	Kept                    int     // processes that began with a snapshot
}

// RealReport is a run's result.
type RealReport struct {
	Options Options
	Rows    []RealRow
}

// result makes the figures.
func (w *realRun) result() RealRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.row
	r.Scenario, r.Start = w.sc.Name, w.mode.String()
	var own, all []float64
	bare, lives := 0.0, 0
	for _, h := range w.hosts {
		t, whole := w.opt.Window, time.Duration(math.MaxInt64)
		if !h.served.IsZero() {
			t, whole = h.served.Sub(h.listens), h.served.Sub(w.start)
		}
		own, all = append(own, t.Seconds()), append(all, whole.Seconds())
		for _, b := range h.bare {
			bare, lives = bare+b.Seconds(), lives+1
			r.BareWorst = max(r.BareWorst, b.Seconds())
		}
	}
	r.Lives, r.BareMean = lives, bare/float64(max(lives, 1))
	slices.Sort(own)
	slices.Sort(all)
	at := func(list []float64, q float64) float64 {
		return list[min(int(math.Ceil(q*float64(len(list))))-1, len(list)-1)]
	}
	r.T50, r.T99, r.T100, r.Whole99 = at(own, 0.5), at(own, 0.99), at(own, 1), at(all, 0.99)
	calls := w.f.ListLoad()
	r.ListCalls, r.ListPeak, r.ListRefused = calls.Calls, calls.PeakPerSecond, calls.Rejected
	if w.mode == Snapshot {
		r.Kept = len(w.kept)
	}
	for j := range w.nodes {
		r.Connects, r.Requests = max(r.Connects, worstSecond(w.nodes[j].connects)), max(r.Requests, worstSecond(w.nodes[j].asked))
		_, worst := w.f.Node(j).Crashes()
		r.ColdLoad = max(r.ColdLoad, worst)
		w.f.Node(j).EachRequest(func(id string, came []standin.Arrival) {
			ran := 0
			for _, a := range came {
				if a.Executed {
					ran++
				}
			}
			if ran > 1 && strings.HasPrefix(id, "once") {
				r.UnsafeTwice++
			}
		})
	}
	return r
}

// worstSecond is the most within a second.
func worstSecond(at []time.Time) (most int) {
	for i, from := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Row finds one.
func (r *RealReport) Row(scenario string, mode Mode) *RealRow {
	for i := range r.Rows {
		if r.Rows[i].Scenario == scenario && r.Rows[i].Start == mode.String() {
			return &r.Rows[i]
		}
	}
	return nil
}

// Bounds names what the starts with internal/coldstart do not keep to; see Report.Bounds.
func (r *RealReport) Bounds() (bad []string) {
	for _, x := range r.Rows {
		fail := func(form string, args ...any) {
			bad = append(bad, x.Scenario+", "+x.Start+": "+fmt.Sprintf(form, args...))
		}
		if x.UnsafeTwice > 0 {
			fail("%d unsafe requests ran twice", x.UnsafeTwice)
		}
		if x.Start == Today.String() {
			continue
		}
		if x.T99 > 6 {
			fail("99%% of the processes serve %.1f s after they listen", x.T99)
		}
		if float64(x.ListPeak) > r.Options.Capacity {
			fail("%d calls of the list in a second, and its service answers %.0f", x.ListPeak, r.Options.Capacity)
		}
		if x.Falls > 0 {
			fail("%d nodes fell", x.Falls)
		}
		if today := r.Row(x.Scenario, Today); today != nil && 2*x.Refused > today.Refused {
			fail("%d refusals, today %d", x.Refused, today.Refused)
		}
	}
	return bad
}

// Print writes the table.
func (r *RealReport) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d processes, %d nodes, seed %d; the list's service answers %.0f calls a second; counts are of the first 10 s of each process\n",
		r.Options.Hosts, r.Options.Nodes, r.Options.Seed, r.Options.Capacity)
	tw := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "scenario\tstart\texec to listen (worst)\tt50\tt99\tt100\tt99 from first exec\tlist/s\tlist refused\tconnects/s\trequests/s\tfalls\tcold load\tserved\trefused\tby those that stay\tfailed\tunanswered")
	for _, x := range r.Rows {
		whole := fmt.Sprintf("%.2f", x.Whole99)
		if x.Whole99 > 1e6 {
			whole = "not"
		}
		fmt.Fprintf(tw, "%s\t%s\t%.2f (%.2f)\t%.2f\t%.2f\t%.2f\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\n", x.Scenario, x.Start, x.BareMean, x.BareWorst,
			x.T50, x.T99, x.T100, whole, x.ListPeak, x.ListRefused, x.Connects, x.Requests, x.Falls, x.ColdLoad, x.Served, x.Refused, x.StayRefused, x.Failed, x.Unanswered)
	}
	return tw.Flush()
}
