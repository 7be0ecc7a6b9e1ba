package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/testkit/cluster"
)

// This file has the functions that the commands share: checks of the call, the build of the daemon, and the report.

// prepare makes the checks that all commands share, and returns the logger for the command's progress.
func prepare(c *cli.Context) (*logrus.Logger, error) {
	log, err := newLogger(c)
	if err != nil {
		return nil, err
	}
	return log, rejectArguments(c)
}

// newLogger returns a logger that writes to standard error, in the format of the flag log-format.
func newLogger(c *cli.Context) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(c.App.ErrWriter)
	switch format := c.String("log-format"); format {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	case "text":
	default:
		return nil, usageError{fmt.Errorf("--log-format: %q is neither text nor json", format)}
	}
	return log, nil
}

// rejectArguments returns an error if a command was given arguments: no command takes any.
func rejectArguments(c *cli.Context) error {
	if c.NArg() > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, but was given %q", c.Command.Name, c.Args().First())}
	}
	return nil
}

// withDaemon builds the daemon in a temporary folder, runs a function with its path and removes the folder.
func withDaemon(c *cli.Context, run func(daemon string) error) error {
	dir, err := os.MkdirTemp("", "loadtest")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemon, err := cluster.Build(c.Context, dir)
	if err != nil {
		return err
	}
	return run(daemon)
}

// result is the result of an experiment.
type result interface{ Print(io.Writer) error }

// report prints a result and writes it to the file that the flag json names. It returns missed as an error of type
// boundNotMet; "": all bounds were met, and the error is nil.
func report(c *cli.Context, res result, missed string) error {
	if err := res.Print(c.App.Writer); err != nil {
		return err
	}
	if err := writeJSON(c.String("json"), res); err != nil {
		return err
	}
	if missed != "" {
		return boundNotMet(missed)
	}
	return nil
}

// missedText returns a text with the number of missed bounds, which the result calls boundsName; "": none was missed.
func missedText(missed []string, boundsName string) string {
	if len(missed) == 0 {
		return ""
	}
	return fmt.Sprintf("%d %s missed", len(missed), boundsName)
}

func jsonFlag() cli.Flag {
	return &cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"}
}

// writeJSON writes a result to a file; "": it writes nothing.
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
