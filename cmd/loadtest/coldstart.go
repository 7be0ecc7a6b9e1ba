package main

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/coldstart"
)

const processesMost = 1000 // in one experiment with processes of the daemon

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
			jsonFlag(),
		},
		Action: runColdstart,
	}
}

// coldstartOptions reads and checks the flags.
func coldstartOptions(c *cli.Context) (coldstart.Options, error) {
	opt := coldstart.Options{
		Hosts:     c.Int("schedulers"),
		Nodes:     c.Int("nodes"),
		Seeds:     c.Int("seeds"),
		Seed:      c.Int64("seed"),
		Capacity:  c.Float64("capacity"),
		Scenarios: c.StringSlice("scenario"),
		Starts:    c.StringSlice("start"),
	}
	virtual := c.Bool("virtual")
	opt.Fill(virtual)
	if err := opt.Check(); err != nil {
		return opt, usage{err}
	}
	if !virtual && opt.Seeds > 1 {
		return opt, usage{errors.New("seeds: with processes each run is one world; give another --seed")}
	}
	if !virtual && opt.Hosts > processesMost {
		return opt, usage{fmt.Errorf("schedulers: more than %d processes need --virtual", processesMost)}
	}
	return opt, nil
}

func runColdstart(c *cli.Context) error {
	log, err := begin(c)
	if err != nil {
		return err
	}
	opt, err := coldstartOptions(c)
	if err != nil {
		return err
	}
	var res interface {
		result
		Bounds() []string
	}
	if c.Bool("virtual") {
		res, err = coldstart.Run(c.Context, opt, logEachOnce(log))
	} else {
		res, err = coldstart.RunReal(c.Context, coldstart.RealOptions{Options: opt}, logEachOnce(log))
	}
	if err != nil {
		return err
	}
	missed := ""
	if bad := res.Bounds(); len(bad) > 0 {
		missed = fmt.Sprintf("%d bounds not met, the first: %s", len(bad), bad[0])
	}
	return report(c, res, missed)
}

// logEachOnce logs a scenario and start when it differs from the one before: each has many worlds.
func logEachOnce(log logrus.FieldLogger) func(scenario string, mode coldstart.Mode) {
	last := ""
	return func(scenario string, mode coldstart.Mode) {
		if now := fmt.Sprint(scenario, ", ", mode); now != last {
			last = now
			log.WithField("start", mode.String()).Info(scenario)
		}
	}
}
