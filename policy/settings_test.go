package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Hosts":            func(s *Settings) { s.Schedulers = 0 },
		"MeanUnits":        func(s *Settings) { s.MeanUnits = math.NaN() },
		"TipSpan":          func(s *Settings) { s.OverloadWindow = math.Inf(1) },
		"MaxAttempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"Classes.Aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes.Deadline": func(s *Settings) { s.Classes[0].Deadline = 1 },
		"Classes":          func(s *Settings) { s.Classes = nil },
		"Plans.LimitBurst": func(s *Settings) { s.Plans[0].RateLimit = 5 },
		"Plans":            func(s *Settings) { s.Plans[0].Name = "" },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}
