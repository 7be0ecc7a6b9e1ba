package gathers

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
)

// Line is the result of one seed in one mode. Times are milliseconds after the time at which a read was due.
type Line struct {
	Mode          string         `json:"mode"`
	Seed          uint64         `json:"seed"`
	Reads         int            `json:"reads"`
	Ends          map[string]int `json:"ends"`
	First         [2]float64     `json:"first_row_p50_p99"`
	MostRows      [2]float64     `json:"most_rows_p50_p99"` // until 95% of the rows were received; only reads that got so far
	Whole         [2]float64     `json:"whole_p50_p99"`     // until the end, of whole reads
	MostRowsShare float64        `json:"share_most_rows"`   // share of reads that received 95% of the rows
	Parts         Parts          `json:"parts"`
	SendLateness  float64        `json:"sent_late_p99"` // the client's own lateness; if high, the other times are less reliable
	Verdict       Verdict        `json:"verdict"`
	Faults        faultCounts    `json:"faults"`
	Examples      []string       `json:"examples,omitempty"` // descriptions of reads with incorrect rows or with the end "failed"
}

// perRead divides a count by the number of reads.
func (l *Line) perRead(n int) float64 { return float64(n) / float64(max(1, l.Reads)) }

// share returns the share of reads with an end.
func (l *Line) share(end int) float64 { return l.perRead(l.Ends[endNames[end]]) }

// Report is the result of the experiment.
type Report struct {
	Setup  Setup    `json:"world"`
	Rate   float64  `json:"rate"`
	For    float64  `json:"seconds"`
	Modes  []Mode   `json:"modes"`
	Lines  []Line   `json:"lines"`
	Wrong  bool     `json:"wrong"`  // some run had incorrect rows
	Absent []string `json:"absent"` // kinds of faults that did not occur, by mode
}

const maxExamples = 5

// Run runs each seed in each mode. The modes of a seed run in direct succession, so that other load on the machine affects
// all of them alike.
func Run(ctx context.Context, opt Options) (*Report, error) {
	rep := &Report{Setup: opt.Setup, Rate: opt.Rate, For: opt.Duration.Seconds(), Modes: Modes}
	faults := make([]faultCounts, len(Modes))
	for _, seed := range opt.Seeds {
		for i, m := range Modes {
			l, err := runMode(ctx, opt, m, seed)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", m.Name, seed, err)
			}
			faults[i].add(l.Faults)
			rep.Wrong = rep.Wrong || l.Verdict != (Verdict{})
			rep.Lines = append(rep.Lines, l)
		}
	}
	for i, m := range Modes {
		for _, name := range faults[i].missing() {
			rep.Absent = append(rep.Absent, m.Name+": "+name)
		}
	}
	return rep, nil
}

// runMode runs one seed in one mode.
func runMode(ctx context.Context, opt Options, m Mode, seed uint64) (Line, error) {
	opt.Setup.Rows.Seed = seed
	log := opt.Log.WithFields(logrus.Fields{"mode": m.Name, "seed": seed})
	log.WithField("processes", opt.Setup.Processes).Info("starting")
	f, err := startFleet(ctx, opt.Daemon, opt.Setup, m, seed)
	if err != nil {
		return Line{}, err
	}
	defer f.Close()
	log.WithField("for", opt.Duration.String()).Info("sending reads under faults")
	all, err := runSeed(ctx, opt, f, seed)
	if err != nil {
		return Line{}, err
	}
	l := newLine(all)
	l.Mode, l.Seed, l.Faults = m.Name, seed, f.faultCounts()
	l.Parts = f.countParts()
	if l.Verdict != (Verdict{}) {
		log.WithField("rows", fmt.Sprintf("%+v", l.Verdict)).Error("incorrect rows")
	}
	for _, e := range l.Examples {
		log.Warn(e)
	}
	return l, nil
}

// newLine summarizes the outcomes of a run.
func newLine(all []readOutcome) Line {
	l := Line{Reads: len(all), Ends: map[string]int{}}
	var firstRow, mostRows, wholeTimes, lateness []time.Duration
	for _, o := range all {
		lateness = append(lateness, o.sendLateness)
		l.Ends[endNames[o.end]]++
		l.Verdict.add(o.verdict)
		if o.firstRow > 0 {
			firstRow = append(firstRow, o.firstRow)
		}
		if o.mostRows > 0 {
			mostRows = append(mostRows, o.mostRows)
		}
		if o.end == endWhole {
			wholeTimes = append(wholeTimes, o.took)
		}
		if o.detail != "" && len(l.Examples) < maxExamples {
			l.Examples = append(l.Examples, o.detail)
		}
	}
	l.First, l.MostRows, l.Whole = quantiles(firstRow), quantiles(mostRows), quantiles(wholeTimes)
	l.SendLateness = quantiles(lateness)[1]
	l.MostRowsShare = float64(len(mostRows)) / float64(max(1, len(all)))
	return l
}

