package cost

import (
	"fmt"
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func wantRange(least, most float64) string { return fmt.Sprintf("%g to %g", least, most) }

// BadSetting is a setting that cannot be.
type BadSetting struct {
	Key   string
	Value float64
	Want  string
}

func (e *BadSetting) Error() string { return fmt.Sprintf("%s: %g; want %s", e.Key, e.Value, e.Want) }

// Code implements operr.Coded.
func (e *BadSetting) Code() string { return "cost-bad-setting" }

// Advice implements operr.Coded.
func (e *BadSetting) Advice() string { return "set the key to a value in the range that is named" }

// BadPlans is a text that is no question: not JSON, or not of the schema's form.
type BadPlans struct{ Step, Why string }

func (e *BadPlans) Error() string { return at(e.Step) + e.Why }

// Code implements operr.Coded.
func (e *BadPlans) Code() string { return "cost-bad-plans" }

// Advice implements operr.Coded.
func (e *BadPlans) Advice() string {
	return "hold the question against the schema that wheatsaddle schema --of plans prints"
}

// UnknownName is a shard, class, node, limit or named step that does not exist.
type UnknownName struct{ Step, What, Name string }

func (e *UnknownName) Error() string { return fmt.Sprintf("%sno %s %q", at(e.Step), e.What, e.Name) }

// Code implements operr.Coded.
func (e *UnknownName) Code() string { return "cost-unknown-name" }

// Advice implements operr.Coded.
func (e *UnknownName) Advice() string {
	return "correct the name; a node that has just started is known once a process has heard of it"
}

// Cycle is a step that leads back to itself.
type Cycle struct{ Step, Name string }

func (e *Cycle) Error() string { return fmt.Sprintf("%s%q leads back to itself", at(e.Step), e.Name) }

// Code implements operr.Coded.
func (e *Cycle) Code() string { return "cost-cycle" }

// Advice implements operr.Coded.
func (e *Cycle) Advice() string { return "take out the reference that closes the circle" }

// BadFigure is a figure that cannot be.
type BadFigure struct {
	Step, Key string
	Value     float64
	Want      string
}

func (e *BadFigure) Error() string {
	return fmt.Sprintf("%s%s %g; want %s", at(e.Step), e.Key, e.Value, e.Want)
}

// Code implements operr.Coded.
func (e *BadFigure) Code() string { return "cost-bad-figure" }

// Advice implements operr.Coded.
func (e *BadFigure) Advice() string { return "correct the figure of the step that is named" }

// TooMuch is a question over a bound.
type TooMuch struct {
	Step, What string
	Most       int
}

func (e *TooMuch) Error() string { return fmt.Sprintf("%smore than %d %s", at(e.Step), e.Most, e.What) }

// Code implements operr.Coded.
func (e *TooMuch) Code() string { return "cost-too-much" }

// Advice implements operr.Coded.
func (e *TooMuch) Advice() string { return "ask in parts, or leave out steps that matter least" }

// OutOfTime is a question whose estimates took longer than they may.
type OutOfTime struct{ Made, Plans int }

func (e *OutOfTime) Error() string {
	return fmt.Sprintf("time was up after %d of %d plans", e.Made, e.Plans)
}

// Code implements operr.Coded.
func (e *OutOfTime) Code() string { return "cost-out-of-time" }

// Advice implements operr.Coded.
func (e *OutOfTime) Advice() string {
	return "ask for fewer plans at a time, or when there is less load"
}

func at(step string) string {
	if step == "" {
		return ""
	}
	return step + ": "
}
