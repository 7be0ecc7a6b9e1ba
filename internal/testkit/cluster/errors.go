package cluster

import (
	"fmt"
	"strings"

	"wheatsaddle/internal/operr"
)

// DaemonError reports that the daemon could not be built or started, or that no port is free for it.
type DaemonError struct {
	Err    error
	Output string // of the build
}

func (e *DaemonError) Error() string {
	return strings.TrimSpace(fmt.Sprintf("cluster: daemon cannot be built or started: %v %s", e.Err, e.Output))
}
func (e *DaemonError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *DaemonError) Code() string { return "procs-no-daemon" }

// Advice implements operr.Coded.
func (e *DaemonError) Advice() string {
	return "put the built daemon into the directory of this program, or run this program from its source with a Go compiler installed"
}

// WaitError reports a condition that did not hold before the context ended.
type WaitError struct {
	Condition string
	LastErr   error  // the condition's last error
	Logs      string // last lines of the processes' logs
}

func (e *WaitError) Error() string {
	return fmt.Sprintf("cluster: condition not met in time: %s (%v)\n%s", e.Condition, e.LastErr, e.Logs)
}
func (e *WaitError) Unwrap() error { return e.LastErr }

// Code implements operr.Coded.
func (e *WaitError) Code() string { return "procs-not-met" }

// Advice implements operr.Coded.
func (e *WaitError) Advice() string {
	return "look in the logs of the processes for what they did while the condition was awaited"
}

var _ = func() bool { operr.Register(&DaemonError{}, &WaitError{}); return true }()
