package main

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/coldstart"
)

const maxProcesses = 1000 // limit on daemon processes in one experiment

func coldstartCommand() *cli.Command {
	return &cli.Command{
		Name: "coldstart", Usage: "start a whole fleet of schedulers within a second: without the cold-start procedure, with it, and with it and a snapshot",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "simulate the fleet in virtual time, instead of running daemon processes"},
			&cli.IntFlag{Name: "schedulers", Usage: "number of schedulers; 0: 1000 with --virtual, otherwise 300"},
			&cli.IntFlag{Name: "nodes", Usage: "number of storage nodes; 0: a fifth of the schedulers"},
			&cli.IntFlag{Name: "seeds", Usage: "runs of each scenario and start, each with its own seed; 0: 50 with --virtual, otherwise 1"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "seed of the first run"},
			&cli.Float64Flag{Name: "capacity", Usage: "requests for the node list per second that the discovery service can answer; 0: 0.4 times the number of schedulers"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only the scenario with this `NAME` (may be repeated)"},
			&cli.StringSliceFlag{Name: "start", Usage: "run only this start: today (without the cold-start procedure), coldstart or \"with snapshot\" (may be repeated)"},
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
	opt.SetDefaults(virtual)
	if err := opt.Validate(); err != nil {
		return opt, usageError{err}
	}
	if !virtual && opt.Seeds > 1 {
		return opt, usageError{errors.New("--seeds above 1 needs --virtual; with processes, choose the seed with --seed")}
	}
	if !virtual && opt.Hosts > maxProcesses {
		return opt, usageError{fmt.Errorf("--schedulers above %d needs --virtual", maxProcesses)}
	}
	return opt, nil
}

func runColdstart(c *cli.Context) error {
	log, err := prepare(c)
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
		res, err = coldstart.RunProcesses(c.Context, coldstart.ProcessOptions{Options: opt}, logEachOnce(log))
	}
	if err != nil {
		return err
	}
	missed := ""
	if missedBounds := res.Bounds(); len(missedBounds) > 0 {
		missed = fmt.Sprintf("%d bounds not met; the first: %s", len(missedBounds), missedBounds[0])
	}
	return report(c, res, missed)
}

// logEachOnce returns a function that logs a scenario and start if they differ from those of the previous call.
func logEachOnce(log logrus.FieldLogger) func(scenario string, mode coldstart.Mode) {
	last := ""
	return func(scenario string, mode coldstart.Mode) {
		if now := fmt.Sprint(scenario, ", ", mode); now != last {
			last = now
			log.WithField("start", mode.String()).Info(scenario)
		}
	}
}
