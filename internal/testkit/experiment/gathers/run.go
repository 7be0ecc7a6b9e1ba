// Package gathers is the experiment on gathered reads. It runs daemon processes, simulated nodes that hold sorted rows, and
// the links between them, and injects faults into all of these while clients send gathered reads in an open loop. Some reads
// request every row, some the first rows, some pages by token. Every answer is compared with a flat merge, which is
// computed independently of package gather.
//
// Invariants: a seed gives the same faults and reads in each mode; each read that was due is counted under exactly one
// end; kinds of faults that did not occur are reported.
package gathers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/testkit/fake/node"
)

// Options are the options of the experiment.
type Options struct {
	Setup    Setup
	Seeds    []uint64
	Duration time.Duration // length of a run of one seed in one mode
	Rate     float64       // reads per second, over all processes
	Daemon   string        // path of the daemon; "": the one next to this executable, or a new build
	Log      logrus.FieldLogger

	firstShardFault node.RowFault // for tests: fault of all nodes of the first shard, in place of the drawn faults
}

// Defaults returns a setup of 8 processes and 24 nodes.
func Defaults() Setup {
	return Setup{Processes: 8, Shards: 8, Replicas: 3, Rows: node.Rows{RowsPerShard: 1000, SharedKeys: 0.3, SameVersion: 0.5, PaddingBytes: 40, RowsPerWrite: 32}}
}

// The ways in which a read can end.
const (
	endWhole   = iota
	endPartial // the result names what is missing
	endRefused // refused with status 503, before any row was sent
	endLate    // status 504, no complete response before the deadline, or a response cut off at about the deadline
	endBroken  // the connection was closed during the response, or could not be opened
	endFailed  // anything else
	endCount
)

// endNames are the names of the ends in tables and JSON.
var endNames = [endCount]string{"whole", "in part", "refused", "late", "broken", "failed"}

// readOutcome is the outcome of one read. Times are relative to the time at which the read was due.
type readOutcome struct {
	end          int
	took         time.Duration // until the end; only of whole reads
	sendLateness time.Duration // delay of the send itself
	firstRow     time.Duration // until the first row; 0: no row was received
	mostRows     time.Duration // until 95% of the rows; 0: fewer were received
	verdict      Verdict
	detail       string // description, if the end is endFailed or rows are incorrect
}

const (
	mostRowsShare = 0.95 // of the rows, for readOutcome.mostRows
	maxPages      = 4    // most pages that one client requests in succession
	subsetChance  = 0.2  // probability that a read requests only some of the shards
)

// seedRun is the state of the run of one seed in one mode.
type seedRun struct {
	opt      Options
	fleet    *daemonFleet
	oracle   *oracle
	client   *readClient
	start    time.Time
	mu       sync.Mutex
	outcomes []readOutcome
	wg       sync.WaitGroup
}

// runSeed sends the reads and injects the faults of a seed.
func runSeed(ctx context.Context, opt Options, f *daemonFleet, seed uint64) ([]readOutcome, error) {
	run := &seedRun{opt: opt, fleet: f, oracle: newOracle(opt.Setup.Rows, opt.Setup.Shards), client: newReadClient(planName, opt.Setup.Processes, deadline)}
	run.start = time.Now()
	running, stop := context.WithCancel(ctx)
	defer stop()
	faults := make(chan error, 1)
	go func() { faults <- run.injectFaults(ctx, running, drawFaultRounds(seed, opt.Setup, opt.Duration)) }()
	err := run.sendReads(ctx, rand.New(rand.NewPCG(seed, 26)))
	run.wg.Wait()
	stop()
	return run.outcomes, errors.Join(err, <-faults)
}

// waitUntil waits until a time after the start of the run; false: the context ended first.
func (run *seedRun) waitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(run.start.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFaults applies the fault rounds while reads are sent. It waits for the restart of a killed process even after the
// reads have ended.
func (run *seedRun) injectFaults(ctx, running context.Context, all []faultRound) error {
	var kills sync.WaitGroup
	defer kills.Wait()
	var mu sync.Mutex
	var errs []error
	addError := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		errs = append(errs, err)
	}
	for _, c := range all {
		if !run.waitUntil(running, c.at) {
			break
		}
		if run.opt.firstShardFault != (node.RowFault{}) {
			c = faultRound{kill: -1, nodes: map[int]node.RowFault{}}
			for j := range run.opt.Setup.Replicas {
				c.nodes[j] = run.opt.firstShardFault
			}
		}
		if kill := c.kill; kill >= 0 { // in the background, because a restart takes longer than a round
			c.kill = -1
			kills.Go(func() { addError(run.fleet.killAndRestart(ctx, kill)) })
		}
		addError(run.fleet.apply(c))
	}
	kills.Wait()
	return errors.Join(errs...)
}

