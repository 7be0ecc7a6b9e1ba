// Command loadtest is the test and rehearsal kit: experiments on stand-ins of its own, with
// nothing else to start.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/workload"
)

// The exit codes.
const (
	exitBad   = 1 // bad input, or it could not be done
	exitUsage = 2
	exitBound = 3 // a measured bound was not met
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
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
		fmt.Fprintln(diag, "loadtest:", err)
		return exitBound
	case errors.As(err, &u):
		fmt.Fprintln(diag, "loadtest:", err)
		return exitUsage
	}
	fmt.Fprintln(diag, "loadtest:", operr.Text(err))
	return exitBad
}

func app(out, diag io.Writer) *cli.App {
	onUsage := func(_ *cli.Context, err error, _ bool) error { return usage{err} }
	a := &cli.App{
		Name: "loadtest", Usage: "play faults and load against the scheduler, on stand-ins", HideVersion: true,
		Writer: out, ErrWriter: diag, OnUsageError: onUsage, ExitErrHandler: func(*cli.Context, error) {},
		Flags: []cli.Flag{&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json"}},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usage{fmt.Errorf("%q is no command; see loadtest help", c.Args().First())}
			}
			return cli.ShowAppHelp(c)
		},
		Commands: []*cli.Command{addressesCommand(), loadCommand(), costCommand(), coldstartCommand(), gatherCommand(),
			{Name: "shape-schema", Usage: "print the JSON Schema of a shape of traffic", Action: func(c *cli.Context) error {
				_, err := c.App.Writer.Write(workload.Schema)
				return err
			}}},
	}
	for _, c := range a.Commands {
		c.OnUsageError = onUsage
	}
	return a
}
