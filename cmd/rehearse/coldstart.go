package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/lab/coldstart"
)

func coldstartCommand() *cli.Command {
	return &cli.Command{
		Name: "coldstart", Usage: "a fleet that starts within a second: as today, with the cold start, and with a snapshot",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "in virtual time, in this process; else processes of the built daemon"},
			&cli.IntFlag{Name: "schedulers", Usage: "0: 1000, of processes 300"},
			&cli.IntFlag{Name: "nodes", Usage: "0: a fifth of the schedulers"},
			&cli.IntFlag{Name: "seeds", Usage: "worlds of each scenario and start; 0: 50, of processes 1"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the first world"},
			&cli.Float64Flag{Name: "capacity", Usage: "calls a second that the list's service can answer; 0: 0.4 of the schedulers"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "play this one alone (may be repeated)"},
			&cli.StringSliceFlag{Name: "start", Usage: "play this start alone: today, coldstart or \"with snapshot\" (may be repeated)"},
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
			virtual := c.Bool("virtual")
			opt := coldstart.Options{Hosts: c.Int("schedulers"), Nodes: c.Int("nodes"), Seeds: c.Int("seeds"), Seed: c.Int64("seed"),
				Capacity: c.Float64("capacity"), Scenarios: c.StringSlice("scenario"),
				Starts: c.StringSlice("start")}
			opt.Fill(virtual)
			if err := opt.Check(); err != nil {
				return usage{err}
			}
			if !virtual && opt.Seeds > 1 {
				return usage{errors.New("seeds: with processes each run is one world; give another --seed")}
			}
			if !virtual && opt.Hosts > 1000 {
				return usage{errors.New("schedulers: more than 1000 processes need --virtual")}
			}
			last := ""
			begins := func(scenario string, mode coldstart.Mode) {
				if now := fmt.Sprint(scenario, ", ", mode); now != last {
					last = now
					log.WithField("start", mode.String()).Info(scenario)
				}
			}
			var rep interface {
				Print(io.Writer) error
				Bounds() []string
			}
			if virtual {
				rep, err = coldstart.Run(c.Context, opt, begins)
			} else {
				rep, err = coldstart.RunReal(c.Context, coldstart.RealOptions{Options: opt}, begins)
			}
			if err != nil {
				return err
			}
			if err := rep.Print(c.App.Writer); err != nil {
				return err
			}
			if err := writeJSON(c.String("json"), rep); err != nil {
				return err
			}
			if bad := rep.Bounds(); len(bad) > 0 {
				return bound(fmt.Sprintf("%d bounds not met, the first: %s", len(bad), bad[0]))
			}
			return nil
		},
	}
}
