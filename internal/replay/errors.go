package replay

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// FlagError is a flag of the command that is not right.
type FlagError struct{ Flag, Says string }

func (e *FlagError) Error() string {
	if e.Flag == "" {
		return "replay: " + e.Says
	}
	return "replay: " + e.Flag + ": " + e.Says
}

// Code implements operr.Coded.
func (e *FlagError) Code() string { return "replay-flag" }

// Advice implements operr.Coded.
func (e *FlagError) Advice() string {
	return "See wheatsaddle replay --help for the flags and their forms."
}

// NoPlan is a recorded request for which nothing names a plan.
type NoPlan struct {
	Path string
	Line int
}

func (e *NoPlan) Error() string {
	return fmt.Sprintf("replay: plan: line %d, %.60q: none was recorded, and none is given", e.Line, e.Path)
}

// Code implements operr.Coded.
func (e *NoPlan) Code() string { return "replay-plan" }

// Advice implements operr.Coded.
func (e *NoPlan) Advice() string {
	return "Name a plan with --plan, or a configuration with --config: its first plan is taken."
}

func init() { operr.Register(&FlagError{"as", `"xml" is neither jsonl nor http`}, &NoPlan{"/a", 3}) }