// sendReads sends each read when it is due, without waiting for the answers to earlier ones.
func (run *seedRun) sendReads(ctx context.Context, rng *rand.Rand) error {
	at := time.Duration(0)
	for n := uint64(1); ; n++ {
		at += time.Duration(rng.ExpFloat64() / run.opt.Rate * float64(time.Second))
		if at >= run.opt.Duration {
			return nil
		}
		q := gatheredRead{id: fmt.Sprintf("g%d", n), class: []string{classListing, classTop, classPage}[rng.IntN(3)], after: -1}
		for s := range run.opt.Setup.Shards {
			q.shards = append(q.shards, s)
		}
		if rng.Float64() < subsetChance {
			minShards := min(2, len(q.shards))
			rng.Shuffle(len(q.shards), func(i, j int) { q.shards[i], q.shards[j] = q.shards[j], q.shards[i] })
			q.shards = q.shards[:minShards+rng.IntN(len(q.shards)-minShards+1)]
			slices.Sort(q.shards)
		}
		to := rng.IntN(run.opt.Setup.Processes)
		if !run.waitUntil(ctx, at) {
			return ctx.Err()
		}
		due := run.start.Add(at)
		run.wg.Go(func() { run.readPages(ctx, to, q, n, due) })
	}
}

// readPages sends one read and, if its class is classPage, the reads of the following pages; each of them is due when the
// page before has been received.
func (run *seedRun) readPages(ctx context.Context, to int, q gatheredRead, seq uint64, due time.Time) {
	for k := 1; ; k++ {
		target := ""
		for i := 0; target == "" && i < run.opt.Setup.Processes; i++ { // skips processes that are down
			target = run.fleet.address((to + i) % run.opt.Setup.Processes)
		}
		sent := time.Since(due)
		a, t, err := run.client.send(ctx, target, q, seq, due)
		o := run.classify(q, a, t, err)
		o.sendLateness = sent
		run.mu.Lock()
		run.outcomes = append(run.outcomes, o)
		run.mu.Unlock()
		if q.class != classPage || k == maxPages || o.end != endWhole || a.token == "" || len(a.rows) == 0 {
			return
		}
		q.token, q.after, due = a.token, parseRow(a.rows[len(a.rows)-1]).key, time.Now()
		q.id = fmt.Sprintf("g%d.%d", seq, k)
	}
}

// classify determines the end of a read and its times, and verifies its rows.
func (run *seedRun) classify(q gatheredRead, a answer, t rowTimes, err error) (o readOutcome) {
	o.verdict = run.oracle.verify(q, a)
	if o.verdict != (Verdict{}) {
		o.detail = fmt.Sprintf("%s of %s at %d, %d rows, whole %v, named %v, ended by %q: %+v", q.id, q.class, q.after, len(a.rows), a.whole, a.incompleteShards, a.errorCode, o.verdict)
	}
	if len(a.rows) > 0 {
		o.firstRow, _ = t.timeOfRows(1)
	}
	expected := len(run.oracle.expectedRows(q))
	if expected == 0 { // the page begins after the last row
		o.mostRows, o.firstRow = t.end, t.end
	} else if at, ok := t.timeOfRows(int(mostRowsShare*float64(expected) + 0.999)); ok {
		o.mostRows = at
	}
	slow := t.end > deadline
	switch {
	case a.statusCode == http.StatusOK && err == nil && a.whole && !slow:
		o.end, o.took = endWhole, t.end
	case a.statusCode == http.StatusOK && err == nil && !slow && (len(a.incompleteShards) > 0 || a.errorCode != "" || a.conflicts > 0):
		o.end = endPartial
	case a.statusCode == http.StatusServiceUnavailable && !slow:
		o.end = endRefused
	case a.statusCode == http.StatusGatewayTimeout || slow || err != nil && t.end > deadline*9/10:
		o.end = endLate
	case a.statusCode == http.StatusBadGateway && len(a.incompleteShards) > 0:
		o.end = endPartial // no row could be sent
	case err != nil:
		o.end = endBroken
	default:
		o.end = endFailed
		o.detail += fmt.Sprintf("%s of %s: %d %s, neither whole nor is anything named", q.id, q.class, a.statusCode, a.errorCode)
	}
	return o
}
