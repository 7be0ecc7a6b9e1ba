package costs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The run with processes has the figures of the simulated fleet, but service times are stretched, so that the time which the
// machine adds is a small part of them.
const (
	serviceStretch      = 4.0 // factor on all service times
	workersPerNode      = 64  // many, because they only sleep
	runsByProcess       = 1   // runs of each plan through a process
	runsForHindsight    = 7   // further runs of each plan, sent directly to the nodes
	decisionInterval    = 500 * time.Millisecond
	runSpacing          = 40 * time.Millisecond
	orderCheckInterval  = 100 * time.Millisecond
	sleepProbe          = 10 * time.Millisecond
	maxClientConns      = 128 // to each process
	concurrentEstimates = 4   // limit of each daemon
	requestDeadline     = 5 * time.Second
	maxNoiseShare       = 0.25       // of the mean service time, added at p90; above it the coverage cannot be shown on this machine
	planName            = "the-plan" // the default plan of package cluster
	stretchedDeadline   = time.Duration(serviceStretch * float64(deadline))
)

// RealOptions are the options of the run with daemon processes.
type RealOptions struct {
	Seeds         []uint64
	Daemon        string // path of the daemon
	Processes     int
	Groups        int // each has one node of each kind; each node is its own shard
	WarmAnswers   int // answers that each process gives before the first decision
	Decisions     int // of each process, before the slow node slows down
	HalfLife      time.Duration
	RoundInterval time.Duration // interval of a process's gossip rounds
	SlowFactor    float64
	HomeShare     float64       // share of a process's requests to its home groups, a quarter of all groups but at least one
	WatchDuration time.Duration // longest time for which the order is watched after the slowing
	SettledChecks int           // the watch ends early after so many successive right orders at every process; 0: never
	Alone         bool          // the processes exchange no observations
	Log           logrus.FieldLogger
}

// RealDefaults returns the options for which the required bounds apply.
func RealDefaults() RealOptions {
	return RealOptions{Processes: processCount, Groups: nodeCount / nodesPerShard, WarmAnswers: 500, Decisions: 16, HalfLife: 1500 * time.Millisecond,
		RoundInterval: 500 * time.Millisecond, SlowFactor: 5, HomeShare: homeShare, WatchDuration: 8 * time.Second}
}

// RunReal runs the seeds one after the other.
func RunReal(ctx context.Context, opt RealOptions) (*RealReport, error) {
	rep := &RealReport{Processes: opt.Processes, Nodes: opt.Groups * nodesPerShard, HalfLife: opt.HalfLife.Seconds(),
		Every: opt.RoundInterval.Seconds(), Slow: opt.SlowFactor, Alone: opt.Alone}
	var sum RealRow
	for _, seed := range opt.Seeds {
		opt.Log.WithField("seed", seed).Info("playing")
		r, err := runRealSeed(ctx, opt, seed)
		if err != nil {
			return nil, err
		}
		sum.add(&r.Row)
		sum.Requests, sum.Refused, sum.Busy, sum.Took = sum.Requests+r.Requests, sum.Refused+r.Refused, sum.Busy+r.Busy, sum.Took+r.Took
		sum.knownCost += r.knownCost
		sum.added, sum.slept = append(sum.added, r.added...), append(sum.slept, r.slept...)
		rep.Rows = append(rep.Rows, r)
	}
	rep.Rows = append(rep.Rows, sum)
	rep.judge()
	return rep, nil
}

// measureSleepOverrun measures by how much sleeps overrun on this machine, until the context ends.
func (bed *testbed) measureSleepOverrun(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(sleepProbe)
		over := millis(time.Since(begin) - sleepProbe)
		bed.mu.Lock()
		bed.row.slept = append(bed.row.slept, over)
		bed.mu.Unlock()
	}
}

// waitUntilLearned waits until each process has answered enough requests, and its estimates use what others reported.
func (bed *testbed) waitUntilLearned(ctx context.Context) error {
	return bed.fleet.Wait(ctx, "the processes have learned", func() error {
		bed.mu.Lock()
		fewest := slices.Min(bed.answerCounts)
		bed.mu.Unlock()
		if fewest < bed.opt.WarmAnswers {
			return fmt.Errorf("a process has given only %d answers", fewest)
		}
		for p := range bed.opt.Processes {
			r, err := bed.estimate(ctx, p, bed.singleReads())
			if err != nil {
				return err
			}
			for _, a := range r.Plans {
				if !bed.opt.Alone && a.Basis.Origins < 1 {
					return fmt.Errorf("process %d has no observations of other processes about node %s", p, a.Name)
				}
			}
		}
		return nil
	})
}

// runRealSeed runs one seed: it starts the testbed, waits until the processes have learned, has them rank plans, and watches
// the order after the slowing.
func runRealSeed(ctx context.Context, opt RealOptions, seed uint64) (row RealRow, err error) {
	start := time.Now()
	bed, err := newTestbed(ctx, opt, seed)
	if err != nil {
		return row, err
	}
	defer bed.close()
	ctx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	load.Go(func() { bed.measureSleepOverrun(ctx) })
	for p := range opt.Processes {
		load.Go(func() { bed.generateLoad(ctx, p, rand.New(rand.NewPCG(seed, 100+uint64(p)))) })
	}
	if err := bed.waitUntilLearned(ctx); err != nil {
		return row, err
	}
	errs := make([]error, opt.Processes)
	var plans sync.WaitGroup
	for p := range opt.Processes {
		plans.Go(func() { errs[p] = bed.decidePlans(ctx, p, rand.New(rand.NewPCG(seed, 200+uint64(p)))) })
	}
	plans.Wait()
	if err := errors.Join(errs...); err != nil {
		return row, err
	}
	right, err := bed.watchOrder(ctx)
	stop()
	load.Wait()
	bed.row.OrderRightAfter, bed.row.Took = right.Seconds(), time.Since(start).Seconds()
	return bed.row, err
}
