package core

import (
	"time"

	"wheatsaddle/internal/operr"
)

// Busy says that the actor did not take an operator's call in time.
type Busy struct{ Waited time.Duration }

func (e *Busy) Error() string {
	return "the scheduler's actor did not take the call in time; nothing was changed"
}

// Code implements operr.Coded.
func (e *Busy) Code() string { return "core-busy" }

// Advice implements operr.Coded.
func (e *Busy) Advice() string {
	return "Call again in a second. If it stays so, the process has too little processor time or is stopping: see its log and limits.cores."
}

// Ended says that the module's actor has ended; the process is stopping.
type Ended struct{}

func (e *Ended) Error() string { return "the module has ended" }

// Code implements operr.Coded.
func (e *Ended) Code() string { return "core-ended" }

// Advice implements operr.Coded.
func (e *Ended) Advice() string {
	return "Nothing, if the process was told to stop; else read its log from before this line and restart it."
}

func init() { operr.Register(&Busy{controlWait}, &Ended{}) }
