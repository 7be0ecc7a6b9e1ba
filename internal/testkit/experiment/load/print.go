package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"wheatsaddle/internal/testkit/client"
)

// Print writes the summary. Its first line says whether the run is valid.
func (r *Results) Print(w io.Writer) error {
	if v := r.Generator.Evaluate(); v.Valid {
		fmt.Fprintln(w, "run valid")
	} else {
		fmt.Fprintln(w, "run NOT valid:")
		for _, x := range v.Reasons {
			fmt.Fprintln(w, "  "+x)
		}
	}
	n := r.Generator
	fmt.Fprintf(w, "%d sent in %v; lag p50 %v p99 %v worst %v; %.2f%% late; paused %v in all\n", n.Sent, r.Took.Round(time.Millisecond),
		n.Quantile(0.5).Round(time.Microsecond), n.Quantile(0.99).Round(time.Microsecond), n.MaxLag.Round(time.Microsecond), 100*n.LateShare(), n.TotalPause.Round(time.Millisecond))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "\tasked\tkept\tworth served\tin aim\tretried\t")
	for o := range client.OutcomeCount {
		fmt.Fprintf(t, "%v\t", o)
	}
	fmt.Fprintln(t, "p50 ms\tp90\tp99\tp99.9\tsent p50\tsent p99\t")
	row := func(name string, p *Outcomes) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%.4f\t%d\t", name, p.Arrivals, p.Unsent, p.ServedShare(), float64(p.InAim)/max(1, float64(p.Arrivals)), p.Retried)
		for _, k := range p.ByOutcome {
			fmt.Fprintf(t, "%d\t", k)
		}
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			fmt.Fprintf(t, "%.2f\t", millis(p.Latency.Quantile(q)))
		}
		fmt.Fprintf(t, "%.2f\t%.2f\t\n", millis(p.Service.Quantile(0.5)), millis(p.Service.Quantile(0.99)))
	}
	for _, c := range r.Shape.Classes {
		row(c.Name, r.Classes[c.Name])
	}
	for _, p := range r.Shape.Plans {
		row("plan "+p.Name, r.Plans[p.Name])
	}
	row("all", r.All())
	return t.Flush()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