// quantiles returns the median and the 99th percentile, in milliseconds rounded to 0.1.
func quantiles(all []time.Duration) (q [2]float64) {
	slices.Sort(all)
	for i, at := range []float64{0.5, 0.99} {
		if n := len(all); n > 0 {
			q[i] = math.Round(float64(all[min(n-1, int(at*float64(n)))])/float64(time.Millisecond)*10) / 10
		}
	}
	return q
}

// Print writes a table with one row for each mode: the median of each figure over the seeds, with its minimum and maximum in
// parentheses, and sums of the counts of incorrect rows.
func (rep *Report) Print(out io.Writer) error {
	setup := rep.Setup
	fmt.Fprintf(out, "%d processes, %d nodes (%d shards of %d rows, %d copies), %g reads/s for %.0f s a seed; ms from when a read was due\n",
		setup.Processes, setup.Shards*setup.Replicas, setup.Shards, setup.Rows.RowsPerShard, setup.Replicas, rep.Rate, rep.For)
	columns := []struct {
		name string
		form string
		of   func(*Line) float64
	}{
		{"reads", "%.0f", func(l *Line) float64 { return float64(l.Reads) }},
		{"whole p50", "%.0f", func(l *Line) float64 { return l.Whole[0] }},
		{"p99", "%.0f", func(l *Line) float64 { return l.Whole[1] }},
		{"95% of rows p50", "%.0f", func(l *Line) float64 { return l.MostRows[0] }},
		{"p99", "%.0f", func(l *Line) float64 { return l.MostRows[1] }},
		{"first row p50", "%.0f", func(l *Line) float64 { return l.First[0] }},
		{"p99", "%.0f", func(l *Line) float64 { return l.First[1] }},
		{"whole %", "%.1f", func(l *Line) float64 { return 100 * l.share(endWhole) }},
		{"named in part %", "%.1f", func(l *Line) float64 { return 100 * l.share(endPartial) }},
		{"refused %", "%.1f", func(l *Line) float64 { return 100 * l.share(endRefused) }},
		{"late %", "%.1f", func(l *Line) float64 { return 100 * l.share(endLate) }},
		{"broken %", "%.1f", func(l *Line) float64 { return 100 * l.share(endBroken) }},
		{"failed %", "%.1f", func(l *Line) float64 { return 100 * l.share(endFailed) }},
		{"parts asked a read", "%.2f", func(l *Line) float64 { return l.perRead(l.Parts.Requests) }},
		{"handed on", "%.2f", func(l *Line) float64 { return l.perRead(l.Parts.Delegated) }},
		{"sent late p99", "%.0f", func(l *Line) float64 { return l.SendLateness }},
		{"rows wrong", "", func(l *Line) float64 { return float64(l.Verdict.Wrong) }},
		{"doubled", "", func(l *Line) float64 { return float64(l.Verdict.Doubled) }},
		{"lost", "", func(l *Line) float64 { return float64(l.Verdict.Lost) }},
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range columns {
		fmt.Fprint(t, "\t", c.name)
	}
	fmt.Fprintln(t)
	for _, m := range rep.Modes {
		fmt.Fprint(t, m.Name)
		for _, c := range columns {
			var all []float64
			sum := 0.0
			for i := range rep.Lines {
				if l := &rep.Lines[i]; l.Mode == m.Name {
					all = append(all, c.of(l))
					sum += c.of(l)
				}
			}
			if slices.Sort(all); c.form == "" { // no format: the sum over all seeds
				fmt.Fprintf(t, "\t%.0f", sum)
			} else {
				fmt.Fprintf(t, "\t"+c.form+" ("+c.form+" to "+c.form+")", all[len(all)/2], all[0], all[len(all)-1])
			}
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range rep.Modes {
		var faults faultCounts
		var parts Parts
		for _, l := range rep.Lines {
			if l.Mode == m.Name {
				faults.add(l.Faults)
				parts.Retried, parts.RetriedAtSameNode = parts.Retried+l.Parts.Retried, parts.RetriedAtSameNode+l.Parts.RetriedAtSameNode
			}
		}
		fmt.Fprintf(out, "faults %s: parts late %d, stopped %d, cut %d, silent for good %d; links silent %d, reset %d, slow %d; processes killed %d; parts asked again %d, at the same node %d\n", m.Name,
			faults.Late, faults.Stopped, faults.Cut, faults.Stalled, faults.Silenced, faults.Reset, faults.Delayed, faults.Killed, parts.Retried, parts.RetriedAtSameNode)
	}
	for _, a := range rep.Absent {
		fmt.Fprintln(out, "a fault that did not happen:", a)
	}
	return nil
}
