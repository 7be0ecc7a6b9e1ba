// Command loadtest runs load tests and fault experiments on the scheduler. It starts the stand-ins that it needs, for
// example for the storage nodes.
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
	exitFailure = 1 // an invalid input file, or another failure
	exitUsage   = 2 // an invalid flag or argument
	exitBound   = 3 // a measured bound was not met
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// boundNotMet is an error that describes, in one line, a bound that a measurement did not meet.
type boundNotMet string

func (b boundNotMet) Error() string { return string(b) }

// usageError is an error in the call of the command.
type usageError struct{ error }

func run(ctx context.Context, args []string, out, diag io.Writer) int {
	err := newApp(out, diag).RunContext(ctx, args)
	var b boundNotMet
	var u usageError
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
	return exitFailure
}

func newApp(out, diag io.Writer) *cli.App {
	onUsage := func(_ *cli.Context, err error, _ bool) error { return usageError{err} }
	a := &cli.App{
		Name: "loadtest", Usage: "run load tests and fault experiments on the scheduler, with stand-ins for its environment", HideVersion: true,
		Writer: out, ErrWriter: diag, OnUsageError: onUsage, ExitErrHandler: func(*cli.Context, error) {},
		Flags: []cli.Flag{&cli.StringFlag{Name: "log-format", Value: "text", Usage: "format of the log on standard error: text or json"}},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usageError{fmt.Errorf("%q is not a command; see loadtest help", c.Args().First())}
			}
			return cli.ShowAppHelp(c)
		},
		Commands: []*cli.Command{addressesCommand(), loadCommand(), costCommand(), coldstartCommand(), gatherCommand(), soakCommand(),
			{Name: "shape-schema", Usage: "print the JSON Schema of shapes of traffic", Action: func(c *cli.Context) error {
				_, err := c.App.Writer.Write(workload.Schema)
				return err
			}}},
	}
	for _, c := range a.Commands {
		c.OnUsageError = onUsage
	}
	return a
}
