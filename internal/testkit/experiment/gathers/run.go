// Package gathers is the experiment on gathered reads: processes of the built program, stand-in nodes that hold sorted
// rows, links between them, and faults in all of these while clients send gathered reads at a rate that waits for no
// answer. Some ask for every row, some for the first ones, some for pages by token. Every answer is held against the
// flat merge, which package gather has no part in.
//
// Invariants: the same seed plays the same faults and reads to each mode; each read that was due is counted under one
// end; a fault that did not happen is named.
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

// Options are the experiment's.
type Options struct {
	World  World
	Seeds  []uint64
	For    time.Duration // of one seed in one mode
	Rate   float64       // reads a second, to all processes together
	Daemon string        // path of the built program; "": beside this one, or built
	Log    logrus.FieldLogger

	firstShardFault node.RowFault // a test's: of all nodes of the first shard, in place of the schedule's
}

// Defaults are 8 processes and 24 nodes.
func Defaults() World {
	return World{Processes: 8, Shards: 8, Copies: 3, Rows: node.Rows{RowsPerShard: 1000, SharedKeys: 0.3, SameVersion: 0.5, PaddingBytes: 40, RowsPerWrite: 32}}
}

// The ends of a read.
const (
	endWhole   = iota
	endPartial // with what is missing named
	endRefused // before a row went out
	endLate    // the process said so, or nothing was heard in time, or it cut the answer at the deadline
	endBroken  // the connection ended in the middle, or none came up
	endFailed  // anything else
	endCount
)

// endNames are the ends in tables and JSON.
var endNames = [endCount]string{"whole", "in part", "refused", "late", "broken", "failed"}

// one is what came of a read.
type readOutcome struct {
	end          int
	took         time.Duration // of whole ones, until the end
	sendLateness time.Duration // after it was due
	firstRow     time.Duration // until the first row; 0: none came
	mostRows     time.Duration // until 95% of the rows; 0: they did not come
	verdict      Verdict
	detail       string // of failed, and where rows were not right
}

const (
	mostRowsShare = 0.95
	maxPages      = 4 // that one client asks for
	subsetChance  = 0.2
)

// player plays one seed in one mode.
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

// play runs the reads and the faults of a seed.
func runSeed(ctx context.Context, opt Options, f *daemonFleet, seed uint64) ([]readOutcome, error) {
	p := &seedRun{opt: opt, fleet: f, oracle: newOracle(opt.World.Rows, opt.World.Shards), client: newReadClient(planName, opt.World.Processes, deadline)}
	p.start = time.Now()
	running, stop := context.WithCancel(ctx)
	defer stop()
	faults := make(chan error, 1)
	go func() { faults <- p.injectFaults(ctx, running, drawFaultRounds(seed, opt.World, opt.For)) }()
	err := p.sendReads(ctx, rand.New(rand.NewPCG(seed, 26)))
	p.wg.Wait()
	stop()
	return p.outcomes, errors.Join(err, <-faults)
}

// wait waits until a moment of the run; false: it has ended.
func (p *seedRun) waitUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(p.start.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// faults plays the changes while reads are sent; a process that is killed is waited for, also past their end.
func (p *seedRun) injectFaults(ctx, running context.Context, all []faultRound) error {
	var kills sync.WaitGroup
	defer kills.Wait()
	var mu sync.Mutex
	var errs []error
	note := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		errs = append(errs, err)
	}
	for _, c := range all {
		if !p.waitUntil(running, c.at) {
			break
		}
		if p.opt.firstShardFault != (node.RowFault{}) {
			c = faultRound{kill: -1, nodes: map[int]node.RowFault{}}
			for j := range p.opt.World.Copies {
				c.nodes[j] = p.opt.firstShardFault
			}
		}
		if kill := c.kill; kill >= 0 { // it takes longer than a round
			c.kill = -1
			kills.Go(func() { note(p.fleet.killAndRestart(ctx, kill)) })
		}
		note(p.fleet.apply(c))
	}
	kills.Wait()
	return errors.Join(errs...)
}

// reads sends the reads when they are due, whatever came of those before.
func (p *seedRun) sendReads(ctx context.Context, rng *rand.Rand) error {
	at := time.Duration(0)
	for n := uint64(1); ; n++ {
		at += time.Duration(rng.ExpFloat64() / p.opt.Rate * float64(time.Second))
		if at >= p.opt.For {
			return nil
		}
		q := gatheredRead{id: fmt.Sprintf("g%d", n), class: []string{classListing, classTop, classPage}[rng.IntN(3)], after: -1}
		for s := range p.opt.World.Shards {
			q.shards = append(q.shards, s)
		}
		if rng.Float64() < subsetChance {
			least := min(2, len(q.shards))
			rng.Shuffle(len(q.shards), func(i, j int) { q.shards[i], q.shards[j] = q.shards[j], q.shards[i] })
			q.shards = q.shards[:least+rng.IntN(len(q.shards)-least+1)]
			slices.Sort(q.shards)
		}
		to := rng.IntN(p.opt.World.Processes)
		if !p.waitUntil(ctx, at) {
			return ctx.Err()
		}
		due := p.start.Add(at)
		p.wg.Go(func() { p.readPages(ctx, to, q, n, due) })
	}
}

// client is one read, and of pages those after it, each due when the one before is here.
func (p *seedRun) readPages(ctx context.Context, to int, q gatheredRead, seq uint64, due time.Time) {
	for k := 1; ; k++ {
		target := ""
		for i := 0; target == "" && i < p.opt.World.Processes; i++ { // one that is down is passed over
			target = p.fleet.address((to + i) % p.opt.World.Processes)
		}
		sent := time.Since(due)
		a, t, err := p.client.send(ctx, target, q, seq, due)
		o := p.classify(q, a, t, err)
		o.sendLateness = sent
		p.mu.Lock()
		p.outcomes = append(p.outcomes, o)
		p.mu.Unlock()
		if q.class != classPage || k == maxPages || o.end != endWhole || a.token == "" || len(a.rows) == 0 {
			return
		}
		q.token, q.after, due = a.token, parseRow(a.rows[len(a.rows)-1]).key, time.Now()
		q.id = fmt.Sprintf("g%d.%d", seq, k)
	}
}

// took counts a read under its end.
func (p *seedRun) classify(q gatheredRead, a answer, t rowTimes, err error) (o readOutcome) {
	o.verdict = p.oracle.verify(q, a)
	if o.verdict != (Verdict{}) {
		o.detail = fmt.Sprintf("%s of %s at %d, %d rows, whole %v, named %v, ended by %q: %+v", q.id, q.class, q.after, len(a.rows), a.whole, a.incompleteShards, a.errorCode, o.verdict)
	}
	if len(a.rows) > 0 {
		o.firstRow, _ = t.timeOfRows(1)
	}
	expected := len(p.oracle.expectedRows(q))
	if expected == 0 { // a page after the last row
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
		o.end = endPartial // no row could go out
	case err != nil:
		o.end = endBroken
	default:
		o.end = endFailed
		o.detail += fmt.Sprintf("%s of %s: %d %s, neither whole nor is anything named", q.id, q.class, a.statusCode, a.errorCode)
	}
	return o
}
