package scattergather

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

// NoRules is a gathered read of a class that has no rules.
type NoRules struct{ Class string }

func (e *NoRules) Error() string {
	return fmt.Sprintf("scatter: class %q has no rules of gathering", e.Class)
}

// Code implements operr.Coded.
func (*NoRules) Code() string { return "scatter-no-rules" }

// Advice implements operr.Coded.
func (*NoRules) Advice() string {
	return "Ask shard by shard, or give the class rules in section gather of the site's file."
}

// ShardsBad is a list of shards that cannot be read.
type ShardsBad struct{ Shards, Why string }

func (e *ShardsBad) Error() string { return fmt.Sprintf("scatter: shards: %.60q: %s", e.Shards, e.Why) }

// Code implements operr.Coded.
func (*ShardsBad) Code() string { return "scatter-shards-bad" }

// Advice implements operr.Coded.
func (*ShardsBad) Advice() string { return "Name shards like 0,3,7-9, each once, or all." }

// NotRead is a request to gather that is no plain read.
type NotRead struct{ Why string }

func (e *NotRead) Error() string { return "scatter: " + e.Why }

// Code implements operr.Coded.
func (*NotRead) Code() string { return "scatter-not-read" }

// Advice implements operr.Coded.
func (*NotRead) Advice() string {
	return "Send a GET by HTTP/1.1; writes are never gathered."
}

// TooLate is a gathered read whose client's time was over before a row went out.
type TooLate struct{}

func (*TooLate) Error() string { return "scatter: the client's time was over" }

// Code implements operr.Coded.
func (*TooLate) Code() string { return "scatter-late" }

// Advice implements operr.Coded.
func (*TooLate) Advice() string {
	return "Give such reads more time, keep a larger share of it for the merge, or let best effort do."
}

// hopeless: another asking would end the same.
func hopeless(err error) bool {
	var f *Failed
	return errors.As(err, new(*PartLong)) || errors.As(err, &f) && !f.Again
}

func init() {
	operr.Register(&RulesBad{"share", "is not from 0 to less than 1"}, &Refusal{time.Second}, &OutOfTime{"7"},
		&PartLong{"7", 1 << 20}, &Failed{"7", "given up", true},
		&NoRules{"read"}, &ShardsBad{"7-3", "ends before it begins"}, &NotRead{"writes are never gathered"}, &TooLate{})
}
