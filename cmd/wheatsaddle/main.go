// Command wheatsaddle is the I/O scheduler in front of a fleet of storage nodes.
package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/operr"
)

const version = "0.1.0"

func main() {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "iscsi", Usage: "also serve the iSCSI front that `FILE` describes"},
		&cli.StringFlag{Name: "site", Usage: "enable the features that the site's `FILE` configures"},
	}
	app := &cli.App{
		Name: "wheatsaddle", Usage: "I/O scheduler in front of storage nodes",
		HideVersion: true, Action: serve, Flags: flags,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve clients until SIGTERM (also without a sub-command)", Action: serve, Flags: flags},
			{Name: "version", Usage: "print the version", Action: printVersion},
			{Name: "check-config", Usage: "check the configuration and report its first error", ArgsUsage: "[FILE]", Action: checkConfig, Flags: flags},
			{Name: "schema", Usage: "print the JSON Schema of the site's file, or of plans", Action: printSchema, Flags: []cli.Flag{
				&cli.StringFlag{Name: "of", Value: "site", Usage: "site or plans"},
			}},
			replayCommand(),
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wheatsaddle:", operr.Text(err))
		os.Exit(1)
	}
}

func printVersion(c *cli.Context) error {
	_, err := fmt.Fprintln(c.App.Writer, "wheatsaddle", version)
	return err
}

func printSchema(c *cli.Context) error {
	schemas := map[string][]byte{"site": config.SiteSchema, "plans": cost.Schema}
	text, known := schemas[c.String("of")]
	if !known {
		return &config.SchemaError{Kind: c.String("of")}
	}
	_, err := c.App.Writer.Write(text)
	return err
}
