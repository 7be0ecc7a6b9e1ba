package cluster

import (
	"fmt"
	"strings"

	"wheatsaddle/internal/operr"
)

// NoDaemon is a daemon that could not be built or started.
type NoDaemon struct {
	Err    error
	Output string
}

func (e *NoDaemon) Error() string {
	return strings.TrimSpace(fmt.Sprintf("procs: no daemon: %v %s", e.Err, e.Output))
}
func (e *NoDaemon) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *NoDaemon) Code() string { return "procs-no-daemon" }

// Advice implements operr.Coded.
func (e *NoDaemon) Advice() string {
	return "build the daemon beside this program, or run it from its source with a Go compiler"
}

// NotMet is a condition that was waited for and did not come.
type NotMet struct {
	What string
	Last error  // what the condition said last; nil: nothing
	Logs string // the ends of the processes' logs
}

func (e *NotMet) Error() string {
	return fmt.Sprintf("procs: waited in vain: %s (%v)\n%s", e.What, e.Last, e.Logs)
}
func (e *NotMet) Unwrap() error { return e.Last }

// Code implements operr.Coded.
func (e *NotMet) Code() string { return "procs-not-met" }

// Advice implements operr.Coded.
func (e *NotMet) Advice() string { return "the logs of the processes say what they did meanwhile" }

var _ = func() bool { operr.Register(&NoDaemon{}, &NotMet{}); return true }()
