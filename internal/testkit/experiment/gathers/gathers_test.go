package gathers

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/node"
)

// The oracle detects every kind of incorrect answer and accepts correct ones.
func TestVerify(t *testing.T) {
	setup := Defaults()
	setup.Rows.Seed, setup.Rows.RowsPerShard = 3, 120
	oracle := newOracle(setup.Rows, setup.Shards)
	shards := []int{0, 1, 4}
	texts := func(rows []row) (all [][]byte) {
		for _, r := range rows {
			all = append(all, []byte(r.text))
		}
		return all
	}
	flat := texts(oracle.merge(shards))
	q := func(class string) gatheredRead { return gatheredRead{class: class, shards: shards, after: -1} }
	withoutPart4 := texts(oracle.merge([]int{0, 1})) // the rows left if part 4 is missing
	withOlderRow := func() ([][]byte, int) {         // the rows with an older version of one row, and the shard that holds it
		for i, x := range oracle.merge(shards) {
			for _, s := range shards {
				if y, ok := oracle.shards[s][x.key]; ok && y.version < x.version {
					all := slices.Clone(flat)
					all[i] = []byte(y.text)
					return all, s
				}
			}
		}
		t.Fatal("no key has several versions")
		return nil, 0
	}
	stale, _ := withOlderRow()
	swapped := slices.Clone(flat)
	swapped[3], swapped[4] = swapped[4], swapped[3]
	unknownRow := slices.Clone(flat)
	unknownRow[5] = bytes.Replace(unknownRow[5], []byte(`"x":"`), []byte(`"x":"!`), 1)
	secondPage := q(classPage)
	secondPage.after = parseRow(flat[pageRows-1]).key
	for _, x := range []struct {
		name string
		q    gatheredRead
		a    answer
		want Verdict
	}{
		{"whole", q(classListing), answer{rows: flat, finished: true, whole: true}, Verdict{}},
		{"top", q(classTop), answer{rows: flat[:topRows], finished: true, whole: true, truncated: "top"}, Verdict{}},
		{"second page", secondPage, answer{rows: flat[pageRows : 2*pageRows], finished: true, whole: true, truncated: "top"}, Verdict{}},
		{"a part missing and named", q(classListing), answer{rows: withoutPart4, finished: true, incompleteShards: []int{4}}, Verdict{}},
		{"cut in the middle of the rows", q(classListing), answer{rows: flat[:50]}, Verdict{}},
		{"ended early by a code", q(classTop), answer{rows: flat[:20], finished: true, incompleteShards: []int{1}, errorCode: "gather-incomplete"}, Verdict{}},
		{"a row left out", q(classListing), answer{rows: slices.Delete(slices.Clone(flat), 7, 8), finished: true, whole: true}, Verdict{Lost: 1}},
		{"the last rows left out", q(classListing), answer{rows: flat[:len(flat)-2], finished: true, whole: true}, Verdict{Lost: 2}},
		{"a row left out of an incomplete answer", q(classListing), answer{rows: withoutPart4[1:], finished: true, incompleteShards: []int{4}}, Verdict{Lost: 1}},
		{"a row left out of a cut answer", q(classTop), answer{rows: flat[1:20]}, Verdict{Lost: 1}},
		{"a row too few", q(classTop), answer{rows: flat[:topRows-1], finished: true, whole: true}, Verdict{Lost: 1}},
		{"two rows too many", q(classTop), answer{rows: flat[:topRows+2], finished: true, whole: true}, Verdict{Wrong: 2}},
		{"a row twice", q(classListing), answer{rows: slices.Insert(slices.Clone(flat), 9, flat[9]), finished: true, whole: true}, Verdict{Doubled: 1}},
		{"the first page instead of the second", secondPage, answer{rows: flat[:pageRows], finished: true, whole: true}, Verdict{Wrong: pageRows, Lost: pageRows}},
		{"out of order", q(classListing), answer{rows: swapped, finished: true, whole: true}, Verdict{Wrong: 1}},
		{"an older version", q(classListing), answer{rows: stale, finished: true, whole: true}, Verdict{Wrong: 1}},
		{"an older version, the part with the newer one named", q(classListing), answer{rows: stale, finished: true, incompleteShards: shards}, Verdict{}},
		{"a row that no node holds", q(classListing), answer{rows: unknownRow, finished: true, incompleteShards: shards}, Verdict{Wrong: 1}},
		{"missing and not named", q(classListing), answer{rows: nil, finished: true, incompleteShards: []int{0, 1}}, Verdict{Lost: setup.Rows.RowsPerShard}},
	} {
		if got := oracle.verify(x.q, x.a); got != x.want {
			t.Errorf("%s: got verdict %+v, want %+v", x.name, got, x.want)
		}
	}
}

// The same seed gives the same faults, and a run of 20 s includes every kind of fault.
func TestDrawFaultRounds(t *testing.T) {
	setup := Defaults()
	first, second := drawFaultRounds(4, setup, 20*time.Second), drawFaultRounds(4, setup, 20*time.Second)
	var f faultCounts
	for i, c := range first {
		for j, x := range c.nodes {
			if second[i].nodes[j] != x {
				t.Fatal("the same seed drew other faults")
			}
			switch {
			case x.Delay > 0:
				f.Late++
			case x.Pause > 0:
				f.Stopped++
			case x.CloseConn:
				f.Cut++
			case x.Stall:
				f.Stalled++
			}
		}
		for to, x := range c.links {
			if second[i].links[to] != x {
				t.Fatal("the same seed drew other faults")
			}
			switch {
			case x.Silent:
				f.Silenced++
			case x.ResetAfter > 0:
				f.Reset++
			default:
				f.Delayed++
			}
		}
		if c.kill >= 0 {
			f.Killed++
		}
	}
	if len(f.missing()) > 0 || f.Killed != 1 {
		t.Errorf("not every kind of fault was drawn, or not exactly one kill: %+v", f)
	}
}

// Runs the experiment with two daemon processes and eight nodes: rows are correct in each mode under faults. If all nodes
// of a shard send wrong rows, the experiment reports it.
func TestExperiment(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	log := logrus.New()
	log.SetOutput(t.Output())
	setup := Defaults()
	setup.Processes, setup.Shards, setup.Replicas, setup.Rows.RowsPerShard = 2, 4, 2, 60
	daemon, err := cluster.Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opt := Options{Setup: setup, Seeds: []uint64{1}, Duration: 2 * time.Second, Rate: 40, Daemon: daemon, Log: log}
	rep, err := Run(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	for i, l := range rep.Lines {
		if Modes[i].Tree != (l.Parts.Delegated > 0) {
			t.Errorf("%s: %v parts delegated; want some if and only if the mode delegates", l.Mode, l.Parts.Delegated)
		}
		if l.Verdict != (Verdict{}) || l.Ends["failed"] > 0 || l.Ends["whole"] == 0 || l.Faults.Killed != 1 {
			t.Errorf("incorrect rows, failed reads, no whole reads or no killed process: %+v", l)
		}
	}
	opt.firstShardFault = node.RowFault{OtherVersion: true}
	if rep, err = Run(ctx, opt); err != nil || !rep.Wrong {
		t.Errorf("rows of other versions are not detected: %v %+v", err, rep)
	}
}
