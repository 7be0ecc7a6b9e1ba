package main

import (
	"errors"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/gathers"
)

func gatherCommand() *cli.Command {
	return &cli.Command{
		Name: "gather", Usage: "send gathered reads under faults and check each row; modes: no hedging (second copies), hedging, hedging and delegation to peers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 3, Usage: "number of seeds, from 1 on; a seed determines the rows, reads and faults"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "duration of the run of each seed in each mode"},
			&cli.Float64Flag{Name: "rate", Value: 40, Usage: "reads per second, to all processes together"},
			jsonFlag(),
		},
		Action: runGather,
	}
}

func runGather(c *cli.Context) error {
	log, err := prepare(c)
	if err != nil {
		return err
	}
	opt := gathers.Options{Setup: gathers.Defaults(), Duration: c.Duration("for"), Rate: c.Float64("rate"), Log: log}
	if n := c.Uint64("seeds"); n < 1 || n > 100 || opt.Duration < 2*time.Second || opt.Duration > time.Minute || !(opt.Rate > 0 && opt.Rate <= 500) {
		return usageError{errors.New("--seeds must be 1 to 100, --for 2s to 1m, --rate above 0 and at most 500")}
	}
	for seed := range c.Uint64("seeds") {
		opt.Seeds = append(opt.Seeds, seed+1)
	}
	return withDaemon(c, func(daemon string) error {
		opt.Daemon = daemon
		res, err := gathers.Run(c.Context, opt)
		if err != nil {
			return err
		}
		missed := ""
		if res.Wrong {
			missed = "rows are wrong, duplicated or lost"
		}
		return report(c, res, missed)
	})
}
