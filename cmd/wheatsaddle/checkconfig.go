package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/discovery"
)

// loadConfig reads the file that is the command's first argument, or else the one that the environment names.
func loadConfig(flags *cli.Context) (*config.Config, error) {
	if file := flags.Args().First(); file != "" {
		return config.Load(singleVariableEnv("ROUTER_CONFIG", file))
	}
	return config.Load(os.Getenv)
}

// singleVariableEnv returns the lookup function of an environment with one variable.
func singleVariableEnv(name, value string) func(string) string {
	return func(key string) string {
		if key == name {
			return value
		}
		return ""
	}
}

// decodeCachedList decodes the endpoint list of the configuration, which may be empty.
func decodeCachedList(conf *config.Config) (discovery.List, error) {
	if len(conf.CachedList) == 0 {
		return discovery.List{}, nil
	}
	list, err := discovery.Decode(conf.CachedList)
	if err != nil {
		return list, fmt.Errorf("decode cached endpoint list (key known): %w", err)
	}
	return list, nil
}

// checkConfig is the command check-config. It reads all files that serve would read and returns the first error.
func checkConfig(flags *cli.Context) error {
	conf, err := loadConfig(flags)
	if err != nil {
		return err
	}
	cachedList, err := decodeCachedList(conf)
	if err != nil {
		return err
	}
	for _, invalid := range append(cachedList.InvalidEntries, cachedList.InvalidAddresses...) {
		return fmt.Errorf("cached endpoint list (key known): %w", invalid)
	}
	if err := checkSite(flags.String("site"), conf); err != nil {
		return err
	}
	if file := flags.String("iscsi"); file != "" {
		if _, err := config.LoadISCSI(file, conf.Settings); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(flags.App.Writer, "good: %d classes, %d plans, %d known nodes\n",
		len(conf.Settings.Classes), len(conf.Settings.Plans), len(cachedList.Nodes))
	return err
}

// checkSite reads the site's file, if one is named, and checks it against the configuration.
func checkSite(file string, conf *config.Config) error {
	if file == "" {
		return nil
	}
	siteSettings, err := config.LoadSite(file)
	if err != nil {
		return err
	}
	if err := checkPeers(siteSettings, conf.Settings); err != nil {
		return err
	}
	return checkGather(siteSettings, conf)
}
