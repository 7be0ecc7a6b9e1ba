package costs

import (
	"fmt"
	"io"
	"slices"
)

// Noise has the percentiles of the time that the machine adds, in milliseconds.
type Noise struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
}

// RealRow is the result of one seed. The last row of a report is over all seeds.
type RealRow struct {
	Row
	Requests int     `json:"requests"` // through processes
	Refused  int     `json:"refused"`  // requests that were not served
	Busy     int     `json:"busy"`     // estimates that were requested again because the process was too busy
	Added    Noise   `json:"added"`    // response time at the client minus the drawn service time of the request
	Slept    Noise   `json:"slept"`    // overrun of sleeps of 10 ms in this process
	Took     float64 `json:"took_s"`
	// ExcessKnowingAll is the excess of an estimator that knows the nodes' true service times: the part that noise alone causes.
	ExcessKnowingAll float64 `json:"excess_knowing_all"`
	knownCost        float64 // summed cost of the plans that such an estimator chooses
	added            []float64
	slept            []float64
}

// RealReport is the result of a run with processes.
type RealReport struct {
	Processes int       `json:"processes"`
	Nodes     int       `json:"nodes"`
	HalfLife  float64   `json:"half_life_s"`
	Every     float64   `json:"every_s"`
	Slow      float64   `json:"slow_times"`
	Alone     bool      `json:"alone"`
	Rows      []RealRow `json:"rows"`
	Missed    []string  `json:"missed"`
	Unshown   []string  `json:"unshown"` // bounds that are missed by no more than the machine's noise
}

// judge computes the figures of the rows and lists the bounds that are missed, and those for which the machine's noise is
// too large to show whether they are met.
func (rep *RealReport) judge() {
	for i := range rep.Rows {
		r := &rep.Rows[i]
		r.computeShares()
		r.Added, r.Slept, r.ExcessKnowingAll = noisePercentiles(r.added), noisePercentiles(r.slept), r.knownCost/r.bestCost[0]-1
		withoutNoise := r.Row // the row with the effects of noise on costs and times removed
		for k := range estimatorCount {
			withoutNoise.Excess[k] = max(0, r.Excess[k]-r.ExcessKnowingAll)
		}
		if r.Added.P90 > maxNoiseShare*meanServiceBeforeSlowing() {
			withoutNoise.Coverage[pooled] = minCoverage
		}
		missedWithoutNoise := withoutNoise.missedBounds()
		for _, m := range r.missedBounds() {
			text := fmt.Sprintf("%s (noise: requests took %.1f ms more than drawn at p50, %.1f at p90; sleeps overran by %.1f ms at p50, %.1f at p90; an estimator that knows the true service times has an excess of %.4f)",
				m.text, r.Added.P50, r.Added.P90, r.Slept.P50, r.Slept.P90, r.ExcessKnowingAll)
			if slices.ContainsFunc(missedWithoutNoise, func(l missedBound) bool { return l.bound == m.bound }) {
				rep.Missed = append(rep.Missed, text)
			} else {
				rep.Unshown = append(rep.Unshown, text)
			}
		}
	}
}

// meanServiceBeforeSlowing is a request's mean service time before the slowing, in milliseconds.
func meanServiceBeforeSlowing() (sum float64) {
	for _, k := range kinds {
		sum += serviceStretch * (k.level + k.unit*(1+maxUnits)/2) / nodesPerShard
	}
	return sum
}

// noisePercentiles sorts the times and returns their percentiles.
func noisePercentiles(all []float64) Noise {
	if len(all) == 0 {
		return Noise{}
	}
	slices.Sort(all)
	at := func(p float64) float64 { return all[int(p*float64(len(all)-1))] }
	return Noise{at(0.5), at(0.9), at(0.99)}
}

// Print writes the table and the bounds that are missed or not shown.
func (rep *RealReport) Print(out io.Writer) error {
	exchange := "the processes exchange their statistics"
	if rep.Alone {
		exchange = "the processes exchange no statistics"
	}
	fmt.Fprintf(out, "%d processes, %d nodes of %d kinds, one becomes %g times slower; half-life %.1f s, a gossip round every %.2f s; %s; real time\n",
		rep.Processes, rep.Nodes, nodesPerShard, rep.Slow, rep.HalfLife, rep.Every, exchange)
	t := table(out)
	fmt.Fprintln(t, "seed\tdecisions\tin the 90%\tfleet mean\town only\t| excess %\tfleet mean\town only\tknowing all\t| right after s\talike\t| requests\trefused\tbusy\tadded ms p50\tp90\tp99\tsleeps ms p50\tp99\t| took s")
	for _, r := range rep.Rows {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t| %.2f\t%.2f\t%.2f\t%.2f\t| %.1f\t%.2f\t| %d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t| %.0f\n", r.label(), r.Decisions,
			r.Coverage[pooled], r.Coverage[fleetMean], r.Coverage[ownOnly], 100*r.Excess[pooled], 100*r.Excess[fleetMean], 100*r.Excess[ownOnly],
			100*r.ExcessKnowingAll, r.OrderRightAfter, r.Alike, r.Requests, r.Refused, r.Busy, r.Added.P50, r.Added.P90, r.Added.P99, r.Slept.P50, r.Slept.P99, r.Took)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range rep.Unshown {
		if _, err := fmt.Fprintln(out, "not shown:", m); err != nil {
			return err
		}
	}
	if len(rep.Unshown) > 0 && len(rep.Missed) == 0 {
		_, err := fmt.Fprintf(out, "bounds: none missed, %d not shown\n", len(rep.Unshown))
		return err
	}
	return printMissed(out, rep.Missed)
}
