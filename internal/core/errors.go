package core

import (
	"time"

	"wheatsaddle/internal/operr"
)

// BusyError reports that the actor did not accept an operator's call in time, or has ended.
type BusyError struct{ Waited time.Duration }

// Error implements error.
func (e *BusyError) Error() string {
	return "the scheduler's actor did not take the call in time; nothing was changed"
}

// Code implements operr.Coded.
func (e *BusyError) Code() string { return "core-busy" }

// Advice implements operr.Coded.
func (e *BusyError) Advice() string {
	return "Call again in a second. If it stays so, the process has too little processor time or is stopping: see its log and limits.cores."
}

// EndedError reports that the actor has ended because the process is stopping.
type EndedError struct{}

// Error implements error.
func (e *EndedError) Error() string { return "decision module has ended" }

// Code implements operr.Coded.
func (e *EndedError) Code() string { return "core-ended" }

// Advice implements operr.Coded.
func (e *EndedError) Advice() string {
	return "Nothing, if the process was stopped on purpose; otherwise read its log before this line and restart it."
}

// PanicError reports that the decision module panicked. All open requests have failed, and a new module has started.
type PanicError struct{ Value string }

// Error implements error.
func (e *PanicError) Error() string { return "decision module panicked: " + e.Value }

// Code implements operr.Coded.
func (e *PanicError) Code() string { return "core-panicked" }

// Advice implements operr.Coded.
func (e *PanicError) Advice() string {
	return "Report this log line with its stack to the developers, because it shows a fault of the program. The process continues with the current endpoint list, but what it had learned about the nodes is lost."
}

// LateAnswerError reports that a request was answered after its client's deadline.
type LateAnswerError struct{ By time.Duration }

// Error implements error.
func (e *LateAnswerError) Error() string {
	return "request answered " + e.By.Round(time.Millisecond).String() + " after its client's deadline"
}

// Code implements operr.Coded.
func (e *LateAnswerError) Code() string { return "core-answered-late" }

// Advice implements operr.Coded.
func (e *LateAnswerError) Advice() string {
	return "Compare timer_lag_ms with late_ms. If they are close, the process lacked processor time: give it more (limits.cores) or move other processes to another machine. Otherwise check the node of the last attempt."
}

func init() {
	operr.Register(&BusyError{controlWait}, &EndedError{}, &PanicError{"index out of range"}, &LateAnswerError{time.Second})
}
