package core

import (
	"slices"
	"time"

	"wheatsaddle/policy"
)

// Settings is one version of the settings. It is immutable. A change creates a new version, and a request refers to the
// version that it was decoded with.
type Settings struct {
	Version uint64 // 1 at the start, incremented by each change
	policy.Settings
	classes map[string]policy.Class
	plans   map[string]policy.Plan
}

// newSettings returns a version of the settings with copies of the classes and plans.
func newSettings(version uint64, settings policy.Settings) *Settings {
	settings.Classes, settings.Plans = slices.Clone(settings.Classes), slices.Clone(settings.Plans)
	s := &Settings{Version: version, Settings: settings, classes: map[string]policy.Class{}, plans: map[string]policy.Plan{}}
	for _, class := range settings.Classes {
		s.classes[class.Name] = class
	}
	for _, plan := range settings.Plans {
		s.plans[plan.Name] = plan
	}
	return s
}

// Class returns the class with the name, and false if there is none.
func (s *Settings) Class(name string) (policy.Class, bool) {
	class, ok := s.classes[name]
	return class, ok
}

// hasClassAndPlan reports whether the request's class and plan exist.
func (s *Settings) hasClassAndPlan(r *policy.Request) bool {
	_, class := s.classes[r.Class]
	_, plan := s.plans[r.Plan]
	return class && plan
}

// equivalentFor reports whether a request that was decoded with another version has the same meaning with this one. That is
// the case if its class, its plan and the bounds that it was checked against are equal.
func (s *Settings) equivalentFor(decoded *Settings, r *policy.Request) bool {
	return s.classes[r.Class] == decoded.classes[r.Class] && s.plans[r.Plan] == decoded.plans[r.Plan] &&
		s.MaxUnits == decoded.MaxUnits && s.Shards == decoded.Shards && s.Schedulers == decoded.Schedulers
}

// Settings returns the current version.
func (c *Core) Settings() *Settings { return c.settings.Load() }

// Reconfigure applies new settings to the decision module and the core and publishes them, in one iteration of the actor.
// Requests that arrived before are decided by the old version and keep their class. If the decision module rejects the
// settings, nothing changes and the error is returned. It waits for the actor.
func (c *Core) Reconfigure(settings policy.Settings) error {
	err, ok := query(c, func() error { return c.reconfigure(settings) })
	if !ok {
		return &EndedError{}
	}
	return err
}

// reconfigure applies new settings in the actor.
func (c *Core) reconfigure(settings policy.Settings) error {
	now := c.moduleTime(time.Now())
	c.advance(now)             // requests that arrived earlier in this iteration are decided by the old version
	c.stepAndExecute(now, nil) // brings the module to the current time, so that token buckets fill by the old limits until now
	if err := c.scheduler.Reconfigure(settings); err != nil {
		return err
	}
	next := newSettings(c.settings.Load().Version+1, settings)
	c.options.Settings = next.Settings
	c.counters.addClasses(next.classNames())
	c.settings.Store(next)
	return nil
}

// classNames returns the names of the classes.
func (s *Settings) classNames() []string {
	names := make([]string, 0, len(s.Classes))
	for _, class := range s.Classes {
		names = append(names, class.Name)
	}
	return names
}
