package main

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/costs"
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name: "cost", Usage: "compare cost estimates of plans that use the answers of all processes, only the fleet's mean, or only a process's own answers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 10, Usage: "worlds"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "processes", Usage: "number of daemon processes, 2 to 16, with 24 stand-in nodes, in real time; 0: simulate the fleet in virtual time"},
			&cli.BoolFlag{Name: "alone", Usage: "the processes do not exchange their statistics; only with --processes"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "duration of each run, in virtual time only; a node becomes slower halfway"},
			&cli.DurationFlag{Name: "half-life", Value: 1500 * time.Millisecond, Usage: "time in which the weight of an answer in the short-term statistics halves"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "time between a process's gossip rounds; in each it exchanges statistics with one other process"},
			&cli.Float64Flag{Name: "slow", Value: 5, Usage: "factor by which the node becomes slower"},
			jsonFlag(),
		},
		Action: runCost,
	}
}

func runCost(c *cli.Context) error {
	log, err := prepare(c)
	if err != nil {
		return err
	}
	opt := costs.Options{Duration: c.Duration("for"), HalfLife: c.Duration("half-life"), RoundInterval: c.Duration("every"), SlowFactor: c.Float64("slow")}
	if n := c.Uint64("seeds"); n < 1 || n > 1000 || opt.Duration < 20*time.Second || opt.Duration > time.Hour || opt.HalfLife < 100*time.Millisecond ||
		opt.RoundInterval < 20*time.Millisecond || opt.RoundInterval > time.Minute || !(opt.SlowFactor >= 0.01 && opt.SlowFactor <= 100) {
		return usageError{errors.New("--seeds must be 1 to 1000, --for 20s to 1h, --half-life 100ms or more, --every 20ms to 1m, --slow 0.01 to 100")}
	}
	for seed := range c.Uint64("seeds") {
		opt.Seeds = append(opt.Seeds, seed+c.Uint64("first"))
	}
	if c.Int("processes") != 0 {
		return runRealCost(c, log, opt)
	}
	log.WithField("seeds", len(opt.Seeds)).Info("playing")
	res, err := costs.Run(opt)
	if err != nil {
		return err
	}
	return report(c, res, missedText(res.Missed, "bounds"))
}

// runRealCost runs the experiment with processes of the built daemon, in real time.
func runRealCost(c *cli.Context, log logrus.FieldLogger, common costs.Options) error {
	opt := costs.RealDefaults()
	opt.Seeds, opt.HalfLife, opt.RoundInterval, opt.SlowFactor, opt.Log = common.Seeds, common.HalfLife, common.RoundInterval, common.SlowFactor, log
	opt.Processes, opt.Alone = c.Int("processes"), c.Bool("alone")
	if opt.Processes < 2 || opt.Processes > 16 || c.IsSet("for") {
		return usageError{errors.New("--processes must be 2 to 16, without --for, which applies to virtual time only")}
	}
	return withDaemon(c, func(daemon string) error {
		opt.Daemon = daemon
		res, err := costs.RunReal(c.Context, opt)
		if err != nil {
			return err
		}
		return report(c, res, missedText(res.Missed, "bounds"))
	})
}
