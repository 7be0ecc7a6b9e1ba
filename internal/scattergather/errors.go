package scattergather

import (
	"errors"
	"fmt"
	"time"

	"wheatsaddle/internal/operr"
)

// InvalidRules is the error for an invalid setting.
type InvalidRules struct{ Key, Why string }

func (e *InvalidRules) Error() string { return fmt.Sprintf("scatter: rules: %s: %s", e.Key, e.Why) }

// Code implements operr.Coded.
func (*InvalidRules) Code() string { return "scatter-rules-bad" }

// Advice implements operr.Coded.
func (*InvalidRules) Advice() string { return "correct the key that the error names" }

// Rejection is the error of an attempt that was rejected without being executed. It may be retried after RetryAfter.
type Rejection struct{ RetryAfter time.Duration }

func (e *Rejection) Error() string {
	return fmt.Sprintf("scatter: refused for %v", e.RetryAfter)
}

// Code implements operr.Coded.
func (*Rejection) Code() string { return "scatter-refused" }

// Advice implements operr.Coded.
func (*Rejection) Advice() string {
	return "Ask again after that time. If it stays so, the shard is short of nodes or the plan's rate is used up."
}

// PartDeadlineExceeded is the error of a part that was not complete at the parts' deadline.
type PartDeadlineExceeded struct{ Part string }

func (e *PartDeadlineExceeded) Error() string {
	return fmt.Sprintf("scatter: part %q: out of time", e.Part)
}

// Code implements operr.Coded.
func (*PartDeadlineExceeded) Code() string { return "scatter-out-of-time" }

// Advice implements operr.Coded.
func (*PartDeadlineExceeded) Advice() string {
	return "Look at the shard that the part names; or the clients' deadline is too short for their reads."
}

// PartTooLong is the error of a part whose body exceeds the memory reserved for it.
type PartTooLong struct {
	Part  string
	Limit int
}

func (e *PartTooLong) Error() string {
	return fmt.Sprintf("scatter: part %q: body over %d bytes", e.Part, e.Limit)
}

// Code implements operr.Coded.
func (*PartTooLong) Code() string { return "scatter-part-long" }

// Advice implements operr.Coded.
func (*PartTooLong) Advice() string {
	return "Ask for fewer rows, spread the read over more parts, or raise the limit and the process's memory."
}

// PartFailed is the error of a part that core failed to serve.
type PartFailed struct {
	Part, Cause string
	Retryable   bool // a retry may succeed
}

func (e *PartFailed) Error() string { return fmt.Sprintf("scatter: part %q: %s", e.Part, e.Cause) }

// Code implements operr.Coded.
func (*PartFailed) Code() string { return "scatter-part-failed" }

// Advice implements operr.Coded.
func (*PartFailed) Advice() string {
	return "Look at the nodes of the part's shard; the cause is that of any request of its class."
}

// ClassWithoutRules is the error of a gathered read whose class has no rules.
type ClassWithoutRules struct{ Class string }

func (e *ClassWithoutRules) Error() string {
	return fmt.Sprintf("scatter: class %q has no rules of gathering", e.Class)
}

// Code implements operr.Coded.
func (*ClassWithoutRules) Code() string { return "scatter-no-rules" }

// Advice implements operr.Coded.
func (*ClassWithoutRules) Advice() string {
	return "Ask shard by shard, or give the class rules in section gather of the site's file."
}

// InvalidShards is the error for a list of shards that cannot be parsed.
type InvalidShards struct{ Shards, Why string }

func (e *InvalidShards) Error() string {
	return fmt.Sprintf("scatter: shards: %.60q: %s", e.Shards, e.Why)
}

// Code implements operr.Coded.
func (*InvalidShards) Code() string { return "scatter-shards-bad" }

// Advice implements operr.Coded.
func (*InvalidShards) Advice() string { return "Name shards like 0,3,7-9, each once, or all." }

// NotGatherable is the error for a request to gather that is not a plain read.
type NotGatherable struct{ Why string }

func (e *NotGatherable) Error() string { return "scatter: " + e.Why }

// Code implements operr.Coded.
func (*NotGatherable) Code() string { return "scatter-not-read" }

// Advice implements operr.Coded.
func (*NotGatherable) Advice() string {
	return "Send a GET by HTTP/1.1; writes are never gathered."
}

// ClientDeadlineExceeded is the error of a gathered read whose client deadline passed before the first row was sent.
type ClientDeadlineExceeded struct{}

func (*ClientDeadlineExceeded) Error() string { return "scatter: the client's time was over" }

// Code implements operr.Coded.
func (*ClientDeadlineExceeded) Code() string { return "scatter-late" }

// Advice implements operr.Coded.
func (*ClientDeadlineExceeded) Advice() string {
	return "Give such reads more time, keep a larger share of it for the merge, or let best effort do."
}

// isPermanent reports whether a retry would fail with the same error.
func isPermanent(err error) bool {
	var f *PartFailed
	return errors.As(err, new(*PartTooLong)) || errors.As(err, &f) && !f.Retryable
}

func init() {
	operr.Register(&InvalidRules{"share", "is not from 0 to less than 1"}, &Rejection{time.Second}, &PartDeadlineExceeded{"7"},
		&PartTooLong{"7", 1 << 20}, &PartFailed{"7", "given up", true},
		&ClassWithoutRules{"read"}, &InvalidShards{"7-3", "ends before it begins"}, &NotGatherable{"writes are never gathered"}, &ClientDeadlineExceeded{})
}
