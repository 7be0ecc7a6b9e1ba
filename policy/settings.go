package policy

import (
	"fmt"
	"math"
)

// settingsCheck collects the first settings field that cannot be. Its texts name the fields by the
// words of the settings, which are an interface of their own.
type settingsCheck struct{ err error }

func (c *settingsCheck) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// atLeast requires a finite number of at least a bound.
func (c *settingsCheck) atLeast(field string, value, low float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < low {
		c.fail("settings: %s is %v", field, value)
	}
}

// unique requires a name that is not empty and not in the set, and adds it.
func (c *settingsCheck) unique(field, name string, names map[string]bool) {
	if name == "" || names[name] {
		c.fail("settings: %s: name %q is empty or twice there", field, name)
	}
	names[name] = true
}

// checkSettings names the first settings field that cannot be, and sets the default of MeanUnits.
func checkSettings(set *Settings) error {
	var c settingsCheck
	c.checkNumbers(set)
	names := map[string]bool{}
	for i := range set.Classes {
		c.unique("Classes", set.Classes[i].Name, names)
		c.checkClass(&set.Classes[i])
	}
	clear(names)
	for i := range set.Plans {
		c.unique("Plans", set.Plans[i].Name, names)
		c.checkPlan(&set.Plans[i])
	}
	if c.err != nil {
		return c.err
	}
	if set.MeanUnits == 0 {
		set.MeanUnits = 1
	}
	return nil
}

func (c *settingsCheck) checkNumbers(set *Settings) {
	c.atLeast("Hosts", float64(set.Schedulers), 1)
	c.atLeast("MaxAttempts", float64(set.MaxAttempts), 1)
	c.atLeast("MeanUnits", set.MeanUnits, 0)
	c.atLeast("MostUnits", set.MaxUnits, 0)
	c.atLeast("ColdUnits", set.SlowStartUnits, 0)
	c.atLeast("MeterSpan", set.UsageMeterPeriod, 0)
	c.atLeast("MaxHoldOff", set.MaxRetryAfter, 0)
	c.atLeast("DrainGrace", set.DrainGrace, 0)
	c.atLeast("AskWithin", set.PollWithin, 0)
	c.atLeast("ColdFrom", set.SlowStartShare, 0)
	c.atLeast("ColdSpan", set.SlowStartDuration, 0)
	c.atLeast("TipMultiple", set.OverloadMultiple, 0)
	c.atLeast("TipSpan", set.OverloadWindow, 0)
	c.atLeast("OrderPause", set.OrderedKeyBackoff, 0)
	c.atLeast("BudgetShare", set.RetryBudgetShare, 0)
	c.atLeast("BudgetFree", set.RetryBudgetMin, 0)
	c.atLeast("BudgetSpan", set.RetryBudgetWindow, 0)
	c.atLeast("Classes", float64(len(set.Classes)), 1)
	c.atLeast("Plans", float64(len(set.Plans)), 1)
}

func (c *settingsCheck) checkClass(class *Class) {
	c.atLeast("Classes.Aim", class.LatencyObjective, 1e-3)
	c.atLeast("Classes.Deadline", class.Deadline, class.LatencyObjective)
	c.atLeast("Classes.Worth", class.PriorityWeight, 0)
	c.atLeast("Classes.Memory", class.DedupWindow, 0)
}

func (c *settingsCheck) checkPlan(plan *Plan) {
	c.atLeast("Plans.Rate", plan.Rate, 0)
	c.atLeast("Plans.Reserve", plan.ReservedRate, 0)
	c.atLeast("Plans.Weight", plan.Weight, 0)
	c.atLeast("Plans.Limit", plan.RateLimit, 0)
	c.atLeast("Plans.LimitBurst", plan.LimitBurst, 0)
	if plan.RateLimit > 0 && plan.LimitBurst <= 0 {
		c.fail("settings: Plans.LimitBurst is %v with a limit", plan.LimitBurst)
	}
}
