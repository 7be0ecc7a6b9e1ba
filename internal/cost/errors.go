package cost

import (
	"fmt"
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func formatRange(minValue, maxValue float64) string {
	return fmt.Sprintf("%g to %g", minValue, maxValue)
}

// SettingError reports an invalid setting.
type SettingError struct {
	Key      string
	Value    float64
	Expected string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %g; expected %s", e.Key, e.Value, e.Expected)
}

// Code implements operr.Coded.
func (e *SettingError) Code() string { return "cost-bad-setting" }

// Advice implements operr.Coded.
func (e *SettingError) Advice() string { return "set the key to a value in the given range" }

// MalformedPlansError reports an input that is not valid JSON or does not match the schema.
type MalformedPlansError struct{ Step, Problem string }

func (e *MalformedPlansError) Error() string { return stepPrefix(e.Step) + e.Problem }

// Code implements operr.Coded.
func (e *MalformedPlansError) Code() string { return "cost-bad-plans" }

// Advice implements operr.Coded.
func (e *MalformedPlansError) Advice() string {
	return "hold the question against the schema that wheatsaddle schema --of plans prints"
}

// UnknownNameError reports a shard, class, node, limit or named step that does not exist.
type UnknownNameError struct{ Step, Kind, Name string }

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%sno %s %q", stepPrefix(e.Step), e.Kind, e.Name)
}

// Code implements operr.Coded.
func (e *UnknownNameError) Code() string { return "cost-unknown-name" }

// Advice implements operr.Coded.
func (e *UnknownNameError) Advice() string {
	return "correct the name; a node that has just started is known once a process has heard of it"
}

// CycleError reports a named step that refers to itself, directly or through other steps.
type CycleError struct{ Step, Name string }

func (e *CycleError) Error() string {
	return fmt.Sprintf("%s%q leads back to itself", stepPrefix(e.Step), e.Name)
}

// Code implements operr.Coded.
func (e *CycleError) Code() string { return "cost-cycle" }

// Advice implements operr.Coded.
func (e *CycleError) Advice() string { return "take out the reference that closes the circle" }

// ValueError reports a number out of its range.
type ValueError struct {
	Step, Key string
	Value     float64
	Expected  string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s%s %g; want %s", stepPrefix(e.Step), e.Key, e.Value, e.Expected)
}

// Code implements operr.Coded.
func (e *ValueError) Code() string { return "cost-bad-figure" }

// Advice implements operr.Coded.
func (e *ValueError) Advice() string { return "correct the figure of the step that is named" }

// LimitError reports an input that exceeds one of the limits of an estimate.
type LimitError struct {
	Step, What string
	Max        int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%smore than %d %s", stepPrefix(e.Step), e.Max, e.What)
}

// Code implements operr.Coded.
func (e *LimitError) Code() string { return "cost-too-much" }

// Advice implements operr.Coded.
func (e *LimitError) Advice() string {
	return "ask in parts, or leave out steps that matter least"
}

// TimeoutError reports that the estimates took longer than the caller allows.
type TimeoutError struct{ Estimated, Plans int }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("time was up after %d of %d plans", e.Estimated, e.Plans)
}

// Code implements operr.Coded.
func (e *TimeoutError) Code() string { return "cost-out-of-time" }

// Advice implements operr.Coded.
func (e *TimeoutError) Advice() string {
	return "ask for fewer plans at a time, or when there is less load"
}

func stepPrefix(step string) string {
	if step == "" {
		return ""
	}
	return step + ": "
}
