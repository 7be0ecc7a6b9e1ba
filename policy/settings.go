package policy

import (
	"fmt"
	"math"
)

// checkSettings names the first settings field that cannot be.
func checkSettings(set *Settings) error {
	num := func(name string, v, least float64) error {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < least {
			return fmt.Errorf("settings: %s is %v", name, v)
		}
		return nil
	}
	errs := []error{num("Hosts", float64(set.Schedulers), 1), num("MaxAttempts", float64(set.MaxAttempts), 1),
		num("MeanUnits", set.MeanUnits, 0), num("MostUnits", set.MaxUnits, 0), num("ColdUnits", set.SlowStartUnits, 0),
		num("MeterSpan", set.UsageMeterPeriod, 0), num("MaxHoldOff", set.MaxRetryAfter, 0),
		num("DrainGrace", set.DrainGrace, 0), num("AskWithin", set.PollWithin, 0), num("ColdFrom", set.SlowStartShare, 0),
		num("ColdSpan", set.SlowStartDuration, 0), num("TipMultiple", set.OverloadMultiple, 0), num("TipSpan", set.OverloadWindow, 0),
		num("OrderPause", set.OrderedKeyBackoff, 0), num("BudgetShare", set.RetryBudgetShare, 0),
		num("BudgetFree", set.RetryBudgetMin, 0), num("BudgetSpan", set.RetryBudgetWindow, 0),
		num("Classes", float64(len(set.Classes)), 1), num("Plans", float64(len(set.Plans)), 1)}
	names := map[string]bool{}
	for _, c := range set.Classes {
		if c.Name == "" || names["c"+c.Name] {
			errs = append(errs, fmt.Errorf("settings: Classes: name %q is empty or twice there", c.Name))
		}
		names["c"+c.Name] = true
		errs = append(errs, num("Classes.Aim", c.LatencyObjective, 1e-3), num("Classes.Deadline", c.Deadline, c.LatencyObjective),
			num("Classes.Worth", c.PriorityWeight, 0), num("Classes.Memory", c.DedupWindow, 0))
	}
	for _, p := range set.Plans {
		if p.Name == "" || names["p"+p.Name] {
			errs = append(errs, fmt.Errorf("settings: Plans: name %q is empty or twice there", p.Name))
		}
		names["p"+p.Name] = true
		errs = append(errs, num("Plans.Rate", p.Rate, 0), num("Plans.Reserve", p.ReservedRate, 0),
			num("Plans.Weight", p.Weight, 0), num("Plans.Limit", p.RateLimit, 0), num("Plans.LimitBurst", p.LimitBurst, 0))
		if p.RateLimit > 0 && p.LimitBurst <= 0 {
			errs = append(errs, fmt.Errorf("settings: Plans.LimitBurst is %v with a limit", p.LimitBurst))
		}
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if set.MeanUnits == 0 {
		set.MeanUnits = 1
	}
	return nil
}
