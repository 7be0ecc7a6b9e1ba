package main

import (
	"context"
	"reflect"
	"strings"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// reload reads the platform's file again. It returns the configuration that applies from now on, and whether the file was
// accepted. The file is checked whole before any of it applies; a bad one changes nothing. New settings go to retune
// first, which applies them whole or not at all: nothing else of the file may be refused after that.
func reload(ctx context.Context, held *config.Config, env func(string) string, move func(context.Context, string) bool,
	log logrus.FieldLogger, retune func(policy.Settings) error) (*config.Config, bool) {
	conf, err := rereadConfig(held, env)
	if err != nil {
		log.WithFields(operr.Fields(err)).Error("reload of the configuration failed, the previous one remains in effect")
		return held, false
	}
	next := *held
	if !reflect.DeepEqual(held.Settings, conf.Settings) {
		if err := config.Refused(retune(conf.Settings)); err != nil {
			log.WithFields(operr.Fields(err)).Error("reload of the configuration failed, the previous one remains in effect")
			return held, false
		}
		next.Settings = conf.Settings
		log.WithFields(logrus.Fields{"classes": classNames(conf.Settings), "max_attempts": conf.Settings.MaxAttempts}).Info("settings applied")
	}
	if changed := strings.Join(restartKeys(held, conf), " "); changed != "" {
		log.WithFields(operr.Fields(&config.RestartError{Keys: changed})).WithField("keys", changed).Warn("changed keys need a restart")
	}
	next.Discovery, next.Cores, next.MemoryMB = conf.Discovery, conf.Cores, conf.MemoryMB
	if !move(ctx, next.Discovery) { // the service ends
		return &next, true
	}
	applyLimits(&next)
	log.WithFields(logrus.Fields{"discovery": next.Discovery, "cores": next.Cores, "memory_mb": next.MemoryMB}).Info("configuration reloaded")
	return &next, true
}

// rereadConfig reads and checks the platform's file as a whole.
func rereadConfig(held *config.Config, env func(string) string) (*config.Config, error) {
	conf, err := config.Reload(env)
	if err != nil {
		return nil, err
	}
	if err := config.Missing(held, conf); err != nil {
		return nil, err
	}
	if _, err := decodeCachedList(conf); err != nil {
		return nil, err
	}
	if _, err := policy.New(conf.Settings, conf.Seed); err != nil {
		return nil, config.Refused(err)
	}
	return conf, nil
}

// classNames are the names of the classes, for the log.
func classNames(set policy.Settings) string {
	var all []string
	for _, class := range set.Classes {
		all = append(all, class.Name)
	}
	return strings.Join(all, " ")
}

// restartKeys names the changed keys that only a restart applies. The seed and the known list count at the start alone and
// are left out.
func restartKeys(held, conf *config.Config) (keys []string) {
	for _, k := range []struct {
		name     string
		old, new any
	}{
		{"name", held.Name, conf.Name}, {"listen", held.Listen, conf.Listen}, {"limits.sockets", held.Sockets, conf.Sockets},
		{"settings.membership-mode", held.ListMode, conf.ListMode},
		{"settings.rules.ask-within", held.Settings.PollWithin, conf.Settings.PollWithin}, // the watch of the list keeps the first
		{"settings.prices.handshake", held.Handshake, conf.Handshake},
		{"settings.ceilings", []any{held.ConnIdle, held.ConnectTimeout, held.MaxOpen}, []any{conf.ConnIdle, conf.ConnectTimeout, conf.MaxOpen}},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.name)
		}
	}
	return keys
}
