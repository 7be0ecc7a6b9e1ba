package replay

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// FlagError reports an invalid flag or argument of the command replay.
type FlagError struct{ Flag, Problem string }

func (e *FlagError) Error() string {
	if e.Flag == "" {
		return "replay: " + e.Problem
	}
	return "replay: " + e.Flag + ": " + e.Problem
}

// Code implements operr.Coded.
func (e *FlagError) Code() string { return "replay-flag" }

// Advice implements operr.Coded.
func (e *FlagError) Advice() string {
	return "See wheatsaddle replay --help for the flags and their values."
}

// MissingPlanError reports a recorded request without a plan, if there is no default plan either.
type MissingPlanError struct {
	Path string
	Line int
}

func (e *MissingPlanError) Error() string {
	return fmt.Sprintf("replay: plan: line %d, %.60q: no plan was recorded, and there is no default plan", e.Line, e.Path)
}

// Code implements operr.Coded.
func (e *MissingPlanError) Code() string { return "replay-plan" }

// Advice implements operr.Coded.
func (e *MissingPlanError) Advice() string {
	return "Set a default plan with --plan, or a configuration with --config, of which the first plan is used."
}

func init() {
	operr.Register(&FlagError{"as", `"xml" is neither jsonl nor http`}, &MissingPlanError{"/a", 3})
}
