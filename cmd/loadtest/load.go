package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/experiment/load"
	"wheatsaddle/internal/testkit/fleet"
	"wheatsaddle/internal/testkit/loadvalidity"
	"wheatsaddle/internal/testkit/workload"
)

const (
	schedulersStarted = 2                     // schedulers that are started if no target is given
	meanServiceTime   = 2 * time.Millisecond  // of a unit of work at a stand-in node
	nodeWorkers       = 4                     // requests that a stand-in node serves concurrently
	daemonMemoryMiB   = 192                   // memory limit of a scheduler, MiB
	retryWait         = 50 * time.Millisecond // before a client retries a request
	firstSurgeMs      = 6000                  // early enough for a short run
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests to schedulers at times that do not depend on the answers; without --target, starts two schedulers and stand-in nodes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`HOST:PORT` of a scheduler (may be repeated)"},
			&cli.StringFlag{Name: "shape", Usage: "shape of the traffic, from the JSON `FILE`; see loadtest shape-schema"},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second, in place of the shape's rate"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "length"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.IntFlag{Name: "open", Value: 4096, Usage: "maximum number of requests in flight; further requests are not sent and make the run invalid"},
			&cli.IntFlag{Name: "conns", Value: 512, Usage: "maximum number of connections to one scheduler"},
			&cli.BoolFlag{Name: "retry", Value: true, Usage: "clients retry a refused or reset request once; --retry=false: never"},
			&cli.StringFlag{Name: "json", Usage: "write the results to `FILE`"},
		},
		Action: runLoad,
	}
}

// readShape returns the shape of traffic that the flags describe; without a file, the default one with an early surge.
func readShape(c *cli.Context) (workload.Shape, error) {
	s := workload.Default()
	if file := c.String("shape"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return s, fmt.Errorf("shape: %w", err)
		}
		if err := config.CheckSchema("shape", workload.Schema, text); err != nil {
			return s, err
		}
		if s, err = workload.Parse(text); err != nil {
			return s, err
		}
	} else {
		s.Surges.First = firstSurgeMs
	}
	if c.IsSet("rate") {
		s.Rate = c.Float64("rate")
	}
	err := s.Check()
	return s, err
}

func runLoad(c *cli.Context) error {
	log, err := prepare(c)
	if err != nil {
		return err
	}
	if c.Duration("for") <= 0 || c.Int("open") < 1 || c.Int("conns") < 1 {
		return usageError{errors.New("--for, --open and --conns must be above 0")}
	}
	shape, err := readShape(c)
	if err != nil {
		return err
	}
	targets := c.StringSlice("target")
	var startedFleet *fleet.Fleet // the schedulers that this command starts; nil: the targets were given by flags
	if len(targets) == 0 {
		if startedFleet, err = startFleet(c, shape, log); err != nil {
			return err
		}
		defer startedFleet.Close()
		targets = startedFleet.Targets
	}
	schedule, err := workload.New(shape, c.Uint64("seed"), c.Duration("for"))
	if err != nil {
		return err
	}
	opt := load.Options{
		Shape:           shape,
		Source:          schedule,
		RequestIDPrefix: fmt.Sprintf("%x", c.Uint64("seed")),
		MaxOpen:         c.Int("open"),
		Retry:           c.Bool("retry"),
		RetryWait:       retryWait,
		Bounds:          loadvalidity.Defaults(),
	}
	for _, address := range targets {
		pool := &client.Pool{Address: address, MaxConns: c.Int("conns")}
		defer pool.Close() //nolint:gocritic // all pools are open until the run is over
		opt.Pools = append(opt.Pools, pool)
	}
	log.WithFields(logrus.Fields{"rate": shape.Rate, "for": c.Duration("for"), "seed": c.Uint64("seed")}).Info("sending")
	res, err := load.Run(c.Context, opt)
	if err != nil {
		return err
	}
	return reportLoad(c, res, schedule, startedFleet)
}

// startFleet starts stand-in nodes and schedulers for a shape of traffic.
func startFleet(c *cli.Context, shape workload.Shape, log logrus.FieldLogger) (*fleet.Fleet, error) {
	started, err := fleet.Start(c.Context, fleet.Options{
		Shape:           shape,
		Schedulers:      schedulersStarted,
		MeanServiceTime: meanServiceTime,
		Workers:         nodeWorkers,
		Seed:            c.Uint64("seed"),
		MemoryMB:        daemonMemoryMiB,
		Log:             log,
	})
	if err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"nodes": len(started.Nodes), "schedulers": len(started.Targets)}).Info("started")
	return started, nil
}

// reportLoad prints the result and writes it to a file. It stops the schedulers that this command started, because their
// processor time is known only then. The error is of type boundNotMet if the load generator itself was too slow for the
// run to be valid.
func reportLoad(c *cli.Context, res *load.Results, schedule *workload.Schedule, startedFleet *fleet.Fleet) error {
	if err := res.Print(c.App.Writer); err != nil {
		return err
	}
	fmt.Fprintf(c.App.Writer, "schedule of %d requests, hash %016x\n", schedule.Generated(), schedule.Hash())
	if startedFleet != nil {
		if err := startedFleet.Stop(); err != nil {
			return err
		}
		perRequest := startedFleet.CPU() / time.Duration(max(1, res.Generator.Sent))
		fmt.Fprintf(c.App.Writer, "processor time of the schedulers: %v, %v a request\n", startedFleet.CPU().Round(time.Millisecond),
			perRequest.Round(time.Microsecond))
	}
	if err := writeJSON(c.String("json"), res); err != nil {
		return err
	}
	if verdict := res.Generator.Evaluate(); !verdict.Valid {
		return boundNotMet("the run is not valid: " + verdict.Reasons[0])
	}
	return nil
}
