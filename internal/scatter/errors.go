package scatter

import (
	"errors"
	"fmt"
	"time"

	"wheatsaddle/internal/operr"
)

// RulesBad is nonsense among the rules.
type RulesBad struct{ Key, Why string }

func (e *RulesBad) Error() string { return fmt.Sprintf("scatter: rules: %s: %s", e.Key, e.Why) }

// Code implements operr.Coded.
func (*RulesBad) Code() string { return "scatter-rules-bad" }

// Advice implements operr.Coded.
func (*RulesBad) Advice() string { return "correct the key that the error names" }

// Refusal is how an asking ends that never ran: it may be asked again after a while.
type Refusal struct{ After time.Duration }

func (e *Refusal) Error() string { return fmt.Sprintf("scatter: refused for %v", e.After) }

// Code implements operr.Coded.
func (*Refusal) Code() string { return "scatter-refused" }

// Advice implements operr.Coded.
func (*Refusal) Advice() string {
	return "Ask again after that time. If it stays so, the shard is short of nodes or the plan's rate is used up."
}

// OutOfTime is a part that was still open when the parts' time was past.
type OutOfTime struct{ Part string }

func (e *OutOfTime) Error() string { return fmt.Sprintf("scatter: part %q: out of time", e.Part) }

// Code implements operr.Coded.
func (*OutOfTime) Code() string { return "scatter-out-of-time" }

// Advice implements operr.Coded.
func (*OutOfTime) Advice() string {
	return "Look at the shard that the part names; or the clients' deadline is too short for their reads."
}

// PartLong is a part's body over the memory kept for it.
type PartLong struct {
	Part  string
	Limit int
}

func (e *PartLong) Error() string {
	return fmt.Sprintf("scatter: part %q: body over %d bytes", e.Part, e.Limit)
}

// Code implements operr.Coded.
func (*PartLong) Code() string { return "scatter-part-long" }

// Advice implements operr.Coded.
func (*PartLong) Advice() string {
	return "Ask for fewer rows, spread the read over more parts, or raise the limit and the process's memory."
}

// Failed is a part that core could not have served.
type Failed struct {
	Part, Cause string
	Again       bool // another asking may end better
}

func (e *Failed) Error() string { return fmt.Sprintf("scatter: part %q: %s", e.Part, e.Cause) }

// Code implements operr.Coded.
func (*Failed) Code() string { return "scatter-part-failed" }

// Advice implements operr.Coded.
func (*Failed) Advice() string {
	return "Look at the nodes of the part's shard; the cause is that of any request of its class."
}

// hopeless: another asking would end the same.
func hopeless(err error) bool {
	var f *Failed
	return errors.As(err, new(*PartLong)) || errors.As(err, &f) && !f.Again
}

func init() {
	operr.Register(&RulesBad{"share", "is not from 0 to less than 1"}, &Refusal{time.Second}, &OutOfTime{"7"},
		&PartLong{"7", 1 << 20}, &Failed{"7", "given up", true})
}
