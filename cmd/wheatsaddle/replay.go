package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/replay"
)

const maxErrorsShown = 20 // in the report

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "report on a HAR file or access log, and write its requests", ArgsUsage: "FILE", Action: replayFile,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "take classes and deadlines from the configuration `FILE`"},
			&cli.StringSliceFlag{Name: "class", Usage: "`PREFIX=CLASS`: the class of paths with this prefix"},
			&cli.StringFlag{Name: "plan", Usage: "plan of requests without a recorded one (default: the first of the configuration)"},
			&cli.DurationFlag{Name: "deadline", Value: 1500 * time.Millisecond, Usage: "deadline if neither the recording nor the configuration has one"},
			&cli.Float64Flag{Name: "unit-bytes", Value: 8192, Usage: "bytes that count as one unit"},
			&cli.IntFlag{Name: "shards", Value: 8, Usage: "number of shards over which keys are distributed"},
			&cli.IntFlag{Name: "hosts", Value: 1, Usage: "number of hosts through which a volume's requests are sent"},
			&cli.StringFlag{Name: "out", Usage: "write the requests to `FILE`, - for standard output"},
			&cli.StringFlag{Name: "as", Value: "jsonl", Usage: "format of the written requests: jsonl, or http for the platform's messages"},
		},
	}
}

// replayFile is the command replay.
func replayFile(c *cli.Context) error {
	if c.NArg() != 1 {
		return &replay.FlagError{Problem: "expected one FILE argument"}
	}
	mapping, err := replayMapping(c)
	if err != nil {
		return err
	}
	format := c.String("as")
	if format != "jsonl" && format != "http" {
		return &replay.FlagError{Flag: "as", Problem: fmt.Sprintf("%q is neither jsonl nor http", format)}
	}
	in, err := os.Open(c.Args().First())
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { _ = in.Close() }() // opened for reading only
	recording, err := replay.Read(in, mapping)
	if err != nil {
		return err
	}
	report(c, recording)
	return writeRequests(c, recording, format)
}

// replayMapping returns how recorded requests map to classes, keys and deadlines, from the flags and the configuration.
func replayMapping(c *cli.Context) (replay.Mapping, error) {
	m := replay.Mapping{
		Plan:      c.String("plan"),
		Deadline:  c.Duration("deadline"),
		UnitBytes: c.Float64("unit-bytes"),
		Shards:    c.Int("shards"),
		Hosts:     c.Int("hosts"),
		Prefixes:  map[string]string{},
	}
	if !(m.UnitBytes > 0) || m.Shards < 1 || m.Hosts < 1 || m.Deadline <= 0 {
		return m, &replay.FlagError{Problem: "unit-bytes, shards, hosts and deadline must be above 0"}
	}
	for _, rule := range c.StringSlice("class") {
		prefix, class, ok := strings.Cut(rule, "=")
		if !ok || !strings.HasPrefix(prefix, "/") || class == "" {
			return m, &replay.FlagError{Flag: "class", Problem: fmt.Sprintf("%q is not of the form /PREFIX=CLASS", rule)}
		}
		m.Prefixes[prefix] = class
	}
	if file := c.String("config"); file != "" {
		conf, err := config.Load(singleVariableEnv("ROUTER_CONFIG", file))
		if err != nil {
			return m, err
		}
		m.Classes, m.MaxUnits = map[string]time.Duration{}, conf.Settings.MaxUnits
		if len(conf.Settings.Plans) > 0 && m.Plan == "" {
			m.Plan = conf.Settings.Plans[0].Name
		}
		for _, class := range conf.Settings.Classes {
			m.Classes[class.Name] = milliseconds(class.Deadline)
		}
	}
	return m, nil
}

// report writes the report to standard error, so that requests can be written to standard output.
func report(c *cli.Context, r *replay.Recording) {
	out := c.App.ErrWriter
	classes, duration := r.SummarizeClasses()
	fmt.Fprintf(out, "%d requests in %v, %d bad lines\n", len(r.Entries), duration, len(r.InvalidLines))
	fmt.Fprintf(out, "%-20s %8s %8s %8s %8s %10s %10s\n", "class", "count", "writes", "per s", "units", "mean bytes", "most bytes")
	for _, k := range classes {
		fmt.Fprintf(out, "%-20s %8d %8d %8.2f %8.0f %10d %10d\n", k.Name, k.Count, k.Writes, k.Rate, k.Units, k.MeanBytes, k.MaxBytes)
	}
	for i, invalid := range r.InvalidLines {
		if i == maxErrorsShown {
			fmt.Fprintf(out, "and %d more\n", len(r.InvalidLines)-maxErrorsShown)
			break
		}
		fmt.Fprintln(out, invalid.Error())
	}
}

// writeRequests writes the requests to the file that the flag out names. Without the flag it writes nothing.
func writeRequests(c *cli.Context, r *replay.Recording, format string) (err error) {
	name := c.String("out")
	if name == "" {
		return nil
	}
	to := c.App.Writer
	if name != "-" {
		f, err := os.Create(name)
		if err != nil {
			return fmt.Errorf("replay: out: %w", err)
		}
		defer func() {
			if cerr := f.Close(); err == nil {
				err = cerr
			}
		}()
		to = f
	}
	w := bufio.NewWriter(to)
	var text []byte
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Request.Plan == "" {
			return &replay.MissingPlanError{Path: e.URI, Line: e.Line}
		}
		if text = text[:0]; format == "http" {
			text = e.AppendHTTP(text, e.Request.ID)
		} else {
			text = e.AppendJSON(text)
		}
		if _, err = w.Write(text); err != nil {
			return err
		}
	}
	return w.Flush()
}
