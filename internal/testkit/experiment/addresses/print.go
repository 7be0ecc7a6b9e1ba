package addresses

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the table: each fault and class with three addresses, and beside it with one.
func (rep *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "one address at fault for %.0f s, %.0f requests a second, median of %d rounds, seed %d\n",
		rep.Span, rep.Rate, rep.Rounds, rep.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tclass\tserved\tleast\tin aim\tfailed\tp50 +ms\tp99 +ms\truns\tconnects/req\tafter 1 s\t| one address: served\tin aim\tp99 +ms\tconnects/req")
	one := map[string]Row{}
	for _, r := range rep.Rows {
		if r.Addresses == 1 {
			one[r.Fault+r.Class] = r
		}
	}
	for _, r := range rep.Rows {
		if r.Addresses == 1 {
			continue
		}
		o := one[r.Fault+r.Class]
		fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%+.1f\t%+.1f\t%d\t%.4f\t%.4f\t| %.4f\t%.4f\t%+.1f\t%.4f\n", r.Fault, r.Class,
			r.Served, r.Least, r.InAim, r.Failed, r.P50Added, r.P99Added, r.MostRuns, r.Connects, r.Later, o.Served, o.InAim, o.P99Added, o.Connects)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(rep.Missed) == 0 {
		_, err := fmt.Fprintln(w, "aims: all met")
		return err
	}
	for _, m := range rep.Missed {
		if _, err := fmt.Fprintln(w, "aim missed:", m); err != nil {
			return err
		}
	}
	return nil
}
