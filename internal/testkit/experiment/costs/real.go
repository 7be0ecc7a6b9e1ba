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

// The run with processes: figures of the virtual world, in milliseconds that are longer, so that what the machine
// adds is a small part.
const (
	serviceStretch      = 4.0 // of all services
	workersPerNode      = 64  // of a node: they sleep
	runsByProcess       = 1   // runs of each plan through a process
	runsForHindsight    = 7   // further runs of each plan at the nodes themselves, past all processes
	decisionInterval    = 500 * time.Millisecond
	runSpacing          = 40 * time.Millisecond
	orderCheckInterval  = 100 * time.Millisecond
	sleepProbe          = 10 * time.Millisecond
	maxClientConns      = 128 // connections to one process
	concurrentEstimates = 4   // that a daemon makes at once
	requestDeadline     = 5 * time.Second
	maxNoiseShare       = 0.25       // of the mean service time, added at p90: above it the machine cannot show that an interval holds
	planName            = "the-plan" // of procs
	stretchedDeadline   = time.Duration(serviceStretch * float64(deadline))
)

// RealOptions are those of the run with processes of the built daemon.
type RealOptions struct {
	Seeds         []uint64
	Daemon        string // its path
	Processes     int
	Groups        int // of a node of each kind; one to a shard
	WarmAnswers   int // answers that each process gives before the first question
	Decisions     int // of each process, before a node turns slow
	HalfLife      time.Duration
	Every         time.Duration // between a process's rounds
	Slow          float64
	HomeShare     float64       // share of a process's requests that goes to the nodes of its home groups, of which it has two in eight
	WatchDuration time.Duration // after the slowing
	SettledChecks int           // the watch ends where the order was right at all processes for so many looks in turn; 0: it does not
	Alone         bool          // the processes tell each other nothing
	Log           logrus.FieldLogger
}

// RealDefaults are the figures.
func RealDefaults() RealOptions {
	return RealOptions{Processes: processCount, Groups: nodeCount / nodesPerShard, WarmAnswers: 500, Decisions: 16, HalfLife: 1500 * time.Millisecond,
		Every: 500 * time.Millisecond, Slow: 5, HomeShare: homeShare, WatchDuration: 8 * time.Second}
}

// RunReal plays the seeds, one after the other.
func RunReal(ctx context.Context, opt RealOptions) (*RealReport, error) {
	rep := &RealReport{Processes: opt.Processes, Nodes: opt.Groups * nodesPerShard, HalfLife: opt.HalfLife.Seconds(),
		Every: opt.Every.Seconds(), Slow: opt.Slow, Alone: opt.Alone}
	var sum RealRow
	for _, seed := range opt.Seeds {
		opt.Log.WithField("seed", seed).Info("playing")
		r, err := playSeed(ctx, opt, seed)
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

// measureSleepOverrun measures what this machine adds to a sleep, until the context ends.
func (w *processWorld) measureSleepOverrun(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(sleepProbe)
		over := millis(time.Since(begin) - sleepProbe)
		w.mu.Lock()
		w.row.slept = append(w.row.slept, over)
		w.mu.Unlock()
	}
}

// waitUntilLearned waits until each process has answered enough requests, and its estimates use what others reported.
func (w *processWorld) waitUntilLearned(ctx context.Context) error {
	return w.fleet.Wait(ctx, "the processes have learned", func() error {
		w.mu.Lock()
		least := slices.Min(w.answersGiven)
		w.mu.Unlock()
		if least < w.opt.WarmAnswers {
			return fmt.Errorf("one has given %d answers", least)
		}
		for p := range w.opt.Processes {
			r, err := w.estimate(ctx, p, w.singleReads())
			if err != nil {
				return err
			}
			for _, a := range r.Plans {
				if !w.opt.Alone && a.Basis.Origins < 1 {
					return fmt.Errorf("process %d has heard nothing of %s", p, a.Name)
				}
			}
		}
		return nil
	})
}

// playSeed runs one seed: it starts the world, waits for it to learn, decides plans, and watches the order after the
// slowing.
func playSeed(ctx context.Context, opt RealOptions, seed uint64) (row RealRow, err error) {
	start := time.Now()
	w, err := newProcessWorld(ctx, opt, seed)
	if err != nil {
		return row, err
	}
	defer w.close()
	ctx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	load.Go(func() { w.measureSleepOverrun(ctx) })
	for p := range opt.Processes {
		load.Go(func() { w.generateLoad(ctx, p, rand.New(rand.NewPCG(seed, 100+uint64(p)))) })
	}
	if err := w.waitUntilLearned(ctx); err != nil {
		return row, err
	}
	errs := make([]error, opt.Processes)
	var plans sync.WaitGroup
	for p := range opt.Processes {
		plans.Go(func() { errs[p] = w.decidePlans(ctx, p, rand.New(rand.NewPCG(seed, 200+uint64(p)))) })
	}
	plans.Wait()
	if err := errors.Join(errs...); err != nil {
		return row, err
	}
	right, err := w.watchOrder(ctx)
	stop()
	load.Wait()
	w.row.OrderRightAfter, w.row.Took = right.Seconds(), time.Since(start).Seconds()
	return w.row, err
}
