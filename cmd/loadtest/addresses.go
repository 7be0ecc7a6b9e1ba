package main

import (
	"errors"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/experiment/addresses"
)

func addressesCommand() *cli.Command {
	return &cli.Command{
		Name: "addresses", Usage: "inject each fault at the preferred address of a storage node, once with three addresses and once with one",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the request arrivals and of the scheduler's backoffs"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "repetitions of each scenario; the report has medians over them"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration of each fault"},
			&cli.Float64Flag{Name: "rate", Value: 200, Usage: "requests per second to the node with the fault"},
			jsonFlag(),
		},
		Action: runAddresses,
	}
}

func runAddresses(c *cli.Context) error {
	log, err := prepare(c)
	if err != nil {
		return err
	}
	opt := addresses.Options{Seed: c.Uint64("seed"), Rounds: c.Int("rounds"), FaultDuration: c.Duration("for"), Rate: c.Float64("rate"), Log: log}
	if opt.Rounds < 1 || opt.FaultDuration < 2*time.Second || !(opt.Rate > 0 && opt.Rate <= 1000) {
		return usageError{errors.New("--rounds must be 1 or more, --for 2s or more, --rate above 0 and at most 1000")}
	}
	res, err := addresses.Run(c.Context, opt)
	if err != nil {
		return err
	}
	return report(c, res, missedText(res.Missed, "aims"))
}
