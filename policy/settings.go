package policy

import (
	"fmt"
	"math"
)

// settingsChecker records the first invalid settings field. Its error texts use the names under which
// users know the settings, not the names of the Go fields.
type settingsChecker struct{ err error }

func (c *settingsChecker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// requireAtLeast checks that a value is finite and not below a minimum.
func (c *settingsChecker) requireAtLeast(field string, value, minimum float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < minimum {
		c.fail("settings: %s is %v", field, value)
	}
}

// requireUnique checks that a name is neither empty nor used before, and adds it to the names seen.
func (c *settingsChecker) requireUnique(field, name string, seen map[string]bool) {
	if name == "" || seen[name] {
		c.fail("settings: %s: name %q is empty or a duplicate", field, name)
	}
	seen[name] = true
}

// checkSettings returns an error that names the first invalid settings field. It also sets the default
// of MeanUnits.
func checkSettings(settings *Settings) error {
	var c settingsChecker
	c.checkNumbers(settings)
	seen := map[string]bool{}
	for i := range settings.Classes {
		c.requireUnique("Classes", settings.Classes[i].Name, seen)
		c.checkClass(&settings.Classes[i])
	}
	clear(seen)
	for i := range settings.Plans {
		c.requireUnique("Plans", settings.Plans[i].Name, seen)
		c.checkPlan(&settings.Plans[i])
	}
	if c.err != nil {
		return c.err
	}
	if settings.MeanUnits == 0 {
		settings.MeanUnits = 1
	}
	return nil
}

func (c *settingsChecker) checkNumbers(settings *Settings) {
	c.requireAtLeast("Hosts", float64(settings.Schedulers), 1)
	c.requireAtLeast("MaxAttempts", float64(settings.MaxAttempts), 1)
	c.requireAtLeast("MeanUnits", settings.MeanUnits, 0)
	c.requireAtLeast("MostUnits", settings.MaxUnits, 0)
	c.requireAtLeast("ColdUnits", settings.SlowStartUnits, 0)
	c.requireAtLeast("MeterSpan", settings.UsageMeterPeriod, 0)
	c.requireAtLeast("MaxHoldOff", settings.MaxRetryAfter, 0)
	c.requireAtLeast("DrainGrace", settings.DrainGrace, 0)
	c.requireAtLeast("AskWithin", settings.ListStalenessBound, 0)
	c.requireAtLeast("ColdFrom", settings.SlowStartShare, 0)
	c.requireAtLeast("ColdSpan", settings.SlowStartDuration, 0)
	c.requireAtLeast("TipMultiple", settings.OverloadMultiple, 0)
	c.requireAtLeast("TipSpan", settings.OverloadWindow, 0)
	c.requireAtLeast("OrderPause", settings.OrderedKeyBackoff, 0)
	c.requireAtLeast("BudgetShare", settings.RetryBudgetShare, 0)
	c.requireAtLeast("BudgetFree", settings.RetryBudgetMin, 0)
	c.requireAtLeast("BudgetSpan", settings.RetryBudgetWindow, 0)
	c.requireAtLeast("Classes", float64(len(settings.Classes)), 1)
	c.requireAtLeast("Plans", float64(len(settings.Plans)), 1)
}

func (c *settingsChecker) checkClass(class *Class) {
	c.requireAtLeast("Classes.Aim", class.LatencyObjective, 1e-3)
	c.requireAtLeast("Classes.Deadline", class.Deadline, class.LatencyObjective)
	c.requireAtLeast("Classes.Worth", class.PriorityWeight, 0)
	c.requireAtLeast("Classes.Memory", class.DedupWindow, 0)
}

func (c *settingsChecker) checkPlan(plan *Plan) {
	c.requireAtLeast("Plans.Rate", plan.Rate, 0)
	c.requireAtLeast("Plans.Reserve", plan.ReservedRate, 0)
	c.requireAtLeast("Plans.Weight", plan.Weight, 0)
	c.requireAtLeast("Plans.Limit", plan.RateLimit, 0)
	c.requireAtLeast("Plans.LimitBurst", plan.LimitBurst, 0)
	if plan.RateLimit > 0 && plan.LimitBurst <= 0 {
		c.fail("settings: Plans.LimitBurst is %v with a limit", plan.LimitBurst)
	}
}
