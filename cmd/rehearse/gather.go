package main

import (
	"errors"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/lab/gathers"
	"wheatsaddle/internal/lab/procs"
)

func gatherCommand() *cli.Command {
	return &cli.Command{
		Name: "gather", Usage: "gathered reads under faults, with and without second copies, each row held against the flat merge",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 3, Usage: "of rows, reads and faults, from seed 1"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "of one seed in one mode"},
			&cli.Float64Flag{Name: "rate", Value: 40, Usage: "reads a second, to all processes together"},
			&cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"},
		},
		Action: func(c *cli.Context) error {
			log, err := logger(c)
			if err == nil {
				err = noArguments(c)
			}
			if err != nil {
				return err
			}
			opt := gathers.Options{World: gathers.Defaults(), For: c.Duration("for"), Rate: c.Float64("rate"), Log: log}
			if n := c.Uint64("seeds"); n < 1 || n > 100 || opt.For < 2*time.Second || opt.For > time.Minute || !(opt.Rate > 0 && opt.Rate <= 500) {
				return usage{errors.New("seeds must be 1 to 100, for 2s to 1m, rate from 0 to 500")}
			}
			for s := range c.Uint64("seeds") {
				opt.Seeds = append(opt.Seeds, s+1)
			}
			dir, err := os.MkdirTemp("", "rehearse")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			if opt.Daemon, err = procs.Build(c.Context, dir); err != nil {
				return err
			}
			rep, err := gathers.Run(c.Context, opt)
			if err != nil {
				return err
			}
			if err := rep.Print(c.App.Writer); err != nil {
				return err
			}
			if err := writeJSON(c.String("json"), rep); err != nil {
				return err
			}
			if rep.Wrong {
				return bound("rows are wrong, doubled or lost")
			}
			return nil
		},
	}
}
