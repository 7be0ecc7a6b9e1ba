package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "play crowds, slow nodes, floods and clients that leave against real processes, with restarts, faults of the network and of system calls, and steps of the clock",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Value: 5, Usage: "number of seeds; a seed determines the scenario"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration of each scenario, without its last shutdown"},
			&cli.StringFlag{Name: "keep", Usage: "keep the daemons' files and logs in the folder `DIR`"},
			jsonFlag(),
		},
		Action: runSoak,
	}
}

func runSoak(c *cli.Context) error {
	log, err := prepare(c)
	if err != nil {
		return err
	}
	opt := soak.RunOptions{Length: c.Duration("for"), Dir: c.String("keep"), Log: log}
	if n := c.Uint64("seeds"); n < 1 || n > 1000 || opt.Length < 3*time.Second || opt.Length > 10*time.Minute {
		return usageError{errors.New("--seeds must be 1 to 1000, --for 3s to 10m")}
	}
	for seed := range c.Uint64("seeds") {
		opt.Seeds = append(opt.Seeds, seed+c.Uint64("first"))
	}
	if opt.Dir == "" {
		if opt.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(opt.Dir) }()
	}
	return withDaemon(c, func(daemon string) error {
		opt.Daemon = daemon
		res, err := soak.Run(c.Context, opt)
		if err != nil {
			return err
		}
		missed := ""
		if broken := res.Broken(); len(broken) > 0 {
			missed = fmt.Sprintf("rules are broken with the seeds %v", broken)
		}
		return report(c, res, missed)
	})
}
