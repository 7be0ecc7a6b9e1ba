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

// What the commands have in common: how each begins, where it has the daemon from, and how it reports.

// begin checks what all commands check, and returns the logger of the command's progress.
func begin(c *cli.Context) (*logrus.Logger, error) {
	log, err := logger(c)
	if err != nil {
		return nil, err
	}
	return log, noArguments(c)
}

// logger writes to standard error, in the form that the flag log-format names.
func logger(c *cli.Context) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(c.App.ErrWriter)
	switch format := c.String("log-format"); format {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	case "text":
	default:
		return nil, usage{fmt.Errorf("log-format: %q is neither text nor json", format)}
	}
	return log, nil
}

// noArguments is an error where a command was given arguments: none takes any.
func noArguments(c *cli.Context) error {
	if c.NArg() > 0 {
		return usage{fmt.Errorf("%s takes no arguments, and was given %q", c.Command.Name, c.Args().First())}
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

// result is what an experiment found.
type result interface{ Print(io.Writer) error }

// report prints a result, writes it to the file that the flag json names, and returns the bound that was not
// met; "": all were.
func report(c *cli.Context, res result, missed string) error {
	if err := res.Print(c.App.Writer); err != nil {
		return err
	}
	if err := writeJSON(c.String("json"), res); err != nil {
		return err
	}
	if missed != "" {
		return bound(missed)
	}
	return nil
}

// countMissed says how many bounds, in the result's own word for them, were not met; "": none.
func countMissed(missed []string, word string) string {
	if len(missed) == 0 {
		return ""
	}
	return fmt.Sprintf("%d %s missed", len(missed), word)
}

func jsonFlag() cli.Flag {
	return &cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"}
}

// writeJSON writes a result to a file; "": to none.
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
