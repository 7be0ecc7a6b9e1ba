package core

import (
	"time"

	"wheatsaddle/internal/operr"
)

// BusyError says that the actor did not take an operator's call in time.
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

// EndedError says that the module's actor has ended; the process is stopping.
type EndedError struct{}

// Error implements error.
func (e *EndedError) Error() string { return "the module has ended" }

// Code implements operr.Coded.
func (e *EndedError) Code() string { return "core-ended" }

// Advice implements operr.Coded.
func (e *EndedError) Advice() string {
	return "Nothing, if the process was told to stop; else read its log from before this line and restart it."
}

// PanicError says that the module panicked. All open requests have failed, and a new module has started.
type PanicError struct{ Value string }

// Error implements error.
func (e *PanicError) Error() string { return "module panicked: " + e.Value }

// Code implements operr.Coded.
func (e *PanicError) Code() string { return "core-panicked" }

// Advice implements operr.Coded.
func (e *PanicError) Advice() string {
	return "Send the line with its stack to the developers: it is a fault of the program. The process goes on with the list as it is held; what was learned of the nodes is lost."
}

// LateAnswerError says that a request was answered after its client's deadline.
type LateAnswerError struct{ By time.Duration }

// Error implements error.
func (e *LateAnswerError) Error() string {
	return "a request ended " + e.By.Round(time.Millisecond).String() + " after its client's time"
}

// Code implements operr.Coded.
func (e *LateAnswerError) Code() string { return "core-answered-late" }

// Advice implements operr.Coded.
func (e *LateAnswerError) Advice() string {
	return "Look at timer_late_ms: where it is near late_ms the process had no processor, so give it more (limits.cores) or move its neighbours; else look at the node of the last attempt."
}

func init() {
	operr.Register(&BusyError{controlWait}, &EndedError{}, &PanicError{"index out of range"}, &LateAnswerError{time.Second})
}
