// Command rehearse is the test and rehearsal kit: experiments on stand-ins of its own, with
// nothing else to start.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/lab/addresses"
	"wheatsaddle/internal/lab/arrival"
	"wheatsaddle/internal/operr"
)

// The exit codes.
const (
	exitBad   = 1 // bad input, or it could not be done
	exitUsage = 2
	exitBound = 3 // a measured bound was not met
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// bound is a bound that was not met, in one line.
type bound string

func (b bound) Error() string { return string(b) }

// usage is a fault in how the command was called.
type usage struct{ error }

func run(ctx context.Context, args []string, out, diag io.Writer) int {
	err := app(out, diag).RunContext(ctx, args)
	var b bound
	var u usage
	switch {
	case err == nil:
		return 0
	case errors.As(err, &b):
		fmt.Fprintln(diag, "rehearse:", err)
		return exitBound
	case errors.As(err, &u):
		fmt.Fprintln(diag, "rehearse:", err)
		return exitUsage
	}
	fmt.Fprintln(diag, "rehearse:", operr.Text(err))
	return exitBad
}

func app(out, diag io.Writer) *cli.App {
	onUsage := func(_ *cli.Context, err error, _ bool) error { return usage{err} }
	a := &cli.App{
		Name: "rehearse", Usage: "play faults and load against the scheduler, on stand-ins", HideVersion: true,
		Writer: out, ErrWriter: diag, OnUsageError: onUsage, ExitErrHandler: func(*cli.Context, error) {},
		Flags: []cli.Flag{&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json"}},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usage{fmt.Errorf("%q is no command; see rehearse help", c.Args().First())}
			}
			return cli.ShowAppHelp(c)
		},
		Commands: []*cli.Command{addressesCommand(), loadCommand(), costCommand(), coldstartCommand(), gatherCommand(),
			{Name: "shape-schema", Usage: "print the JSON Schema of a shape of traffic", Action: func(c *cli.Context) error {
				_, err := c.App.Writer.Write(arrival.Schema)
				return err
			}}},
	}
	for _, c := range a.Commands {
		c.OnUsageError = onUsage
	}
	return a
}

// logger says on standard error what a command is doing.
func logger(c *cli.Context) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(c.App.ErrWriter)
	switch f := c.String("log-format"); f {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	case "text":
	default:
		return nil, usage{fmt.Errorf("log-format: %q is neither text nor json", f)}
	}
	return log, nil
}

// noArguments turns away what a command does not take.
func noArguments(c *cli.Context) error {
	if c.NArg() > 0 {
		return usage{fmt.Errorf("%s takes no arguments, and was given %q", c.Command.Name, c.Args().First())}
	}
	return nil
}

// writeJSON writes a result to a file.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func addressesCommand() *cli.Command {
	return &cli.Command{
		Name: "addresses", Usage: "each fault on the preferred address of a storage node, with three addresses and with one",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of arrivals and back-offs"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "of each scenario"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "under the fault"},
			&cli.Float64Flag{Name: "rate", Value: 200, Usage: "requests a second to the node at fault"},
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
			opt := addresses.Options{Seed: c.Uint64("seed"), Rounds: c.Int("rounds"), For: c.Duration("for"), Rate: c.Float64("rate"), Log: log}
			if opt.Rounds < 1 || opt.For < 2*time.Second || !(opt.Rate > 0 && opt.Rate <= 1000) {
				return usage{errors.New("rounds must be 1 or more, for 2s or more, rate from 0 to 1000")}
			}
			rep, err := addresses.Run(c.Context, opt)
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
				return bound(fmt.Sprintf("%d aims missed", len(rep.Missed)))
			}
			return nil
		},
	}
}
