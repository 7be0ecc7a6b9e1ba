package addresses

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes a table with a line for each fault and class: the results with three addresses, then some of those with one.
func (rep *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "fault on one address for %.0f s, %.0f requests per second, median of %d rounds, seed %d\n",
		rep.FaultSeconds, rep.Rate, rep.Rounds, rep.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\tclass\tserved\tleast\tin aim\tfailed\tp50 +ms\tp99 +ms\truns\tconnects/req\tafter 1 s\t| one address: served\tin aim\tp99 +ms\tconnects/req")
	singleAddress := map[string]Row{}
	for _, r := range rep.Rows {
		if r.Addresses == 1 {
			singleAddress[r.Fault+r.Class] = r
		}
	}
	for _, r := range rep.Rows {
		if r.Addresses == 1 {
			continue
		}
		o := singleAddress[r.Fault+r.Class]
		fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%+.1f\t%+.1f\t%d\t%.4f\t%.4f\t| %.4f\t%.4f\t%+.1f\t%.4f\n", r.Fault, r.Class,
			r.Served, r.MinServed, r.WithinObjective, r.Failed, r.P50Added, r.P99Added, r.MaxExecutions, r.ConnectsPerRequest, r.SettledConnectsPerRequest, o.Served, o.WithinObjective, o.P99Added, o.ConnectsPerRequest)
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
