package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/lab/costs"
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name: "cost", Usage: "the estimate of plans beside the fleet's mean and own answers only, in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 10, Usage: "worlds, from seed 1"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "of decisions in each; a node turns slow halfway"},
			&cli.DurationFlag{Name: "half-life", Value: 1500 * time.Millisecond, Usage: "of an answer's weight"},
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
			opt := costs.Options{For: c.Duration("for"), HalfLife: c.Duration("half-life")}
			if n := c.Uint64("seeds"); n < 1 || n > 1000 || opt.For < 20*time.Second || opt.For > time.Hour || opt.HalfLife < 100*time.Millisecond {
				return usage{errors.New("seeds must be 1 to 1000, for 20s to 1h, half-life 100ms or more")}
			}
			for s := range c.Uint64("seeds") {
				opt.Seeds = append(opt.Seeds, s+1)
			}
			log.WithField("seeds", len(opt.Seeds)).Info("playing")
			rep, err := costs.Run(opt)
			if err != nil {
				return err
			}
			if err := rep.Print(c.App.Writer); err != nil {
				return err
			}
			if err := writeJSON(c.String("json"), rep); err != nil {
				return err
			}
			if len(rep.Missed) > 0 {
				return bound(fmt.Sprintf("%d bounds missed", len(rep.Missed)))
			}
			return nil
		},
	}
}
