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
		Name: "cost", Usage: "the estimate of plans beside the fleet's mean and own answers only: in virtual time, or of processes",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 10, Usage: "worlds"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "seed of the first"},
			&cli.IntFlag{Name: "processes", Usage: "of the built daemon, over 24 stand-in nodes, in real time; 0: all in virtual time"},
			&cli.BoolFlag{Name: "alone", Usage: "the processes tell each other nothing"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "of decisions in each, in virtual time; a node turns slow halfway"},
			&cli.DurationFlag{Name: "half-life", Value: 1500 * time.Millisecond, Usage: "of an answer's weight in the short memory"},
			&cli.DurationFlag{Name: "every", Value: 500 * time.Millisecond, Usage: "between rounds; in each a process asks one other"},
			&cli.Float64Flag{Name: "slow", Value: 5, Usage: "times that the node is slower from then on"},
			jsonFlag(),
		},
		Action: runCost,
	}
}

func runCost(c *cli.Context) error {
	log, err := begin(c)
	if err != nil {
		return err
	}
	opt := costs.Options{For: c.Duration("for"), HalfLife: c.Duration("half-life"), Every: c.Duration("every"), Slow: c.Float64("slow")}
	if n := c.Uint64("seeds"); n < 1 || n > 1000 || opt.For < 20*time.Second || opt.For > time.Hour || opt.HalfLife < 100*time.Millisecond ||
		opt.Every < 20*time.Millisecond || opt.Every > time.Minute || !(opt.Slow >= 0.01 && opt.Slow <= 100) {
		return usage{errors.New("seeds must be 1 to 1000, for 20s to 1h, half-life 100ms or more, every 20ms to 1m, slow 0.01 to 100")}
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
	return report(c, res, countMissed(res.Missed, "bounds"))
}

// runRealCost plays the same with processes of the built daemon, in real time.
func runRealCost(c *cli.Context, log logrus.FieldLogger, set costs.Options) error {
	opt := costs.RealDefaults()
	opt.Seeds, opt.HalfLife, opt.Every, opt.Slow, opt.Log = set.Seeds, set.HalfLife, set.Every, set.Slow, log
	opt.Processes, opt.Alone = c.Int("processes"), c.Bool("alone")
	if opt.Processes < 2 || opt.Processes > 16 || c.IsSet("for") {
		return usage{errors.New("processes must be 2 to 16, and for is of virtual time")}
	}
	return withDaemon(c, func(daemon string) error {
		opt.Daemon = daemon
		res, err := costs.RunReal(c.Context, opt)
		if err != nil {
			return err
		}
		return report(c, res, countMissed(res.Missed, "bounds"))
	})
}
