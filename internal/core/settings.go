package core

import (
	"slices"
	"time"

	"wheatsaddle/policy"
)

// Settings is one version of the settings. It is immutable: a change makes a new version, and a request names the version
// that it was decoded under.
type Settings struct {
	Version uint64 // 1 at the start, one more with each change
	policy.Settings
	classes map[string]policy.Class
	plans   map[string]policy.Plan
}

// newSettings makes a version, with copies of the classes and plans.
func newSettings(version uint64, set policy.Settings) *Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	s := &Settings{Version: version, Settings: set, classes: map[string]policy.Class{}, plans: map[string]policy.Plan{}}
	for _, k := range set.Classes {
		s.classes[k.Name] = k
	}
	for _, p := range set.Plans {
		s.plans[p.Name] = p
	}
	return s
}

// Class returns the class of a name; false: there is none.
func (s *Settings) Class(name string) (policy.Class, bool) {
	k, ok := s.classes[name]
	return k, ok
}

// knows reports whether a request's class and plan exist.
func (s *Settings) knows(r *policy.Request) bool {
	_, class := s.classes[r.Class]
	_, plan := s.plans[r.Plan]
	return class && plan
}

// agrees reports whether a request that was decoded under another version means the same under this one: its class, its
// plan and the bounds it was checked against are equal.
func (s *Settings) agrees(decoded *Settings, r *policy.Request) bool {
	return s.classes[r.Class] == decoded.classes[r.Class] && s.plans[r.Plan] == decoded.plans[r.Plan] &&
		s.MaxUnits == decoded.MaxUnits && s.Shards == decoded.Shards && s.Schedulers == decoded.Schedulers
}

// Settings returns the current version.
func (c *Core) Settings() *Settings { return c.settings.Load() }

// Reconfigure applies new settings to the running module and the core, and publishes them, in one step of the actor. Requests that
// arrived before are decided by the old version and keep their class. If the module rejects the settings, nothing
// changes. It waits for the actor.
func (c *Core) Reconfigure(set policy.Settings) error {
	err, ok := ask(c, func() error { return c.reconfigure(set) })
	if !ok {
		return &EndedError{}
	}
	return err
}

// reconfigure applies new settings in the actor.
func (c *Core) reconfigure(set policy.Settings) error {
	now := c.moduleTime(time.Now())
	c.advance(now)             // earlier arrivals of this iteration belong to the old version
	c.stepAndExecute(now, nil) // without arrivals the module's time is that of its last step
	if err := c.scheduler.Reconfigure(set); err != nil {
		return err
	}
	next := newSettings(c.settings.Load().Version+1, set)
	c.options.Settings = next.Settings
	c.counters.addClasses(next.names())
	c.settings.Store(next)
	return nil
}

// names are the names of the classes.
func (s *Settings) names() []string {
	names := make([]string, 0, len(s.Classes))
	for _, k := range s.Classes {
		names = append(names, k.Name)
	}
	return names
}
