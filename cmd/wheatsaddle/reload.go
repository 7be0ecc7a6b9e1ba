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

// reloader applies a changed configuration file to the running daemon.
type reloader struct {
	env                 func(string) string
	setDiscoveryAddress func(ctx context.Context, discovery string) bool // redirects the watch; false: ctx has ended
	reconfigure         func(policy.Settings) error                      // applies all settings or none
	limits              *processLimits                                   // resized to changed limits; may be nil
	log                 logrus.FieldLogger
}

// reload reads the configuration again. It returns the configuration that applies from now on, and whether the file was
// accepted. The file is checked completely before any of it is applied; an invalid one changes nothing. New settings are
// applied first, because nothing else in the file can be rejected after that.
func (r *reloader) reload(ctx context.Context, current *config.Config) (*config.Config, bool) {
	loaded, err := rereadConfig(current, r.env)
	next := *current
	if err == nil {
		err = r.applySettings(&next, loaded)
	}
	if err != nil {
		r.log.WithFields(operr.Fields(err)).Error("reload of the configuration failed, the previous one remains in effect")
		return current, false
	}
	if changed := strings.Join(changedRestartKeys(current, loaded), " "); changed != "" {
		r.log.WithFields(operr.Fields(&config.RestartError{Keys: changed})).WithField("keys", changed).Warn("changed keys need a restart")
	}
	next.Discovery, next.Cores, next.MemoryMB = loaded.Discovery, loaded.Cores, loaded.MemoryMB
	next.ReplaceText(loaded)
	if !r.setDiscoveryAddress(ctx, next.Discovery) { // the service is ending
		return &next, true
	}
	r.limits.configure(&next)
	r.log.WithFields(logrus.Fields{"discovery": next.Discovery, "cores": next.Cores, "memory_mb": next.MemoryMB}).Info("configuration reloaded")
	return &next, true
}

// applySettings applies the settings if they have changed, and stores them in next.
func (r *reloader) applySettings(next, loaded *config.Config) error {
	if reflect.DeepEqual(next.Settings, loaded.Settings) {
		return nil
	}
	if err := config.Rejected(r.reconfigure(loaded.Settings)); err != nil {
		return err
	}
	next.Settings = loaded.Settings
	r.log.WithFields(logrus.Fields{"classes": classNames(loaded.Settings), "max_attempts": loaded.Settings.MaxAttempts}).Info("settings applied")
	return nil
}

// rereadConfig reads the configuration and checks it completely.
func rereadConfig(current *config.Config, env func(string) string) (*config.Config, error) {
	conf, err := config.Reload(env)
	if err != nil {
		return nil, err
	}
	if err := config.CheckRemovedKeys(current, conf); err != nil {
		return nil, err
	}
	if _, err := decodeCachedList(conf); err != nil {
		return nil, err
	}
	if _, err := policy.New(conf.Settings, conf.Seed); err != nil {
		return nil, config.Rejected(err)
	}
	return conf, nil
}

// classNames returns the names of the classes for the log.
func classNames(set policy.Settings) string {
	var all []string
	for _, class := range set.Classes {
		all = append(all, class.Name)
	}
	return strings.Join(all, " ")
}

// changedRestartKeys returns the changed keys that take effect only after a restart. The seed and the cached endpoint list
// are left out, because they are used only at the start.
func changedRestartKeys(current, loaded *config.Config) (keys []string) {
	for _, key := range []struct {
		name     string
		old, new any
	}{
		{"name", current.Name, loaded.Name},
		{"listen", current.Listen, loaded.Listen},
		{"limits.sockets", current.Sockets, loaded.Sockets},
		{"settings.membership-mode", current.ListMode, loaded.ListMode},
		{"settings.rules.ask-within", current.Settings.ListStalenessBound, loaded.Settings.ListStalenessBound}, // the watch continues with its initial value
		{"settings.prices.handshake", current.HandshakePrice, loaded.HandshakePrice},
		{"settings.ceilings", []any{current.ConnIdle, current.ConnectTimeout, current.MaxOpenRequests}, []any{loaded.ConnIdle, loaded.ConnectTimeout, loaded.MaxOpenRequests}},
	} {
		if !reflect.DeepEqual(key.old, key.new) {
			keys = append(keys, key.name)
		}
	}
	return keys
}

// reconfigureCores returns a function that applies settings to the cores of both fronts. They are checked against both before
// any of them is applied, so that either both cores have a version or neither.
func reconfigureCores(reconfigureHTTP func(policy.Settings) error, front *iscsiFront) func(policy.Settings) error {
	return func(settings policy.Settings) error {
		change, err := front.check(settings)
		if err != nil {
			return err
		}
		if err := reconfigureHTTP(settings); err != nil {
			return err
		}
		return front.apply(change)
	}
}
