package main

import (
	"errors"
	"fmt"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/lab/coldstart"
)

func coldstartCommand() *cli.Command {
	return &cli.Command{
		Name: "coldstart", Usage: "a fleet that starts within a second: as today, with the cold start, and with a snapshot",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "in virtual time, in this process (the only way so far)"},
			&cli.IntFlag{Name: "schedulers", Value: 1000},
			&cli.IntFlag{Name: "nodes", Value: 200},
			&cli.IntFlag{Name: "seeds", Value: 50, Usage: "worlds of each scenario and start"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the first world"},
			&cli.Float64Flag{Name: "capacity", Value: 400, Usage: "calls a second that the list's service can answer"},
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
			opt := coldstart.Options{Hosts: c.Int("schedulers"), Nodes: c.Int("nodes"), Seeds: c.Int("seeds"), Seed: c.Int64("seed"),
				Capacity: c.Float64("capacity"), Scenarios: c.StringSlice("scenario"),
				Starts: c.StringSlice("start")}
			if !c.Bool("virtual") {
				return usage{errors.New("only --virtual is there so far")}
			}
			if err := opt.Check(); err != nil {
				return usage{err}
			}
			last := ""
			rep, err := coldstart.Run(c.Context, opt, func(scenario string, mode coldstart.Mode) {
				if now := fmt.Sprint(scenario, ", ", mode); now != last {
					last = now
					log.WithField("start", mode.String()).Info(scenario)
				}
			})
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
